package ivybank.fleet;

/**
 * How far a sidecar trusts its own ears, after Lifeguard: one that misses answers, is doubted by others or runs late takes
 * that for its own fault first, and waits longer before it accuses.
 */
final class Health {

    private static final int WORST = 4;
    private static final double STRETCH = 0.5; // of the times, for each point

    private int points;

    void worse(int by) {
        points = Math.min(WORST, points + by);
    }

    void better() {
        points = Math.max(0, points - 1);
    }

    int points() {
        return points;
    }

    /** What times are to be multiplied by. */
    double stretch() {
        return 1 + STRETCH * points;
    }
}
