package ivybank.discovery;

import ivybank.policy.Balancer.Status;
import java.util.Collection;

/**
 * Tells when nodes started by the clock of this process. Discovery states starts in Unix time by a clock of its own; that of this
 * process was read once, at its start, and may have been stepped by an hour before. What nodes' starts show of the difference:
 * none lies in the future, and one that is told as a change has just been. Where neither contradicts the clock, it is believed.
 * Decides by the clock handed in, in milliseconds.
 */
final class StartTimes {

    /** Behind by more than this, the clock is wrong: no node starts later than it is told. */
    private static final double FUTURE_MS = 1000;
    /** A change is told within seconds; outages of discovery and long deploys included, within this. */
    private static final double LONGEST_TOLD_AFTER_MS = 300_000;
    /** So long before the newest start another one still counts as one with it: no node warms up for longer. */
    private static final double SAME_WAVE_MS = 60_000;

    /** The least time from a start until it was known here, by this process's clock. */
    private double leastAgeMs = Double.POSITIVE_INFINITY;

    private double correctionMs;

    /**
     * Looks at what discovery has told.
     *
     * @param change whether it was told as a change, not as part of the whole list
     */
    void observe(Collection<HostUpdate.Entry> entries, boolean change, double nowMs) {
        double newestMs = entries.stream()
                .filter(entry -> entry.status() == Status.READY && entry.bornMs() > 0)
                .mapToDouble(HostUpdate.Entry::bornMs)
                .max()
                .orElse(Double.NEGATIVE_INFINITY);
        if (nowMs - newestMs >= leastAgeMs) {
            return; // it shows nothing new
        }
        leastAgeMs = nowMs - newestMs;
        boolean believed = leastAgeMs >= -FUTURE_MS && leastAgeMs <= LONGEST_TOLD_AFTER_MS;
        boolean contradicted = leastAgeMs < -FUTURE_MS || change || isFewOf(entries, newestMs);
        correctionMs = believed || !contradicted ? 0 : leastAgeMs;
    }

    /**
     * Whether those that may have started just now, if the clock is ahead, are few: then it costs little to take them for that,
     * and where all started together long ago, the clock is believed.
     */
    private static boolean isFewOf(Collection<HostUpdate.Entry> entries, double newestMs) {
        long newest = entries.stream()
                .filter(entry -> entry.bornMs() > newestMs - SAME_WAVE_MS)
                .count();
        return 2 * newest <= entries.size();
    }

    /** When a node started that is told now, by this process's clock and never later than now; 0 for long ago. */
    double startedMs(double bornMs, double nowMs) {
        return bornMs <= 0 ? 0 : Math.min(nowMs, bornMs + correctionMs);
    }
}
