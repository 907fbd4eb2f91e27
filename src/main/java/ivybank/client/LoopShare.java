package ivybank.client;

/**
 * Limits the part of the event loop's time that the input of one connection takes, as a token bucket of milliseconds: a client that
 * sends at full speed must not delay the others. Times are in milliseconds of the clock. Pure.
 */
final class LoopShare {

    /** The part of the loop's time that one connection may take for long. */
    private static final double MAX_PART = 0.5;
    /** What it may take at once. */
    private static final double BURST_MS = 4;
    /** A longer pause would delay the news that the client has left. */
    private static final double MAX_PAUSE_MS = 40;

    /** What one part of the input counts at most: a process that is held up meanwhile works longer than its client is to blame for. */
    private static final double MAX_COUNTED_MS = 8;

    private double leftMs = BURST_MS;
    private double refilledMs = Double.NaN;

    /**
     * Records that input of the connection has been processed, and returns for how long it is not to be read, or 0.
     *
     * @param workedMs how long that took
     */
    double pauseAfter(double nowMs, double workedMs) {
        double sinceMs = Double.isNaN(refilledMs) ? 0 : nowMs - refilledMs;
        refilledMs = nowMs;
        leftMs = Math.min(BURST_MS, leftMs + MAX_PART * sinceMs) - Math.min(workedMs, MAX_COUNTED_MS);
        if (leftMs >= 0) {
            return 0;
        }
        double pauseMs = Math.min(MAX_PAUSE_MS, -leftMs / MAX_PART);
        leftMs = Math.max(leftMs, -MAX_PART * MAX_PAUSE_MS);
        return pauseMs;
    }
}
