package ivybank.tally;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;

/**
 * How long requests took in each stage: one histogram of microseconds for each, in fixed memory (3 kB), to which recording
 * allocates nothing. Not safe for use by several threads.
 */
final class StageTimes {

    private static final long LONGEST_MICROS = 60_000_000;
    private static final int DIGITS = 1;
    /** Eight steps in each power of two: of an eighth of the value at most. */
    private static final int SIGNIFICANT_BITS = 4;

    private static final double MICROS_IN_MS = 1000;

    private final Map<Stage, Histogram> histograms = new EnumMap<>(Stage.class);

    StageTimes() {
        for (Stage stage : Stage.values()) {
            histograms.put(stage, new Histogram(LONGEST_MICROS, DIGITS));
        }
    }

    /** Records a time; one that is negative counts as none, one that is too long as the longest. */
    void record(Stage stage, double ms) {
        long micros = (long) Math.max(0, Math.min(LONGEST_MICROS, ms * MICROS_IN_MS));
        histograms.get(stage).recordValue(coarse(micros));
    }

    /** Rounds down to a step, so that a second's line stays short whatever happens in it. */
    private static long coarse(long micros) {
        int dropped = Math.max(0, Long.SIZE - SIGNIFICANT_BITS - Long.numberOfLeadingZeros(micros));
        return micros >> dropped << dropped;
    }

    /** Adds what another sidecar or second has counted. */
    void add(Map<Stage, Map<Long, Long>> counts) {
        counts.forEach((stage, byMicros) -> byMicros.forEach((micros, count) ->
                histograms.get(stage).recordValueWithCount(Math.max(0, Math.min(LONGEST_MICROS, micros)), count)));
    }

    /** The counts by microseconds of each stage that has any. */
    Map<Stage, Map<Long, Long>> counts() {
        Map<Stage, Map<Long, Long>> counts = new EnumMap<>(Stage.class);
        histograms.forEach((stage, histogram) -> {
            if (histogram.getTotalCount() > 0) {
                counts.put(stage, counts(histogram));
            }
        });
        return counts;
    }

    private static Map<Long, Long> counts(Histogram histogram) {
        Map<Long, Long> counts = new TreeMap<>();
        for (HistogramIterationValue value : histogram.recordedValues()) {
            counts.put(histogram.lowestEquivalentValue(value.getValueIteratedTo()), value.getCountAtValueIteratedTo());
        }
        return counts;
    }

    void clear() {
        histograms.values().forEach(Histogram::reset);
    }

    /** How many were recorded. */
    long count(Stage stage) {
        return histograms.get(stage).getTotalCount();
    }

    /** A percentile of a stage, in ms. */
    double percentileMs(Stage stage, double percentile) {
        return histograms.get(stage).getValueAtPercentile(percentile) / MICROS_IN_MS;
    }

    /** The mean of a stage, in ms. */
    double meanMs(Stage stage) {
        return histograms.get(stage).getMean() / MICROS_IN_MS;
    }
}
