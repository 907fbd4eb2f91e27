package ivybank.emulator;

import ivybank.policy.Balancer.ListKind;
import ivybank.policy.Balancer.Status;
import ivybank.policy.Balancer.Upstream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** One run of a fleet: nodes, sidecars, clients and what happens to them, from a seed alone. */
public final class FleetRun {

    private static final double AIM_MS = 1500;
    private static final double DEADLINE_MS = 6000;
    private static final double TRY_MS = 3000;
    private static final double BACKOFF_MS = 300;
    private static final int RETRIES = 1;
    /** Mean work of a request, and what it waits beside its cores. */
    static final double WORK = 350;

    private static final double LEAST_WORK = 0.2; // of the mean; the rest is exponential
    private static final double IO_MS = 250;
    private static final double READS = 0.65;
    private static final double[] SPEEDS = {0.8, 1.2, 2.0};
    /** How late a sidecar is told of what happens to a node, and how long one drains. */
    private static final double TOLD_MS = 1500;

    private static final double DRAIN_MS = 3500;
    private static final double STARTED_MS = 1_000_000;
    private static final int STEPS = 10;
    /** When what happens begins, and how long a sidecar that is restarted serves nobody. */
    private static final double INCIDENT_MS = 8000;

    private static final double DOWN_MS = 3000;
    /** After its start, for how long a node counts as just back. */
    private static final double JUST_BACK_MS = 2000;

    /** What is counted over all sidecars. */
    final class Tally {
        private long connected;
        private long givenUp;
        private long attempts;

        void connected() {
            connected++;
        }

        void givenUp() {
            givenUp++;
        }

        void sent(NodeModel node) {
            attempts++;
            if (node.startedMs > 0 && simulation.nowMs() - node.startedMs < JUST_BACK_MS) {
                justBack.merge(node.id, 1, Integer::sum);
            }
        }
    }

    private final Simulation simulation = new Simulation();
    private final Map<Integer, NodeModel> nodes = new TreeMap<>();
    private final Map<Integer, Upstream> told = new TreeMap<>();
    private final Map<Integer, Integer> justBack = new TreeMap<>();
    private final SidecarModel[] sidecars;
    private final SplittableRandom random;
    private final SplittableRandom traffic;
    private final FleetSpec spec;
    private final Tally tally = new Tally();
    private final Seconds asked = new Seconds();
    private final Seconds inTime = new Seconds();
    private int nextNode = 1;
    private int mostMembers;
    private double meanMembers;
    private int memberSamples;

    private FleetRun(FleetSpec spec) {
        this.spec = spec;
        this.random = new SplittableRandom(spec.seed());
        this.traffic = random.split();
        this.sidecars = new SidecarModel[spec.sidecars()];
    }

    /** Plays it. */
    public static FleetResult play(FleetSpec spec) {
        return new FleetRun(spec).play();
    }

    private FleetResult play() {
        simulation.runUntil(STARTED_MS);
        double capacity = 0;
        for (int i = 0; i < spec.nodes(); i++) {
            NodeModel node = start(NodeSpec.usual(SPEEDS[i % SPEEDS.length]), 0);
            told.put(node.id, entry(node, Status.READY));
            capacity += node.spec.cores() * node.spec.speed() / WORK;
        }
        for (int i = 0; i < sidecars.length; i++) {
            begin(i);
        }
        double perMs = spec.load() * capacity / (sidecars.length - 1 + spec.busy());
        for (int i = 0; i < sidecars.length; i++) {
            arrivals(i, i == 0 ? spec.busy() * perMs : perMs, traffic.split());
        }
        incidents();
        sample();
        simulation.runUntil(STARTED_MS + spec.lengthMs() + DEADLINE_MS);
        return result();
    }

    private NodeModel start(NodeSpec like, double startedMs) {
        NodeModel node = new NodeModel(nextNode++, like, startedMs, simulation);
        nodes.put(node.id, node);
        return node;
    }

    private static Upstream entry(NodeModel node, Status status) {
        return new Upstream(
                node.id,
                status,
                node.startedMs,
                node.id % 4,
                node.spec.speed() > 1.5 ? 2 : node.spec.speed() > 1 ? 1 : 0,
                0,
                1);
    }

    private void begin(int sidecar) {
        sidecars[sidecar] = new SidecarModel(simulation, nodes, spec, tally, random.split());
        sidecars[sidecar].list(ListKind.FULL, List.copyOf(told.values()));
    }

    // ---- Clients: each request comes at its time, whatever became of those before.

    private void arrivals(int sidecar, double perMs, SplittableRandom draws) {
        simulation.after(-Math.log(1 - draws.nextDouble()) / (perMs * burst()), () -> {
            if (simulation.nowMs() - STARTED_MS < spec.lengthMs()) {
                boolean read = draws.nextDouble() < READS;
                double work = WORK * (LEAST_WORK - (1 - LEAST_WORK) * Math.log(1 - draws.nextDouble()));
                ask(sidecar, read, simulation.nowMs(), work, 0, draws);
                arrivals(sidecar, perMs, draws);
            }
        });
    }

    private double burst() {
        return simulation.nowMs() < STARTED_MS + INCIDENT_MS ? 1 : spec.burst();
    }

