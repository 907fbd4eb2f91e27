package ivybank.policy;

import ivybank.concurrency.LatencyTracker;

/** The statistics that {@link LoadShiftingBalancer} keeps of one request class. */
final class ClassStatistics extends LatencyTracker {

    final Balancer.RequestClass spec;
    /** The number of requests received, in which older ones count less; {@link #served} likewise. */
    double offered;

    double served;
    /** The longest timeout of a request of this class. */
    double longestTimeoutMs;

    ClassStatistics(Balancer.RequestClass spec, double medianMs) {
        super(medianMs);
        this.spec = spec;
    }

    double offeredWorth() {
        return offered * spec.worth();
    }

    double servedFraction() {
        return offered > 0 ? served / offered : 1;
    }

    /** Ends a tick: decays the counts and lets the baseline latency follow the median. */
    void tick(double keptFraction, double minAnswers, double decay) {
        offered *= keptFraction;
        served *= keptFraction;
        tick(minAnswers, decay);
    }
}
