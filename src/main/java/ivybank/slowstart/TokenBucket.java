package ivybank.slowstart;

/**
 * A token bucket that holds one token. The rate at which it fills is given with each check. It may be overdrawn to a limit; the
 * debt is filled up first. Times are in milliseconds.
 */
public final class TokenBucket {

    private static final double MAX_TOKENS = 1; // no burst: a burst is what overloads a cold node
    private static final double MIN_TOKENS = -4;

    private double tokens;
    private double refilledMs = Double.NaN;

    /**
     * Refills at {@code perMs} tokens a millisecond and returns whether there is a token; at a rate of 0 there is none.
     */
    public boolean hasToken(double nowMs, double perMs) {
        tokens = Double.isNaN(refilledMs) ? 0 : Math.min(MAX_TOKENS, tokens + perMs * Math.max(0, nowMs - refilledMs));
        refilledMs = nowMs;
        return perMs > 0 && tokens >= MAX_TOKENS;
    }

    /** Takes a token for an attempt that was sent, whether or not {@link #hasToken} was called first. */
    public void take() {
        tokens = Math.max(MIN_TOKENS, tokens - 1);
    }
}
