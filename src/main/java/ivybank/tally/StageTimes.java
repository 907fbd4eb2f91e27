package ivybank.tally;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * How long requests took in each stage: one histogram of microseconds for each, with eight buckets for each power of two, in
 * fixed memory (1.5 kB a stage), to which recording allocates nothing. Plain counters, because a serving process loads no
 * library of histograms. Not safe for use by several threads.
 */
final class StageTimes {

    private static final long LONGEST_MICROS = 60_000_000;
    private static final int BUCKET_BITS = 3;
    /** In each power of two; smaller values have a bucket each. */
    private static final int BUCKETS = 1 << BUCKET_BITS;

    private static final double MICROS_IN_MS = 1000;
    private static final double PERCENT = 100;

    private final Map<Stage, long[]> histograms = new EnumMap<>(Stage.class);

    StageTimes() {
        for (Stage stage : Stage.values()) {
            histograms.put(stage, new long[bucket(LONGEST_MICROS) + 1]);
        }
    }

    /** The number of the bucket that a time falls into. */
    private static int bucket(long micros) {
        if (micros < BUCKETS) {
            return (int) micros;
        }
        int dropped = Long.SIZE - 1 - Long.numberOfLeadingZeros(micros) - BUCKET_BITS;
        return (dropped << BUCKET_BITS) + (int) (micros >> dropped);
    }

    /** The least time that falls into a bucket, in microseconds. */
    private static long leastMicros(int bucket) {
        if (bucket < BUCKETS) {
            return bucket;
        }
        int dropped = (bucket >> BUCKET_BITS) - 1;
        return (long) (BUCKETS + (bucket & BUCKETS - 1)) << dropped;
    }

    /** Records a time; one that is negative counts as none, one that is too long as the longest. */
    void record(Stage stage, double ms) {
        record(stage, (long) Math.min(LONGEST_MICROS, ms * MICROS_IN_MS), 1);
    }

    private void record(Stage stage, long micros, long count) {
        histograms.get(stage)[bucket(Math.max(0, Math.min(LONGEST_MICROS, micros)))] += count;
    }

    /** Adds what another sidecar or second has counted. */
    void add(Map<Stage, Map<Long, Long>> counts) {
        counts.forEach((stage, byMicros) -> byMicros.forEach((micros, count) -> record(stage, micros, count)));
    }

    /** The counts by microseconds of each stage that has any. */
    Map<Stage, Map<Long, Long>> counts() {
        Map<Stage, Map<Long, Long>> counts = new EnumMap<>(Stage.class);
        histograms.forEach((stage, histogram) -> {
            if (count(stage) > 0) {
                counts.put(stage, counts(histogram));
            }
        });
        return counts;
    }

    private static Map<Long, Long> counts(long[] histogram) {
        Map<Long, Long> counts = new TreeMap<>();
        for (int i = 0; i < histogram.length; i++) {
            if (histogram[i] > 0) {
                counts.put(leastMicros(i), histogram[i]);
            }
        }
        return counts;
    }

    void clear() {
        histograms.values().forEach(histogram -> Arrays.fill(histogram, 0));
    }

    /** How many were recorded. */
    long count(Stage stage) {
        long count = 0;
        for (long inBucket : histograms.get(stage)) {
            count += inBucket;
        }
        return count;
    }

    /** The least time of the bucket that a percentile of a stage falls into, in ms; 0 without any. */
    double percentileMs(Stage stage, double percentile) {
        long[] histogram = histograms.get(stage);
        long left = (long) Math.ceil(percentile / PERCENT * count(stage));
        int bucket = 0;
        for (; bucket < histogram.length - 1 && left > histogram[bucket]; bucket++) {
            left -= histogram[bucket];
        }
        return leastMicros(bucket) / MICROS_IN_MS;
    }

    /** The mean of a stage, in ms, each time taken for the middle of its bucket; 0 without any. */
    double meanMs(Stage stage) {
        long[] histogram = histograms.get(stage);
        double sumMicros = 0;
        for (int i = 0; i < histogram.length; i++) {
            sumMicros += histogram[i] * (leastMicros(i) + leastMicros(i + 1)) / 2.0;
        }
        return sumMicros / Math.max(1, count(stage)) / MICROS_IN_MS;
    }
}