    private void ask(int sidecar, boolean read, double firstMs, double work, int tries, SplittableRandom draws) {
        double leftMs = Math.min(TRY_MS, firstMs + DEADLINE_MS - simulation.nowMs());
        if (tries == 0) {
            asked.count(firstMs - STARTED_MS);
        }
        if (leftMs <= 0 || sidecars[sidecar] == null) {
            return;
        }
        sidecars[sidecar].request(read, leftMs, work, IO_MS, served -> {
            if (served && simulation.nowMs() - firstMs <= AIM_MS) {
                inTime.count(firstMs - STARTED_MS);
            } else if (!served && tries < RETRIES) {
                simulation.after(
                        BACKOFF_MS * (0.5 + draws.nextDouble()),
                        () -> ask(sidecar, read, firstMs, work, tries + 1, draws));
            }
        });
    }

    // ---- What happens to nodes and sidecars.

    private void incidents() {
        double beginMs = STARTED_MS + INCIDENT_MS;
        Incident incident = spec.incident();
        List<NodeModel> first = new ArrayList<>(nodes.values());
        int replaced = (int) Math.round(incident.replaced() * first.size());
        for (int i = 0; i < replaced; i++) {
            NodeModel old = first.get(i);
            simulation.at(beginMs + inSteps(i, replaced, incident.overMs()), () -> replace(old));
        }
        int restarted = (int) Math.round(incident.restarted() * sidecars.length);
        for (int i = 0; i < restarted; i++) {
            int sidecar = i;
            double afterMs = incident.atOnce() ? 100.0 * i / restarted : inSteps(i, restarted, incident.overMs());
            simulation.at(beginMs + afterMs, () -> restart(sidecar));
        }
        int silent = (int) Math.round(incident.silent() * first.size());
        for (int i = 0; i < silent; i++) {
            NodeModel node = first.get(i);
            simulation.at(beginMs, () -> node.silence(true));
            simulation.at(beginMs + incident.silentMs(), () -> returned(node));
        }
    }

    /** When one of so many has its turn, within so long, a tenth of them at a time. */
    private static double inSteps(int i, int of, double overMs) {
        int step = i * STEPS / of;
        return step * overMs / STEPS;
    }

    private void restart(int sidecar) {
        sidecars[sidecar].kill();
        sidecars[sidecar] = null;
        simulation.after(DOWN_MS, () -> begin(sidecar));
    }

    private void replace(NodeModel old) {
        tell(entry(old, Status.DRAINING));
        simulation.after(DRAIN_MS, () -> {
            old.end();
            tell(entry(old, Status.GONE));
        });
        tell(entry(start(old.spec, simulation.nowMs()), Status.READY));
    }

    /** It was silent, and its process starts anew at the same place, under another id. */
    private void returned(NodeModel old) {
        old.end();
        tell(entry(old, Status.GONE));
        tell(entry(start(old.spec, simulation.nowMs()), Status.READY));
    }

    private void tell(Upstream entry) {
        simulation.after(TOLD_MS, () -> {
            if (entry.status() == Status.GONE) {
                told.remove(entry.id());
            } else {
                told.put(entry.id(), entry);
            }
            for (SidecarModel sidecar : sidecars) {
                if (sidecar != null) {
                    sidecar.list(ListKind.DELTA, List.of(entry));
                }
            }
        });
    }

    private void sample() {
        int sum = 0;
        int alive = 0;
        for (SidecarModel sidecar : sidecars) {
            if (sidecar != null) {
                int members = sidecar.members();
                mostMembers = Math.max(mostMembers, members);
                sum += members;
                alive++;
            }
        }
        meanMembers += sum / Math.max(1.0, alive);
        memberSamples++;
        simulation.after(1000, this::sample);
    }

    private FleetResult result() {
        int seconds = (int) (spec.lengthMs() / 1000);
        int from = (int) (STARTED_MS / 1000);
        int most = 0;
        int held = 0;
        int choked = 0;
        double cold = 0;
        double coldByWork = 0;
        double coldByRequests = 0;
        for (NodeModel node : nodes.values()) {
            most = Math.max(most, node.begun.most(from + 3, from + seconds)); // the first seconds open what is kept
            held = Math.max(held, node.mostConnections);
            choked += node.choked;
            cold = Math.max(cold, node.worstCold);
            coldByWork = Math.max(coldByWork, node.coldLoad().worstByWork());
            coldByRequests = Math.max(coldByRequests, node.coldLoad().worstByRequests());
        }
        double[] served = new double[seconds];
        for (int second = 0; second < seconds; second++) {
            served[second] = asked.in(second) == 0 ? 1 : inTime.in(second) / (double) asked.in(second);
        }
        return new FleetResult(
                asked.sum(0, seconds),
                inTime.sum(0, seconds) / (double) Math.max(1, asked.sum(0, seconds)),
                served,
                tally.connected,
                tally.attempts,
                tally.givenUp,
                most,
                held,
                choked,
                justBack.values().stream().mapToInt(count -> count).max().orElse(0),
                cold,
                coldByWork,
                coldByRequests,
                mostMembers,
                meanMembers / memberSamples);
    }
}
