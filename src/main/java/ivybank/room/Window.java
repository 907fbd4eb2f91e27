package ivybank.room;

/**
 * How many attempts may be out at one node at once, and when the next may go: grows with quick answers, shrinks with slow
 * ones. Where another process of the sidecar has attempts out there too, the window is for both together. Times are in
 * milliseconds.
 */
public final class Window {

    private static final double CROWDED = 1.3; // quiet latencies that an answer of a crowded node takes
    private static final double GROW = 0.25; // attempts that a quick answer adds, at most
    private static final double SHRINK = 0.5; // attempts that a slow answer takes off, at most

    private double size;
    private double nextSendMs;
    private int out;
    private int elsewhere;

    /** Begins anew with this size. */
    public void reset(double newSize) {
        size = Math.max(0, newSize);
    }

    public double size() {
        return size;
    }

    /** Attempts of this process that are out. */
    public int out() {
        return out;
    }

    /** Half of its size less what is out: under 0 where more than half of it is taken. */
    public double spare() {
        return size / 2 - out;
    }

    public void sent() {
        out++;
    }

    public void ended() {
        out--;
    }

    /** Tells how many attempts another process of the sidecar has out there. */
    public void elsewhere(int attempts) {
        elsewhere = Math.max(0, attempts);
    }

    public boolean isFull(double nowMs) {
        return nowMs < nextSendMs || out + elsewhere >= Math.max(1, size);
    }

    /**
     * Takes an answer, or a failure at its time-out, into account.
     *
     * @param least under which it does not shrink: this sidecar's part of what a node has room for
     */
    public void answered(double nowMs, double latencyMs, double quietMs, double typicalMs, double least) {
        double change = Math.min(GROW, CROWDED * quietMs / latencyMs - 1);
        if (change < 0) {
            // Below one attempt the window sets a pace: many sidecars with one attempt each jam a node too.
            change = Math.max(-SHRINK, change) * Math.min(1, size);
            size = Math.max(least, size + change);
            nextSendMs = Math.max(nextSendMs, nowMs + typicalMs * Math.max(0, 1 / size - 1));
        } else if (out + elsewhere + 1 >= size / 2) {
            size = Math.max(1, size + change);
        }
    }

    /** A failure frees its place no sooner than an answer would: else a node that fails at once has the most room of all. */
    public void failed(double nowMs, double elapsedMs, double typicalMs) {
        double earlyMs = Math.max(0, typicalMs - elapsedMs) / Math.max(1, size);
        double nextMs = Math.min(Math.max(nowMs, nextSendMs) + earlyMs, nowMs + typicalMs);
        nextSendMs = Math.max(nextSendMs, nextMs);
    }
}
