package ivybank.tally;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The times of requests in each stage: one histogram of microseconds for each stage, with eight buckets for each power of two, in
 * fixed memory (1.5 kB a stage). Recording allocates nothing. It uses plain counters, because a serving process loads no histogram
 * library. Not thread-safe.
 */
final class StageTimes {

    private static final long MAX_MICROS = 60_000_000;
    private static final int BUCKET_BITS = 3;
    /** The number of buckets for each power of two; smaller values have a bucket each. */
    private static final int BUCKETS = 1 << BUCKET_BITS;

    private static final double MICROS_PER_MS = 1000;
    private static final double PERCENT = 100;

    private final Map<Stage, long[]> histograms = new EnumMap<>(Stage.class);

    StageTimes() {
        for (Stage stage : Stage.values()) {
            histograms.put(stage, new long[bucket(MAX_MICROS) + 1]);
        }
    }

    /** Returns the index of the bucket of a time. */
    private static int bucket(long micros) {
        if (micros < BUCKETS) {
            return (int) micros;
        }
        int droppedBits = Long.SIZE - 1 - Long.numberOfLeadingZeros(micros) - BUCKET_BITS;
        return (droppedBits << BUCKET_BITS) + (int) (micros >> droppedBits);
    }

    /** Returns the lower bound of a bucket, in microseconds. */
    private static long lowerBoundMicros(int bucket) {
        if (bucket < BUCKETS) {
            return bucket;
        }
        int droppedBits = (bucket >> BUCKET_BITS) - 1;
        return (long) (BUCKETS + (bucket & BUCKETS - 1)) << droppedBits;
    }

    /** Records a time. A negative time counts as 0, and one above the maximum as the maximum. */
    void record(Stage stage, double ms) {
        record(stage, (long) Math.min(MAX_MICROS, ms * MICROS_PER_MS), 1);
    }

    private void record(Stage stage, long micros, long count) {
        histograms.get(stage)[bucket(Math.max(0, Math.min(MAX_MICROS, micros)))] += count;
    }

    /** Adds the counts of another sidecar or second. */
    void add(Map<Stage, Map<Long, Long>> counts) {
        counts.forEach((stage, byMicros) -> byMicros.forEach((micros, count) -> record(stage, micros, count)));
    }

    /** Returns the counts by microseconds of each stage that has any. */
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
                counts.put(lowerBoundMicros(i), histogram[i]);
            }
        }
        return counts;
    }

    void clear() {
        histograms.values().forEach(histogram -> Arrays.fill(histogram, 0));
    }

    /** Returns the number of recorded times. */
    long count(Stage stage) {
        long count = 0;
        for (long inBucket : histograms.get(stage)) {
            count += inBucket;
        }
        return count;
    }

    /** Returns the lower bound of the bucket that contains a percentile of a stage, in ms; 0 without times. */
    double percentileMs(Stage stage, double percentile) {
        long[] histogram = histograms.get(stage);
        long left = (long) Math.ceil(percentile / PERCENT * count(stage));
        int bucket = 0;
        for (; bucket < histogram.length - 1 && left > histogram[bucket]; bucket++) {
            left -= histogram[bucket];
        }
        return lowerBoundMicros(bucket) / MICROS_PER_MS;
    }

    /** Returns the mean of a stage, in ms, where each time counts as the middle of its bucket; 0 without times. */
    double meanMs(Stage stage) {
        long[] histogram = histograms.get(stage);
        double sumMicros = 0;
        for (int i = 0; i < histogram.length; i++) {
            sumMicros += histogram[i] * (lowerBoundMicros(i) + lowerBoundMicros(i + 1)) / 2.0;
        }
        return sumMicros / Math.max(1, count(stage)) / MICROS_PER_MS;
    }
}
