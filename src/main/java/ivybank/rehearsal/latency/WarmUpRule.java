package ivybank.rehearsal.latency;

/**
 * How much of a run's beginning is left out of its result: at least {@code leastS} seconds, and at least the time in which
 * {@code leastRequests} are due on each route. Both the sidecar and the generator run code that isn't compiled yet before.
 */
public record WarmUpRule(double leastS, int leastRequests) {

    /** The length of the warm-up at a rate, in seconds. */
    public double seconds(double ratePerS) {
        return Math.max(leastS, leastRequests / ratePerS);
    }
}
