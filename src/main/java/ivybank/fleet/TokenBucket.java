package ivybank.fleet;

/** So many a second, and so many at once after a rest. */
final class TokenBucket {

    private final double perMs;
    private final double most;
    private double left;
    private double atMs = Double.NaN;

    TokenBucket(double perSecond, double most) {
        this.perMs = perSecond / 1000;
        this.most = most;
        this.left = most;
    }

    boolean take(double nowMs) {
        if (!Double.isNaN(atMs)) {
            left = Math.min(most, left + Math.max(0, nowMs - atMs) * perMs);
        }
        atMs = nowMs;
        if (left < 1) {
            return false;
        }
        left--;
        return true;
    }
}
