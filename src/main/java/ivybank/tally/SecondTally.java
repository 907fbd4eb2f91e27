package ivybank.tally;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts events until the second ends, and then starts over; the number of held connections is carried over. Memory is
 * bounded by the nodes with a connection or with an attempt within the second. Not thread-safe.
 */
public final class SecondTally implements Tally {

    /** The maximum number of nodes with an entry of their own in a line. */
    public static final int MAX_NODES = 64;

    private static final int MAX_FAILURE_KINDS = 8;
    private static final int MAX_NAME_LENGTH = 64;

    private static final class Counts {
        int started;
        int held;
        int idle;
        int failed;
        final int[] sent = new int[Age.values().length];
        int rejected;
        int timedOut;

        SecondCounts.NodeCounts toNodeCounts() {
            return new SecondCounts.NodeCounts(
                    started, held, idle, failed, sent[0], sent[1], sent[2], rejected, timedOut);
        }

        /** Resets the counts of the second, and returns whether nothing is left to keep. */
        boolean reset() {
            started = 0;
            idle = 0;
            failed = 0;
            rejected = 0;
            timedOut = 0;
            sent[0] = 0;
            sent[1] = 0;
            sent[2] = 0;
            return held == 0;
        }
    }

    private final Map<String, Counts> nodes = new HashMap<>();
    private final Map<String, Integer> callsFailed = new LinkedHashMap<>();
    private final StageTimes stages = new StageTimes();
    private int taken;
    private int served;
    private int completed;
    private int calls;
    private long version = -1;
    private long reportedVersion = -1;

    private Counts countsOf(String node) {
        return nodes.computeIfAbsent(node, unseen -> new Counts());
    }

    @Override
    public void connectionStarted(String node) {
        countsOf(node).started++;
    }

    @Override
    public void connectionsHeld(String node, int change) {
        countsOf(node).held += change;
    }

    @Override
    public void connectionsIdle(String node, int count) {
        countsOf(node).idle += count;
    }

    @Override
    public void connectionFailed(String node) {
        countsOf(node).failed++;
    }

    @Override
    public void attemptSent(String node, Age age) {
        countsOf(node).sent[age.ordinal()]++;
    }

    @Override
    public void attemptRejected(String node) {
        countsOf(node).rejected++;
    }

    @Override
    public void attemptTimedOut(String node) {
        countsOf(node).timedOut++;
    }

    @Override
    public void requestTaken() {
        taken++;
    }

    @Override
    public void requestCompleted() {
        completed++;
    }

    @Override
    public void requestServed() {
        served++;
    }

    @Override
    public void stageCompleted(Stage stage, double ms) {
        stages.record(stage, ms);
    }

    @Override
    public void discoveryCalled() {
        calls++;
    }

    @Override
    public void discoveryCallFailed(String how) {
        String kind = callsFailed.size() < MAX_FAILURE_KINDS || callsFailed.containsKey(how) ? how : "other";
        callsFailed.merge(kind, 1, Integer::sum);
    }

    @Override
    public void listUpdated(long newVersion) {
        version = newVersion;
    }

    /**
     * Ends the second and starts the next one.
     *
     * @return the counts, or null where nothing has happened
     */
    public SecondCounts endSecond(double nowMs, double lateMs) {
        Map<String, SecondCounts.NodeCounts> countsByNode = new HashMap<>();
        nodes.forEach((name, counts) -> {
            SecondCounts.NodeCounts node = counts.toNodeCounts();
            if (!node.isNothing()) {
                countsByNode.merge(sanitize(name), node, SecondCounts.NodeCounts::plus);
            }
        });
        boolean idle = countsByNode.isEmpty()
                && taken + completed + calls == 0
                && callsFailed.isEmpty()
                && version == reportedVersion;
        SecondCounts second = idle
                ? null
                : new SecondCounts(
                        nowMs,
                        lateMs,
                        version,
                        taken,
                        served,
                        Math.max(0, completed - served),
                        calls,
                        callsFailed,
                        limitNodes(countsByNode),
                        stages.counts());
        nodes.values().removeIf(Counts::reset);
        callsFailed.clear();
        stages.clear();
        taken = 0;
        served = 0;
        completed = 0;
        calls = 0;
        reportedVersion = version;
        return second;
    }

    private static Map<String, SecondCounts.NodeCounts> limitNodes(Map<String, SecondCounts.NodeCounts> countsByNode) {
        if (countsByNode.size() <= MAX_NODES) {
            return countsByNode;
        }
        List<Map.Entry<String, SecondCounts.NodeCounts>> busiest = countsByNode.entrySet().stream()
                .sorted(Comparator.comparingInt((Map.Entry<String, SecondCounts.NodeCounts> entry) ->
                                -entry.getValue().sent() - entry.getValue().started())
                        .thenComparing(Map.Entry::getKey))
                .toList();
        Map<String, SecondCounts.NodeCounts> kept = new HashMap<>();
        for (int i = 0; i < busiest.size(); i++) {
            kept.merge(
                    i < MAX_NODES - 1 ? busiest.get(i).getKey() : SecondCounts.OTHERS,
                    busiest.get(i).getValue(),
                    SecondCounts.NodeCounts::plus);
        }
        return kept;
    }

    /** Replaces the characters that would break the line; names come from outside. */
    static String sanitize(String name) {
        String truncated = name.length() > MAX_NAME_LENGTH ? name.substring(0, MAX_NAME_LENGTH) : name;
        StringBuilder sanitized = new StringBuilder(truncated.length());
        for (int i = 0; i < truncated.length(); i++) {
            char c = truncated.charAt(i);
            sanitized.append(c > ' ' && c < 127 && c != '=' && c != ',' && c != '/' && c != '*' ? c : '_');
        }
        return sanitized.length() == 0 ? "_" : sanitized.toString();
    }
}
