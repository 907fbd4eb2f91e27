package ivybank.fleet;

/** Limits a rate, with bursts up to the bucket's capacity. Full at first. */
final class TokenBucket {

    private final double tokensPerMs;
    private final double capacity;
    private double tokens;
    private double filledMs = Double.NaN;

    TokenBucket(double tokensPerSecond, double capacity) {
        this.tokensPerMs = tokensPerSecond / 1000;
        this.capacity = capacity;
        this.tokens = capacity;
    }

    /** Takes one token; false if there is none. */
    boolean tryTake(double nowMs) {
        if (!Double.isNaN(filledMs)) {
            tokens = Math.min(capacity, tokens + Math.max(0, nowMs - filledMs) * tokensPerMs);
        }
        filledMs = nowMs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
