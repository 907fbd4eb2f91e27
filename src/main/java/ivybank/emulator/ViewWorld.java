package ivybank.emulator;

import ivybank.fleet.FleetTiming;
import ivybank.fleet.FleetView;
import ivybank.fleet.MemberState;
import ivybank.fleet.MembershipEvent;
import ivybank.fleet.Message;
import ivybank.fleet.MessageCodec;
import ivybank.fleet.ViewSnapshot;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.IntPredicate;

/**
 * Many sidecars' views on one simulated clock: the real code and the real layout, a network that loses, delays, doubles and
 * cuts, processes that are killed, stopped and started. It knows the truth and notes who was given up against it.
 */
public final class ViewWorld {

    /** What a stopped process's socket keeps. */
    private static final int MOST_QUEUED = 256;

    private static final double STARTED_MS = 1_700_000_000_000.0;

    private final class Process implements FleetView.Output {
        private final int memberIndex;
        private final FleetView view;
        private boolean dead;
        private boolean frozen;
        private final Deque<Runnable> waiting = new ArrayDeque<>();

        private Process(int memberIndex, long incarnation, String name) {
            this.memberIndex = memberIndex;
            this.view = new FleetView(
                    memberIndex, name, "", incarnation, processes.length, timing, new Random(random.nextLong()), this);
        }

        private void tick() {
            if (dead) {
                return;
            }
            if (!frozen) {
                view.tick(simulation.nowMs());
            }
            simulation.after(timing.tickMs(), this::tick);
        }

        @Override
        public void send(int to, Message message) {
            byte[] bytes = MessageCodec.encode(message, 1, 0);
            datagrams++;
            octets += bytes.length + MessageCodec.SIGNATURE_BYTES;
            if (cut.test(memberIndex, to)) {
                return;
            }
            for (int copies = random.nextDouble() < network.doubled() ? 2 : 1; copies > 0; copies--) {
                if (random.nextDouble() >= network.loss()) {
                    simulation.after(
                            network.leastMs() + random.nextDouble() * (network.mostMs() - network.leastMs()),
                            () -> arrive(memberIndex, to, bytes));
                }
            }
        }

        @Override
        public void changed(MembershipEvent event) {
            Process of = processes[event.memberIndex()];
            if (event.kind() == MembershipEvent.Kind.DECLARED_DEAD) {
                if (of != null && !of.dead && !of.frozen && of.view.incarnation() == event.incarnation()) {
                    falselyGivenUp++;
                }
            }
            if (listener != null) {
                listener.accept(memberIndex, event);
            }
        }

