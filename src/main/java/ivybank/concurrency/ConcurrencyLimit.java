package ivybank.concurrency;

/**
 * How many attempts may be out at one node at once, and when the next may go: grows with quick answers, shrinks with slow
 * ones. Where another process of the sidecar has attempts out there too, the limit is for both together. Times are in
 * milliseconds.
 */
public final class ConcurrencyLimit {

    private static final double CROWDED = 1.3; // quiet latencies that an answer of a crowded node takes
    private static final double GROW = 0.25; // attempts that a quick answer adds, at most
    private static final double SHRINK = 0.5; // attempts that a slow answer takes off, at most
    private static final double KEPT =
            0.25; // of its least, that a slow node gets from one of many: with all of it a jam never ends
    private static final double SLOWEST = 0.01; // of the time: a node is never forgotten

    private double size;
    private double nextSendMs;
    private int inFlight;
    private int elsewhere;

    /** Begins anew with this size. */
    public void reset(double newSize) {
        size = Math.max(0, newSize);
    }

    public double size() {
        return size;
    }

    /** Attempts of this process that are out. */
    public int inFlight() {
        return inFlight;
    }

    /** Half of its size less what is out: under 0 where more than half of it is taken. */
    public double spare() {
        return size / 2 - inFlight;
    }

    /**
     * Notes an attempt. A limit under one is a rate: the next goes once one that long would have been out for its part of
     * the time. Each of a hundred sidecars may otherwise have one attempt at each node at any time, and they jam it.
     */
    public void sent(double nowMs, double typicalMs) {
        inFlight++;
        if (size < 1) {
            nextSendMs = Math.max(nextSendMs, nowMs + typicalMs / Math.max(size, SLOWEST));
        }
    }

    public void ended() {
        inFlight--;
    }

    /** Tells how many attempts another process of the sidecar has out there. */
    public void elsewhere(int attempts) {
        elsewhere = Math.max(0, attempts);
    }

    public boolean isFull(double nowMs) {
        return nowMs < nextSendMs || inFlight + elsewhere >= Math.max(1, size);
    }

    /**
     * Takes an answer, or a failure at its time-out, into account.
     *
     * @param least this sidecar's part of what a node has room for; where that is one or less, a slow
     *        node gets a part of it alone: each of many sidecars meets it seldom and learns late that it is slow
     */
    public void answered(double nowMs, double latencyMs, double quietMs, double typicalMs, double least) {
        double change = Math.min(GROW, CROWDED * quietMs / latencyMs - 1);
        if (change < 0) {
            // It was slow with so many out: a limit that was not even reached is no reason to send more than that. A
            // limit
            // that had
            // grown on quick answers otherwise took a dozen slow ones to shrink, and a node of little traffic has no
            // dozen.
            size = Math.min(size, Math.max(1, inFlight + elsewhere + 1));
            change = Math.max(-SHRINK, change) * Math.min(1, size);
            size = Math.max(least > 1 ? least : KEPT * least, size + change);
            nextSendMs = Math.max(nextSendMs, nowMs + typicalMs * Math.max(0, 1 / Math.max(size, SLOWEST) - 1));
        } else if (inFlight + elsewhere + 1 >= size / 2) {
            size += change; // one quick answer of a jammed node is no reason to go back to one at any time
        }
    }

    /** A failure frees its place no sooner than an answer would: else a node that fails at once has the most room of all. */
    public void failed(double nowMs, double elapsedMs, double typicalMs) {
        double earlyMs = Math.max(0, typicalMs - elapsedMs) / Math.max(1, size);
        double nextMs = Math.min(Math.max(nowMs, nextSendMs) + earlyMs, nowMs + typicalMs);
        nextSendMs = Math.max(nextSendMs, nextMs);
    }
}
