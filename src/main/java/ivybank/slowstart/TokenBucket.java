package ivybank.slowstart;

/**
 * A token bucket of one token: it fills at the rate that is given at each look, and may be overdrawn a little, which is paid
 * back first. Times are in milliseconds.
 */
public final class TokenBucket {

    private static final double MOST = 1; // nothing is saved up: a burst is what pushes a cold node over
    private static final double LEAST = -4;

    private double left;
    private double filledMs = Double.NaN;

    /** Fills up to now at {@code perMs} attempts a millisecond and tells whether one more may go; none where that is 0. */
    public boolean has(double nowMs, double perMs) {
        left = Double.isNaN(filledMs) ? 0 : Math.min(MOST, left + perMs * Math.max(0, nowMs - filledMs));
        filledMs = nowMs;
        return perMs > 0 && left >= MOST;
    }

    /** Notes one that went, whether it was asked for here or not. */
    public void take() {
        left = Math.max(LEAST, left - 1);
    }
}