        private void hear(int from, byte[] bytes) {
            if (dead) {
                return;
            }
            if (frozen) {
                if (waiting.size() < MOST_QUEUED) {
                    waiting.add(() -> hear(from, bytes));
                }
                return;
            }
            try {
                view.receive(simulation.nowMs(), from, MessageCodec.decode(bytes));
            } catch (MessageCodec.MalformedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Hears what any member's view does. */
    public interface Listener {
        void accept(int memberIndex, MembershipEvent event);
    }

    private final Simulation simulation = new Simulation();
    private final Random random;
    private final FleetTiming timing;
    private final Process[] processes;
    private ViewNetwork network;
    private BiPredicate<Integer, Integer> cut = (from, to) -> false;
    private Listener listener;
    private long datagrams;
    private long octets;
    private int falselyGivenUp;

    public ViewWorld(int seats, long seed, FleetTiming timing, ViewNetwork network) {
        this.random = new Random(seed);
        this.timing = timing;
        this.network = network;
        this.processes = new Process[seats];
        simulation.runUntil(STARTED_MS);
    }

    private void arrive(int from, int to, byte[] bytes) {
        if (processes[to] != null) {
            processes[to].hear(from, bytes);
        }
    }

    public void network(ViewNetwork next) {
        network = next;
    }

    /** Which ways are cut, from one seat to another. */
    public void cut(BiPredicate<Integer, Integer> ways) {
        cut = ways;
    }

    public void listen(Listener to) {
        listener = to;
    }

    /** Starts a process whose wall clock gives it this life. */
    public void start(int memberIndex, long incarnation) {
        start(memberIndex, incarnation, "n" + memberIndex);
    }

    /** The same with another name than that of its seat. */
    public void start(int memberIndex, long incarnation, String name) {
        Process process = new Process(memberIndex, incarnation, name);
        processes[memberIndex] = process;
        double nowMs = simulation.nowMs();
        process.view.start(nowMs);
        simulation.after(random.nextDouble() * timing.tickMs(), process::tick);
        simulation.after(300, () -> {
            if (!process.dead) {
                process.view.announceState(simulation.nowMs(), MemberState.READY);
            }
        });
    }

    /** Starts a process whose wall clock is right. */
    public void start(int memberIndex) {
        start(memberIndex, (long) simulation.nowMs());
    }

    public void kill(int memberIndex) {
        processes[memberIndex].dead = true;
    }

    public void leave(int memberIndex) {
        processes[memberIndex].view.leave(simulation.nowMs());
        processes[memberIndex].dead = true;
    }

    public void freeze(int memberIndex) {
        processes[memberIndex].frozen = true;
    }

    /** Lets a stopped process go on: it finds what its socket has kept. */
    public void thaw(int memberIndex) {
        Process process = processes[memberIndex];
        process.frozen = false;
        while (!process.waiting.isEmpty()) {
            process.waiting.poll().run();
        }
    }

    /** Hands a process a message, as if it had come from a seat. */
    public void forge(int from, int to, Message message) {
        byte[] bytes = MessageCodec.encode(message, 1, 0);
        arrive(from, to, bytes);
    }

    public void run(double forMs) {
        simulation.runUntil(simulation.nowMs() + forMs);
    }

    public double nowMs() {
        return simulation.nowMs();
    }

    public boolean lives(int memberIndex) {
        return processes[memberIndex] != null && !processes[memberIndex].dead;
    }

    public long incarnation(int memberIndex) {
        return processes[memberIndex].view.incarnation();
    }

    public ViewSnapshot view(int memberIndex) {
        return processes[memberIndex].view.snapshot(simulation.nowMs());
    }

    /** Whether all that live and run see just those that live, in their lives, and say so alike. */
    public boolean settled() {
        return settled(memberIndex -> true);
    }

    /** The same of one side of a partition, which is to see itself alone. */
    public boolean settled(IntPredicate side) {
        Long digest = null;
        int count = 0;
        for (Process each : processes) {
            count += each != null && !each.dead && side.test(each.memberIndex) ? 1 : 0;
        }
        for (Process each : processes) {
            if (each == null || each.dead || !side.test(each.memberIndex)) {
                continue;
            }
            if (each.view.aliveOthers() != count - 1) {
                return false;
            }
            long own = each.view.digest();
            if (digest != null && digest != own) {
                return false;
            }
            digest = own;
        }
        return digest == null || truthful(side);
    }

    private boolean truthful(IntPredicate side) {
        for (Process each : processes) {
            if (each != null && !each.dead && side.test(each.memberIndex)) {
                for (ViewSnapshot.MemberSnapshot seen : view(each.memberIndex).members()) {
                    if (seen.state().isAlive()
                            && (!lives(seen.memberIndex())
                                    || incarnation(seen.memberIndex()) != seen.incarnation()
                                    || !side.test(seen.memberIndex()))) {
                        return false;
                    }
                }
                return true; // the others have the same digest
            }
        }
        return true;
    }

    /** Runs until views are settled; the time that took in ms, or infinite beyond {@code mostMs}. */
    public double untilSettled(double mostMs) {
        double fromMs = simulation.nowMs();
        while (!settled()) {
            if (simulation.nowMs() - fromMs > mostMs) {
                return Double.POSITIVE_INFINITY;
            }
            run(timing.tickMs());
        }
        return simulation.nowMs() - fromMs;
    }

    /** Runs until no live view holds a seat for living; the time that took, in ms. */
    public double untilAllKnowTheEndOf(int memberIndex, double mostMs) {
        double fromMs = simulation.nowMs();
        while (believed(memberIndex)) {
            if (simulation.nowMs() - fromMs > mostMs) {
                return Double.POSITIVE_INFINITY;
            }
            run(timing.tickMs());
        }
        return simulation.nowMs() - fromMs;
    }

    private boolean believed(int memberIndex) {
        for (Process each : processes) {
            if (each != null
                    && !each.dead
                    && !each.frozen
                    && each.memberIndex != memberIndex
                    && each.view.isAlive(memberIndex)) {
                return true;
            }
        }
        return false;
    }

    /** Datagrams that were sent so far, by all. */
    public long datagrams() {
        return datagrams;
    }

    /** Bytes that were sent so far, by all, without headers of UDP and IP. */
    public long octets() {
        return octets;
    }

    /** How often one that lived, ran and had this life was given up so far. */
    public int falselyGivenUp() {
        return falselyGivenUp;
    }

    public List<Integer> running() {
        List<Integer> running = new ArrayList<>();
        for (Process each : processes) {
            if (each != null && !each.dead) {
                running.add(each.memberIndex);
            }
        }
        return running;
    }
}
