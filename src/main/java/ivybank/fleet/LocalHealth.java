package ivybank.fleet;

/**
 * How far a sidecar trusts its own ears, after Lifeguard: one that misses answers, is doubted by others or runs late takes
 * that for its own fault first, and waits longer before it accuses.
 */
final class LocalHealth {

    private static final int MAX_SCORE = 4;
    private static final double MULTIPLIER_PER_POINT = 0.5; // of the times, for each point

    private int score;

    void degrade(int by) {
        score = Math.min(MAX_SCORE, score + by);
    }

    void improve() {
        score = Math.max(0, score - 1);
    }

    int score() {
        return score;
    }

    /** What times are to be multiplied by. */
    double multiplier() {
        return 1 + MULTIPLIER_PER_POINT * score;
    }
}
