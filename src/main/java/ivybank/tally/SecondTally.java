package ivybank.tally;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts what happens until the second is ended, and begins anew; what is held goes on. Bounded by the nodes to which there
 * is a connection or that were sent something within the second. Not safe for use by several threads.
 */
public final class SecondTally implements Tally {

    /** Nodes with a place of their own in a line. */
    public static final int MOST_NODES = 64;

    private static final int MOST_WAYS_TO_FAIL = 8;
    private static final int LONGEST_NAME = 64;

    private static final class Counts {
        int begun;
        int held;
        int idle;
        int notUp;
        final int[] sent = new int[Age.values().length];
        int turnedAway;
        int timedOut;

        SecondCounts.NodeCounts figures() {
            return new SecondCounts.NodeCounts(
                    begun, held, idle, notUp, sent[0], sent[1], sent[2], turnedAway, timedOut);
        }

        /** Begins anew, and tells whether there is nothing left to keep. */
        boolean begin() {
            begun = 0;
            idle = 0;
            notUp = 0;
            turnedAway = 0;
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
    private int answered;
    private int calls;
    private long version = -1;
    private long told = -1;

    private Counts of(String node) {
        return nodes.computeIfAbsent(node, unseen -> new Counts());
    }

    @Override
    public void connectionStarted(String node) {
        of(node).begun++;
    }

    @Override
    public void connectionsHeld(String node, int change) {
        of(node).held += change;
    }

    @Override
    public void connectionsIdle(String node, int count) {
        of(node).idle += count;
    }

    @Override
    public void connectionFailed(String node) {
        of(node).notUp++;
    }

    @Override
    public void attemptSent(String node, Age age) {
        of(node).sent[age.ordinal()]++;
    }

    @Override
    public void attemptRejected(String node) {
        of(node).turnedAway++;
    }

    @Override
    public void attemptTimedOut(String node) {
        of(node).timedOut++;
    }

    @Override
    public void requestTaken() {
        taken++;
    }

    @Override
    public void requestCompleted() {
        answered++;
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
        String word = callsFailed.size() < MOST_WAYS_TO_FAIL || callsFailed.containsKey(how) ? how : "other";
        callsFailed.merge(word, 1, Integer::sum);
    }

    @Override
    public void listUpdated(long to) {
        version = to;
    }

    /**
     * Ends the second and begins the next.
     *
     * @return null where nothing has happened in it
     */
    public SecondCounts endSecond(double nowMs, double lateMs) {
        Map<String, SecondCounts.NodeCounts> figures = new HashMap<>();
        nodes.forEach((name, counts) -> {
            SecondCounts.NodeCounts node = counts.figures();
            if (!node.isNothing()) {
                figures.merge(clean(name), node, SecondCounts.NodeCounts::plus);
            }
        });
        boolean quiet = figures.isEmpty() && taken + answered + calls == 0 && callsFailed.isEmpty() && version == told;
        SecondCounts second = quiet
                ? null
                : new SecondCounts(
                        nowMs,
                        lateMs,
                        version,
                        taken,
                        served,
                        Math.max(0, answered - served),
                        calls,
                        callsFailed,
                        bounded(figures),
                        stages.counts());
        nodes.values().removeIf(Counts::begin);
        callsFailed.clear();
        stages.clear();
        taken = 0;
        served = 0;
        answered = 0;
        calls = 0;
        told = version;
        return second;
    }

    private static Map<String, SecondCounts.NodeCounts> bounded(Map<String, SecondCounts.NodeCounts> figures) {
        if (figures.size() <= MOST_NODES) {
            return figures;
        }
        List<Map.Entry<String, SecondCounts.NodeCounts>> busiest = figures.entrySet().stream()
                .sorted(Comparator.comparingInt((Map.Entry<String, SecondCounts.NodeCounts> entry) ->
                                -entry.getValue().sent() - entry.getValue().begun())
                        .thenComparing(Map.Entry::getKey))
                .toList();
        Map<String, SecondCounts.NodeCounts> kept = new HashMap<>();
        for (int i = 0; i < busiest.size(); i++) {
            kept.merge(
                    i < MOST_NODES - 1 ? busiest.get(i).getKey() : SecondCounts.OTHERS,
                    busiest.get(i).getValue(),
                    SecondCounts.NodeCounts::plus);
        }
        return kept;
    }

    /** Names come from outside: what would break the line is left out. */
    static String clean(String name) {
        String cut = name.length() > LONGEST_NAME ? name.substring(0, LONGEST_NAME) : name;
        StringBuilder clean = new StringBuilder(cut.length());
        for (int i = 0; i < cut.length(); i++) {
            char c = cut.charAt(i);
            clean.append(c > ' ' && c < 127 && c != '=' && c != ',' && c != '/' && c != '*' ? c : '_');
        }
        return clean.length() == 0 ? "_" : clean.toString();
    }
}
