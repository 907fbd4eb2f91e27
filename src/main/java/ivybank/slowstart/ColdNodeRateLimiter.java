package ivybank.slowstart;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the rate at which requests are sent to a node that has just started. The capacity of such a node is not known, so the
 * limit is a fraction of the highest rate at which warm nodes of its kind were seen to answer this sidecar. As every sidecar does
 * so, all together send it no more than its warm fraction of what they send to a warm node. Times are in milliseconds.
 */
public final class ColdNodeRateLimiter {

    private static final double WINDOW_MS = 1000;
    /**
     * Fraction of the highest rate that is kept after a window with a lower one, as machines and their neighbours change. Each
     * node of a kind applies it once per window.
     */
    private static final double RETAINED_FRACTION = 0.998;

    private static final double COUNT_EXPIRY_MS = 10_000;

    private static final class AnswerCount {
        double sinceMs;
        int answers;
    }

    private final Map<Integer, AnswerCount> counts = new HashMap<>();
    private final Map<Integer, Double> maxPerMs = new HashMap<>();
    private double share = 1;

    /** Records an answer of a warm node of this kind. */
    public void answered(double nowMs, int node, int kind) {
        AnswerCount count = counts.get(node);
        if (count == null) {
            counts.values()
                    .removeIf(old -> nowMs - old.sinceMs > COUNT_EXPIRY_MS); // nodes that have left would accumulate
            count = new AnswerCount();
            count.sinceMs = nowMs;
            counts.put(node, count);
        }
        count.answers++;
        if (nowMs - count.sinceMs >= WINDOW_MS) {
            double perMs = count.answers / (nowMs - count.sinceMs);
            maxPerMs.merge(kind, perMs, (highest, latest) -> Math.max(highest * RETAINED_FRACTION, latest));
            count.sinceMs = nowMs;
            count.answers = 0;
        }
    }

    /**
     * Returns the rate, in attempts a millisecond, at which a node of this kind may be sent requests while the fraction
     * {@code warmFraction} of its capacity is certain to be available. For a kind that was not seen yet, the rate of the weakest
     * kind is the base. Returns 0 while no rate is known.
     */
    public double allowedPerMs(int kind, double warmFraction) {
        double weakest =
                maxPerMs.values().stream().mapToDouble(perMs -> perMs).min().orElse(0);
        return share * warmFraction * maxPerMs.getOrDefault(kind, weakest);
    }

    /** Sets this process's fraction of the requests that it and another process of the sidecar have in flight. */
    public void setShare(double share) {
        this.share = share;
    }

    /** Returns, by kind, the highest rate at which a warm node was seen to answer, in attempts a millisecond. */
    public Map<Integer, Double> maxRates() {
        return Map.copyOf(maxPerMs);
    }

    /** Takes over the rates that another process of the sidecar has seen, weighted by a confidence between 0 and 1. */
    public void restore(Map<Integer, Double> other, double confidence) {
        other.forEach((kind, perMs) -> maxPerMs.merge(kind, perMs * confidence, Math::max));
    }
}
