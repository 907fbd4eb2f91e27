package ivybank.concurrency;

/**
 * An adaptive limit on the attempts in flight at one node, and on when the next may be sent. It grows with quick answers and
 * shrinks with slow ones. If another process of the sidecar has attempts in flight at the node too, the limit applies to both
 * together. Times are in milliseconds.
 */
public final class ConcurrencyLimit {

    private static final double MAX_BASELINE_RATIO =
            1.3; // an answer that takes more baseline latencies than this shrinks the limit
    private static final double MAX_GROWTH = 0.25; // attempts added by one quick answer, at most
    private static final double MAX_REDUCTION = 0.5; // attempts taken off by one slow answer, at most
    /** Fraction of its minimum that one of many sidecars keeps at a slow node; with all of it, congestion never clears. */
    private static final double MIN_PART_FOR_SLOW_NODE = 0.25;
    /** Minimum mean attempts in flight, so that each node is still sent some. */
    private static final double MIN_RATE = 0.01;

    private double size;
    private double nextSendMs;
    private int inFlight;
    private int siblingInFlight;

    /** Sets the size, as for a new node. */
    public void reset(double newSize) {
        size = Math.max(0, newSize);
    }

    public double size() {
        return size;
    }

    /** Returns the number of attempts of this process that are in flight. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns half of the size less the attempts in flight; negative if more than half of the limit is in use. */
    public double halfHeadroom() {
        return size / 2 - inFlight;
    }

    /**
     * Records that an attempt was sent. A limit below one is a rate: the next attempt waits so long that, at the median
     * latency, the mean number in flight equals the limit. Otherwise each of a hundred sidecars may always have one attempt at
     * each node, and together they congest it.
     */
    public void sent(double nowMs, double medianMs) {
        inFlight++;
        if (size < 1) {
            nextSendMs = Math.max(nextSendMs, nowMs + medianMs / Math.max(size, MIN_RATE));
        }
    }

    public void ended() {
        inFlight--;
    }

    /** Sets how many attempts another process of the sidecar has in flight at the node. */
    public void setSiblingInFlight(int attempts) {
        siblingInFlight = Math.max(0, attempts);
    }

    public boolean isFull(double nowMs) {
        return nowMs < nextSendMs || inFlight + siblingInFlight >= Math.max(1, size);
    }

    /**
     * Adjusts the limit to the latency of an answer, or of a failure, which counts as if it had taken its whole timeout.
     *
     * @param minSize this sidecar's part of the node's capacity, the lower bound of the limit. If it is one or less, the bound
     *        is only a fraction of it: each of many sidecars rarely sends to a node and learns late that it is slow
     */
    public void answered(double nowMs, double latencyMs, double baselineMs, double medianMs, double minSize) {
        double change = Math.min(MAX_GROWTH, MAX_BASELINE_RATIO * baselineMs / latencyMs - 1);
        if (change < 0) {
            // The node was slow with this many attempts in flight, so a larger limit that was not reached
            // does not count. Otherwise a limit that had grown on quick answers takes a dozen slow ones to
            // shrink, and a node with little traffic does not get a dozen.
            size = Math.min(size, Math.max(1, inFlight + siblingInFlight + 1));
            change = Math.max(-MAX_REDUCTION, change) * Math.min(1, size);
            size = Math.max(minSize > 1 ? minSize : MIN_PART_FOR_SLOW_NODE * minSize, size + change);
            nextSendMs = Math.max(nextSendMs, nowMs + medianMs * Math.max(0, 1 / Math.max(size, MIN_RATE) - 1));
        } else if (inFlight + siblingInFlight + 1 >= size / 2) {
            size += change; // not set to 1 at once: one quick answer does not show that a congested node has recovered
        }
    }

    /**
     * Records a failure and holds its slot for as long as an answer of median latency would. Otherwise a node that fails at once
     * appears to have the most free capacity of all.
     */
    public void failed(double nowMs, double elapsedMs, double medianMs) {
        double earlyMs = Math.max(0, medianMs - elapsedMs) / Math.max(1, size);
        double nextMs = Math.min(Math.max(nowMs, nextSendMs) + earlyMs, nowMs + medianMs);
        nextSendMs = Math.max(nextSendMs, nextMs);
    }
}
