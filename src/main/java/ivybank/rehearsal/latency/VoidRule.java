package ivybank.rehearsal.latency;

import java.util.Locale;
import java.util.Optional;

/**
 * Whether a run can be trusted. It can't if the generator's own lateness, at the percentile that the budget is stated for,
 * exceeds a tenth of the budget on either route: the error would then be of the order of what is measured. Rarer lateness
 * can't move that percentile by more than its neighbours and is reported, without voiding the run.
 *
 * @param budgetMs what a sidecar may add to a call
 * @param percentile for which the budget holds
 */
public record VoidRule(double budgetMs, double percentile) {

    /** The budget that operators plan with: 0.93 ms for 99 calls in 100. */
    public static final VoidRule STANDARD = new VoidRule(0.93, 99);

    private static final double ALLOWED_PART = 0.1;

    /** The lateness that the rule allows, in ms. */
    public double allowedMs() {
        return ALLOWED_PART * budgetMs;
    }

    /** Why the run is void; empty if it can be trusted. */
    public Optional<String> reason(RunSummary run) {
        for (Route route : Route.values()) {
            double lateMs = run.lateness(route).percentileMs(percentile);
            if (Double.isNaN(lateMs)) {
                return Optional.of("no request was answered, " + word(route));
            }
            if (lateMs > allowedMs()) {
                return Optional.of(String.format(
                        Locale.ROOT,
                        "generator late by p%.0f %.3f ms, %s; %.3f ms is allowed",
                        percentile,
                        lateMs,
                        word(route),
                        allowedMs()));
            }
        }
        return Optional.empty();
    }

    private static String word(Route route) {
        return route.name().toLowerCase(Locale.ROOT);
    }
}
