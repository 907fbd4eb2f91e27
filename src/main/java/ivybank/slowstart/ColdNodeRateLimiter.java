package ivybank.slowstart;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the rate at which a node that has just started is sent requests. Its own capacity is not known, so the limit is a
 * part of the highest rate at which warm nodes of its kind were seen to answer this sidecar. All sidecars together then send
 * it no more than its warm part of what they send to a warm node. Times are in milliseconds.
 */
public final class ColdNodeRateLimiter {

    private static final double SPAN_MS = 1000;
    /** Of the most that was seen, what is kept of it after a span with less: machines and their neighbours change. */
    private static final double KEPT = 0.998; // each node of a kind takes its part of it off

    private static final double FORGOTTEN_MS = 10_000;

    private static final class Count {
        double sinceMs;
        int answers;
    }

    private final Map<Integer, Count> counts = new HashMap<>();
    private final Map<Integer, Double> mostPerMs = new HashMap<>();
    private double own = 1;

    /** Notes an answer of a warm node, whose kind that is. */
    public void answered(double nowMs, int node, int kind) {
        Count count = counts.get(node);
        if (count == null) {
            counts.values().removeIf(old -> nowMs - old.sinceMs > FORGOTTEN_MS); // nodes come and go
            count = new Count();
            count.sinceMs = nowMs;
            counts.put(node, count);
        }
        count.answers++;
        if (nowMs - count.sinceMs >= SPAN_MS) {
            double perMs = count.answers / (nowMs - count.sinceMs);
            mostPerMs.merge(kind, perMs, (most, now) -> Math.max(most * KEPT, now));
            count.sinceMs = nowMs;
            count.answers = 0;
        }
    }

    /**
     * Attempts a millisecond that a node of this kind may be sent, whose part {@code warmth} is warm for certain; that of
     * the weakest kind seen where none of its own was. 0 while nothing is known.
     */
    public double allowedPerMs(int kind, double warmth) {
        double weakest =
                mostPerMs.values().stream().mapToDouble(perMs -> perMs).min().orElse(0);
        return own * warmth * mostPerMs.getOrDefault(kind, weakest);
    }

    /** Tells this process's part of what it and another one of the sidecar have in hand together. */
    public void own(double part) {
        own = part;
    }

    /** By kind, the most that a warm node was seen to carry, in attempts a millisecond. */
    public Map<Integer, Double> most() {
        return Map.copyOf(mostPerMs);
    }

    /** Takes over what another process of the sidecar has seen, as far as it is believed. */
    public void recall(Map<Integer, Double> other, double trust) {
        other.forEach((kind, perMs) -> mostPerMs.merge(kind, perMs * trust, Math::max));
    }
}
