package ivybank.fleet;

/**
 * The local health multiplier of Lifeguard: a sidecar that misses acknowledgements, is suspected by others or stalls
 * takes that for its own fault first, and waits longer before it accuses others.
 */
final class LocalHealth {

    private static final int MAX_SCORE = 4;
    private static final double MULTIPLIER_PER_POINT = 0.5;

    private int score;

    void degrade(int points) {
        score = Math.min(MAX_SCORE, score + points);
    }

    void improve() {
        score = Math.max(0, score - 1);
    }

    /** 0 for healthy, up to 4. */
    int score() {
        return score;
    }

    /** The factor by which timeouts and probe periods grow, from 1 to 3. */
    double multiplier() {
        return 1 + MULTIPLIER_PER_POINT * score;
    }
}
