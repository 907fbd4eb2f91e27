package ivybank.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Who accuses members that then show that they live. One who does so again and again, and far more than others, isn't
 * listened to for a while when it speaks against others: it lies, or hears badly, and both harm the healthy. Where all accuse
 * wrongly, the network is to blame and nobody stands out. Only what a member says itself counts against it, not what others
 * say that it has said.
 */
final class AccusationCounters {

    private static final double HALF_LIFE_MS = 30_000;
    private static final double TOLERATED_SCORE = 10;
    private static final double TOLERATED_RATIO = 4;
    private static final int MAX_COUNTERS = 1024;

    private static final class Mark {
        private double score;
        private double atMs;
        private boolean named;

        private double now(double nowMs) {
            return score * Math.pow(0.5, Math.max(0, nowMs - atMs) / HALF_LIFE_MS);
        }
    }

    private final Map<Integer, Mark> marks = new HashMap<>();

    /** Notes an accusation that was refuted, one of {@code others} members; true when its word ceases to count. */
    boolean recordRefuted(int accuser, double nowMs, int others) {
        if (marks.size() >= MAX_COUNTERS) {
            marks.values().removeIf(mark -> mark.now(nowMs) < 0.5);
        }
        Mark mark = marks.computeIfAbsent(accuser, memberIndex -> new Mark());
        mark.score = mark.now(nowMs) + 1;
        mark.atMs = nowMs;
        boolean first = !mark.named && !trusted(accuser, nowMs, others);
        mark.named |= first;
        return first;
    }

    /** Whether its word against others counts, as one of {@code others} members. */
    boolean trusted(int accuser, double nowMs, int others) {
        Mark mark = marks.get(accuser);
        if (mark == null) {
            return true;
        }
        double score = mark.now(nowMs);
        double rest = 0;
        if (score >= TOLERATED_SCORE) {
            for (Mark each : marks.values()) {
                rest += each == mark ? 0 : each.now(nowMs);
            }
        }
        boolean trusted = score < TOLERATED_SCORE || score < TOLERATED_RATIO * rest / Math.max(1, others - 1);
        mark.named &= !trusted;
        return trusted;
    }
}
