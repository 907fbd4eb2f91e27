package ivybank.common;

import java.util.function.IntToDoubleFunction;

/**
 * The time to full service after a fault: until the share of served requests is back within 5% of what it was in the 5 s
 * before the fault, and stays there for 5 s.
 */
public final class RecoveryTime {

    private static final int BASELINE_S = 5;
    private static final int STABLE_S = 5;
    private static final double TOLERANCE = 0.05;

    private RecoveryTime() {}

    /**
     * Returns the time in seconds.
     *
     * @param share returns the share of a second's requests that were served as wanted; NaN if there were none
     * @param seconds the number of seconds
     * @param faultS the time of the fault in seconds from the beginning of the first second
     * @return 0 if service did not degrade; infinity if it did not recover, or too late to stay recovered; NaN if there is
     *     no baseline
     */
    public static double seconds(IntToDoubleFunction share, int seconds, double faultS) {
        int fault = (int) Math.floor(faultS);
        double baseline = mean(share, Math.max(0, fault - BASELINE_S), Math.min(fault, seconds));
        if (Double.isNaN(baseline)) {
            return Double.NaN;
        }
        for (int from = fault; from + STABLE_S <= seconds; from++) {
            double firstSecond = share.applyAsDouble(from);
            double mean = mean(share, from, from + STABLE_S);
            // The second itself must reach the baseline too: four good seconds must not make up for the second of the
            // fault.
            if (mean >= baseline - TOLERANCE && !(firstSecond < baseline - TOLERANCE)) {
                return Math.max(0, from - faultS);
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    private static double mean(IntToDoubleFunction share, int from, int until) {
        double sum = 0;
        int count = 0;
        for (int second = from; second < until; second++) {
            double value = share.applyAsDouble(second);
            if (!Double.isNaN(value)) {
                sum += value;
                count++;
            }
        }
        return count == 0 ? Double.NaN : sum / count;
    }
}
