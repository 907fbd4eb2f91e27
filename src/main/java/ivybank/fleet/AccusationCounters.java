package ivybank.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts false accusations by the member that made them. A member that makes many, and far more than the others do,
 * loses its trust for a while: it lies or hears badly, and its accusations harm healthy members. Where all members
 * accuse falsely, the network is at fault and nobody stands out. The counts decay with a half-life.
 */
final class AccusationCounters {

    private static final double HALF_LIFE_MS = 30_000;
    private static final double TOLERATED_SCORE = 10;
    /** A score up to so many times the others' mean is tolerated, however high. */
    private static final double TOLERATED_RATIO = 4;

    private static final int MAX_COUNTERS = 1024;
    private static final double NEGLIGIBLE_SCORE = 0.5;

    private static final class Counter {
        private double score;
        private double updatedMs;
        private boolean distrusted;

        private double scoreAt(double nowMs) {
            return score * Math.pow(0.5, Math.max(0, nowMs - updatedMs) / HALF_LIFE_MS);
        }
    }

    private final Map<Integer, Counter> counters = new HashMap<>();

    /**
     * Counts an accusation that was refuted.
     *
     * @param others number of the other live members
     * @return whether this costs the accuser its trust
     */
    boolean recordRefuted(int accuser, double nowMs, int others) {
        if (counters.size() >= MAX_COUNTERS) {
            counters.values().removeIf(counter -> counter.scoreAt(nowMs) < NEGLIGIBLE_SCORE);
        }
        Counter counter = counters.computeIfAbsent(accuser, index -> new Counter());
        counter.score = counter.scoreAt(nowMs) + 1;
        counter.updatedMs = nowMs;
        boolean losesTrust = !counter.distrusted && !isTrusted(accuser, nowMs, others);
        counter.distrusted |= losesTrust;
        return losesTrust;
    }

    /** Whether accusations by a member count, among so many other live members. */
    boolean isTrusted(int accuser, double nowMs, int others) {
        Counter counter = counters.get(accuser);
        if (counter == null) {
            return true;
        }
        double score = counter.scoreAt(nowMs);
        boolean trusted = score < TOLERATED_SCORE
                || score < TOLERATED_RATIO * scoreOfOthers(counter, nowMs) / Math.max(1, others - 1);
        counter.distrusted &= !trusted;
        return trusted;
    }

    private double scoreOfOthers(Counter counter, double nowMs) {
        double sum = 0;
        for (Counter each : counters.values()) {
            sum += each == counter ? 0 : each.scoreAt(nowMs);
        }
        return sum;
    }
}
