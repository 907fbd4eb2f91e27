package ivybank.common;

import java.util.function.IntToDoubleFunction;

/**
 * Time to full service after a fault: until the share of what is served has come back to within 5% of what it was in the 5 s
 * before, and stays so for 5 s.
 */
public final class RecoveryTime {

    private static final int BEFORE_S = 5;
    private static final int STAYS_S = 5;
    private static final double WITHIN = 0.05;

    private RecoveryTime() {}

    /**
     * The time in seconds.
     *
     * @param share of the requests of a second that were served as wanted, by second; NaN where none came
     * @param seconds how many there are
     * @param faultS when the fault was, in seconds from the first one's beginning
     * @return 0 where service did not fall; infinite where it did not come back, or too late to stay; NaN where nothing was before
     */
    public static double seconds(IntToDoubleFunction share, int seconds, double faultS) {
        int fault = (int) Math.floor(faultS);
        double before = mean(share, Math.max(0, fault - BEFORE_S), Math.min(fault, seconds));
        if (Double.isNaN(before)) {
            return Double.NaN;
        }
        for (int from = fault; from + STAYS_S <= seconds; from++) {
            double first = share.applyAsDouble(from);
            double then = mean(share, from, from + STAYS_S);
            // The second itself too: four good ones must not make up for the fault's own.
            if (then >= before - WITHIN && !(first < before - WITHIN)) {
                return Math.max(0, from - faultS);
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    private static double mean(IntToDoubleFunction share, int from, int until) {
        double sum = 0;
        int count = 0;
        for (int second = from; second < until; second++) {
            double at = share.applyAsDouble(second);
            if (!Double.isNaN(at)) {
                sum += at;
                count++;
            }
        }
        return count == 0 ? Double.NaN : sum / count;
    }
}
