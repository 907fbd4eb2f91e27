package ivybank.discovery;

import ivybank.policy.Balancer.Status;
import java.util.Collection;

/**
 * Converts start times of nodes to the clock of this process. Discovery states starts in Unix time by its own clock. The clock
 * of this process was read once, at its start, and may be off by an hour where it was stepped before. The starts reveal the
 * difference: none lies in the future, and one that is reported as a change is recent. Where neither contradicts the local
 * clock, no correction is made. The caller passes the current time in, in milliseconds.
 */
final class StartTimes {

    /**
     * If a start lies further in the future than this, the local clock is behind: no node starts after it is reported.
     */
    private static final double CLOCK_TOLERANCE_MS = 1000;
    /**
     * Changes are reported within seconds, and within this time after an outage of discovery or in a long deployment.
     */
    private static final double MAX_REPORT_DELAY_MS = 300_000;
    /** Starts within this time before the newest one count as simultaneous with it: no node warms up for longer. */
    private static final double SAME_WAVE_MS = 60_000;

    /** The shortest time from a start until it was known here, by the clock of this process. */
    private double minAgeMs = Double.POSITIVE_INFINITY;

    private double correctionMs;

    /**
     * Learns from entries that discovery has reported.
     *
     * @param change whether they were reported as a change rather than as part of the whole list
     */
    void observe(Collection<NodeListUpdate.Entry> entries, boolean change, double nowMs) {
        double newestMs = entries.stream()
                .filter(entry -> entry.status() == Status.READY && entry.startedMs() > 0)
                .mapToDouble(NodeListUpdate.Entry::startedMs)
                .max()
                .orElse(Double.NEGATIVE_INFINITY);
        if (nowMs - newestMs >= minAgeMs) {
            return; // no new information
        }
        minAgeMs = nowMs - newestMs;
        boolean plausible = minAgeMs >= -CLOCK_TOLERANCE_MS && minAgeMs <= MAX_REPORT_DELAY_MS;
        boolean contradicted = minAgeMs < -CLOCK_TOLERANCE_MS || change || isMinorityNew(entries, newestMs);
        correctionMs = plausible || !contradicted ? 0 : minAgeMs;
    }

    /**
     * Returns whether the nodes that may have just started, if the local clock is ahead, are a minority. Then treating them as
     * just started costs little. Where all nodes started together long ago, the local clock is trusted.
     */
    private static boolean isMinorityNew(Collection<NodeListUpdate.Entry> entries, double newestMs) {
        long newest = entries.stream()
                .filter(entry -> entry.startedMs() > newestMs - SAME_WAVE_MS)
                .count();
        return 2 * newest <= entries.size();
    }

    /**
     * Returns the start of a node that is reported now, by the clock of this process and never later than now; 0 for long ago.
     */
    double startedMs(double listedStartMs, double nowMs) {
        return listedStartMs <= 0 ? 0 : Math.min(nowMs, listedStartMs + correctionMs);
    }
}
