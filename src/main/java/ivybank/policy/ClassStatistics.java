package ivybank.policy;

import ivybank.concurrency.LatencyTracker;

/** What {@link LoadShiftingBalancer} has seen of one class of requests. */
final class ClassStatistics extends LatencyTracker {

    final Balancer.RequestClass spec;
    /** Requests that came and requests served, older ones counting less. */
    double offered;

    double served;
    /** The longest that a client of this class was seen to wait. */
    double longestTimeoutMs;

    ClassStatistics(Balancer.RequestClass spec, double typicalMs) {
        super(typicalMs);
        this.spec = spec;
    }

    double offeredWorth() {
        return offered * spec.worth();
    }

    double servedFraction() {
        return offered > 0 ? served / offered : 1;
    }

    /** Lets a tick pass: old counts keep a part, and the quiet latency follows the typical one. */
    void tick(double keptFraction, double minAnswers, double decay) {
        offered *= keptFraction;
        served *= keptFraction;
        tick(minAnswers, decay);
    }
}
