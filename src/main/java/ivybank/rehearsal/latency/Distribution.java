package ivybank.rehearsal.latency;

import java.util.Arrays;

/**
 * Exact percentiles of values in nanoseconds, which may be negative, as differences are; a histogram of fixed buckets
 * holds no negative ones. Percentiles are by nearest rank.
 */
public final class Distribution {

    private static final double NANOS_IN_MS = 1e6;

    private final long[] sorted;

    /** The values in any order; they are copied. */
    public Distribution(long[] valuesNs) {
        sorted = valuesNs.clone();
        Arrays.sort(sorted);
    }

    public int count() {
        return sorted.length;
    }

    /** The smallest value that at least {@code percentile} of 100 values don't exceed, in ms; NaN if there are none. */
    public double percentileMs(double percentile) {
        if (sorted.length == 0) {
            return Double.NaN;
        }
        int rank = (int) Math.ceil(percentile / 100 * sorted.length);
        return sorted[Math.min(sorted.length, Math.max(1, rank)) - 1] / NANOS_IN_MS;
    }

    /** The largest value in ms; NaN if there are none. */
    public double mostMs() {
        return percentileMs(100);
    }

    /** The part of the values that exceed {@code ms}, from 0 to 1; 0 if there are none. */
    public double partOver(double ms) {
        if (sorted.length == 0) {
            return 0;
        }
        long over =
                Arrays.stream(sorted).filter(value -> value > ms * NANOS_IN_MS).count();
        return (double) over / sorted.length;
    }
}
