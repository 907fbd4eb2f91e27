package ivybank.rehearsal.latency;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * All runs of one setting, and the medians of those that aren't void.
 *
 * @param ratePerS requests a second through the sidecar, and as many direct ones
 */
public record OverheadCell(double ratePerS, int nodes, Disturbance disturbance, List<OverheadRun> runs) {

    public OverheadCell {
        runs = List.copyOf(runs);
    }

    /** The runs that count. */
    public List<OverheadRun> valid() {
        return runs.stream().filter(run -> !run.isVoid()).toList();
    }

    /** The median of a figure over the runs that count, the lower one of two in the middle; NaN if there are none. */
    public double median(ToDoubleFunction<RunSummary> figure) {
        double[] values = valid().stream()
                .map(OverheadRun::measured)
                .mapToDouble(figure)
                .sorted()
                .toArray();
        return values.length == 0 ? Double.NaN : values[(values.length - 1) / 2];
    }

    /** The setting in words. */
    @Override
    public String toString() {
        return String.format("%s, %.0f/s, %d nodes", disturbance, ratePerS, nodes);
    }
}
