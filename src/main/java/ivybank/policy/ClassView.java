package ivybank.policy;

import ivybank.concurrency.LatencyTracker;

/** What {@link LoadShiftingBalancer} has seen of one class of requests. */
final class ClassView extends LatencyTracker {

    final Balancer.RequestClass spec;
    /** Requests that came and requests served, older ones counting less. */
    double offered;

    double served;
    /** The longest that a client of this class was seen to wait. */
    double longestTryMs;

    ClassView(Balancer.RequestClass spec, double typicalMs) {
        super(typicalMs);
        this.spec = spec;
    }

    double worthOffered() {
        return offered * spec.worth();
    }

    double partServed() {
        return offered > 0 ? served / offered : 1;
    }

    /** Lets a tick pass: old counts keep a part, and the quiet latency follows the typical one. */
    void tick(double kept, double leastAnswers, double forget) {
        offered *= kept;
        served *= kept;
        tick(leastAnswers, forget);
    }
}
