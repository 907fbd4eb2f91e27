package ivybank.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Draws what goes wrong in one run of the soak: faults of sidecars, discovery and upstreams that overlap, as a scenario's text.
 * The same seed draws the same faults at the same times.
 */
final class SoakScenario {

    /** How long requests come, in seconds. */
    static final int LENGTH_S = 26;

    static final int SIDECARS = 24;
    /** By then the clients' side and the stand-ins have warmed up. */
    private static final double FIRST_S = 4;
    /** So long before the end nothing new goes wrong: what is drained by then must still be seen to be left alone. */
    private static final double QUIET_END_S = 3;

    private static final double MEAN_GAP_S = 0.6;
    private static final String[] OF_SIDECARS = {"kill", "term", "term", "freeze"};
    private static final String[] OF_DISCOVERY = {
        "roster-reset", "roster-reset", "roster-hush", "roster-silent", "roster-move", "roster-odd"
    };
    private static final String[] OF_NODES = {"silent", "break", "spoil", "deploy", "deploy", "replace"};

    /** All but the faults: the length, whether requests are named, and how many sidecars there are. */
    private static final String FLEET = """
            name = "soak"
            length_s = %d
            [fleet]
            nodes = 12
            sites = 2
            [[kind]]
            name = "k"
            cores = 4
            speed = 2.0
            connect_ms = 1
            [cold]
            from = 0.12
            warm_s = 10
            fall_multiple = 2.5
            fall_s = 2
            [[class]]
            name = "read"
            share = 0.5
            work_ms = 5
            wait_ms = 25
            aim_ms = 1200
            deadline_ms = 3000
            effect = "safe"
            [[class]]
            name = "submit"
            share = 0.3
            work_ms = 5
            wait_ms = 25
            aim_ms = 1200
            deadline_ms = 3000
            worth = 5
            effect = "unsafe"
            [[class]]
            name = "keyed"
            share = 0.2
            work_ms = 5
            wait_ms = 25
            aim_ms = 1200
            deadline_ms = 3000
            worth = 2
            effect = "keyed"
            group = "site"
            window_ms = 1500
            [clients]
            retries = 1
            leaves = 0.1
            leave_ms = 20
            rubbish = 0.01
            named = %s
            [limits]
            memory_mb = 192
            sockets = 256
            [traffic]
            rate = 240
            sidecars = %d
            [roster]
            notice_ms = [0, 400]
            told_ms = 6000
            at_once = %s
            asked = %s
            [rules]
            drain_grace_ms = 500
            margin_ms = 200
            [floor]
            service = 0.05
            """;

    private final SplittableRandom random;
    /** From a signal to the end of the start that may follow: the longest time to end, and a slow start. */
    private static final double BUSY_S = 10;

    private final double[] busyUntilS = new double[SIDECARS];
    private final StringBuilder toml = new StringBuilder();

    private SoakScenario(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * The text of a seed's scenario.
     *
     * @param named whether all tries of a request carry one name, as a sidecar that keeps a store wants it
     * @param asked whether sidecars ask one discovery for the list, and are not pushed it
     */
    static String toml(long seed, boolean named, boolean asked) {
        return new SoakScenario(seed).draw(named, asked);
    }

    private String draw(boolean named, boolean asked) {
        toml.append(FLEET.formatted(LENGTH_S, named, SIDECARS, !asked, asked));
        double lastS = LENGTH_S - QUIET_END_S;
        for (double atS = FIRST_S; atS < lastS; atS += MEAN_GAP_S * (0.2 + 1.6 * random.nextDouble())) {
            switch (random.nextInt(5)) {
                case 0, 1 -> ofSidecars(atS);
                case 2, 3 -> ofDiscovery(atS, lastS);
                default -> ofNodes(atS, lastS);
            }
        }
        return toml.toString();
    }

    /** Signals to some sidecars that no other signal has just met; a process is not told anything as long as it starts. */
    private void ofSidecars(double atS) {
        String kind = OF_SIDECARS[random.nextInt(OF_SIDECARS.length)];
        int most = 1 + random.nextInt(SIDECARS / 6);
        List<Integer> members = new ArrayList<>();
        for (int tries = 0; members.size() < most && tries < SIDECARS; tries++) {
            int member = random.nextInt(SIDECARS);
            if (busyUntilS[member] <= atS) {
                members.add(member);
                busyUntilS[member] = atS + BUSY_S;
            }
        }
        if (members.isEmpty()) {
            return;
        }
        fault(kind, atS, kind.equals("freeze") ? 0.05 + 0.5 * random.nextDouble() : 0.5 * random.nextDouble(), 1);
        toml.append("members = ").append(members).append('\n');
        if (!kind.equals("freeze")) {
            add("away_s", 0.3 * random.nextDouble());
        }
    }

    private void ofDiscovery(double atS, double lastS) {
        String kind = OF_DISCOVERY[random.nextInt(OF_DISCOVERY.length)];
        double part = 0.2 + 0.8 * random.nextDouble();
        fault(kind, atS, Math.min(lastS - atS, 0.3 + 4 * random.nextDouble()), part);
        if (kind.equals("roster-move")) { // comes with SIGHUP, which ends a process that has only just been started
            List<Integer> running = IntStream.range(0, SIDECARS)
                    .filter(member -> busyUntilS[member] <= atS && random.nextDouble() < part)
                    .boxed()
                    .toList();
            toml.append("members = ")
                    .append(running.isEmpty() ? List.of(0) : running)
                    .append('\n');
        }
        if (random.nextBoolean()) { // a drain in or right behind it
            deploy(Math.min(lastS, atS + 2 * random.nextDouble()));
        }
    }

    private void ofNodes(double atS, double lastS) {
        String kind = OF_NODES[random.nextInt(OF_NODES.length)];
        switch (kind) {
            case "deploy" -> deploy(atS);
            case "replace" -> fault(kind, atS, 0.1, 0.1);
            case "silent" -> fault(kind, atS, Math.min(lastS - atS, 0.5 + 3 * random.nextDouble()), 0.2);
            default -> {
                fault(kind, atS, Math.min(lastS - atS, 0.5 + 3 * random.nextDouble()), 0.3);
                add("share", 0.1);
            }
        }
    }

    private void deploy(double atS) {
        fault("deploy", atS, 0.2, 0.09 + 0.1 * random.nextDouble());
        add("drain_s", 2 + 2 * random.nextDouble());
    }

    private void fault(String kind, double atS, double forS, double part) {
        toml.append("[[fault]]\nkind = \"").append(kind).append("\"\n");
        add("at_s", atS);
        add("for_s", forS);
        add("part", part);
    }

    private void add(String key, double value) {
        toml.append(String.format(Locale.ROOT, "%s = %.3f%n", key, value));
    }
}
