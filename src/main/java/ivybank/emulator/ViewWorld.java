package ivybank.emulator;

import ivybank.fleet.Change;
import ivybank.fleet.FleetTiming;
import ivybank.fleet.FleetView;
import ivybank.fleet.Message;
import ivybank.fleet.MessageCodec;
import ivybank.fleet.Standing;
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

    private final class Process implements FleetView.Out {
        private final int seat;
        private final FleetView view;
        private boolean dead;
        private boolean frozen;
        private final Deque<Runnable> waiting = new ArrayDeque<>();

        private Process(int seat, long life, String name) {
            this.seat = seat;
            this.view =
                    new FleetView(seat, name, "", life, processes.length, timing, new Random(random.nextLong()), this);
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
            byte[] bytes = MessageCodec.write(message, 1, 0);
            datagrams++;
            octets += bytes.length + MessageCodec.SIGNATURE;
            if (cut.test(seat, to)) {
                return;
            }
            for (int copies = random.nextDouble() < network.doubled() ? 2 : 1; copies > 0; copies--) {
                if (random.nextDouble() >= network.loss()) {
                    simulation.after(
                            network.leastMs() + random.nextDouble() * (network.mostMs() - network.leastMs()),
                            () -> arrive(seat, to, bytes));
                }
            }
        }

        @Override
        public void changed(Change change) {
            Process of = processes[change.seat()];
            if (change.what().startsWith("is given up")) {
                if (of != null && !of.dead && !of.frozen && of.view.life() == change.life()) {
                    falselyGivenUp++;
                }
            }
            if (listener != null) {
                listener.accept(seat, change);
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
                view.heard(simulation.nowMs(), from, MessageCodec.read(bytes));
            } catch (MessageCodec.MalformedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Hears what any member's view does. */
    public interface Listener {
        void accept(int seat, Change change);
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
    public void start(int seat, long life) {
        start(seat, life, "n" + seat);
    }

    /** The same with another name than that of its seat. */
    public void start(int seat, long life, String name) {
        Process process = new Process(seat, life, name);
        processes[seat] = process;
        double nowMs = simulation.nowMs();
        process.view.start(nowMs);
        simulation.after(random.nextDouble() * timing.tickMs(), process::tick);
        simulation.after(300, () -> {
            if (!process.dead) {
                process.view.stand(simulation.nowMs(), Standing.READY);
            }
        });
    }

    /** Starts a process whose wall clock is right. */
    public void start(int seat) {
        start(seat, (long) simulation.nowMs());
    }

    public void kill(int seat) {
        processes[seat].dead = true;
    }

    public void leave(int seat) {
        processes[seat].view.leave(simulation.nowMs());
        processes[seat].dead = true;
    }

    public void freeze(int seat) {
        processes[seat].frozen = true;
    }

    /** Lets a stopped process go on: it finds what its socket has kept. */
    public void thaw(int seat) {
        Process process = processes[seat];
        process.frozen = false;
        while (!process.waiting.isEmpty()) {
            process.waiting.poll().run();
        }
    }

    /** Hands a process a message, as if it had come from a seat. */
    public void forge(int from, int to, Message message) {
        byte[] bytes = MessageCodec.write(message, 1, 0);
        arrive(from, to, bytes);
    }

    public void run(double forMs) {
        simulation.runUntil(simulation.nowMs() + forMs);
    }

    public double nowMs() {
        return simulation.nowMs();
    }

    public boolean lives(int seat) {
        return processes[seat] != null && !processes[seat].dead;
    }

    public long life(int seat) {
        return processes[seat].view.life();
    }

    public ViewSnapshot view(int seat) {
        return processes[seat].view.snapshot(simulation.nowMs());
    }

    /** Whether all that live and run see just those that live, in their lives, and say so alike. */
    public boolean settled() {
        return settled(seat -> true);
    }

    /** The same of one side of a partition, which is to see itself alone. */
    public boolean settled(IntPredicate side) {
        Long digest = null;
        int count = 0;
        for (Process each : processes) {
            count += each != null && !each.dead && side.test(each.seat) ? 1 : 0;
        }
        for (Process each : processes) {
            if (each == null || each.dead || !side.test(each.seat)) {
                continue;
            }
            if (each.view.peers() != count - 1) {
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
            if (each != null && !each.dead && side.test(each.seat)) {
                for (ViewSnapshot.Seen seen : view(each.seat).members()) {
                    if (seen.standing().lives()
                            && (!lives(seen.seat()) || life(seen.seat()) != seen.life() || !side.test(seen.seat()))) {
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
    public double untilAllKnowTheEndOf(int seat, double mostMs) {
        double fromMs = simulation.nowMs();
        while (believed(seat)) {
            if (simulation.nowMs() - fromMs > mostMs) {
                return Double.POSITIVE_INFINITY;
            }
            run(timing.tickMs());
        }
        return simulation.nowMs() - fromMs;
    }

    private boolean believed(int seat) {
        for (Process each : processes) {
            if (each != null && !each.dead && !each.frozen && each.seat != seat && each.view.sees(seat)) {
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
                running.add(each.seat);
            }
        }
        return running;
    }
}
