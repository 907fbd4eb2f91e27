package ivybank.policy;

/** The state that {@link LoadShiftingBalancer} keeps of one attempt. */
final class Attempt {

    final Call call;
    final int number;
    final Host host;
    /** The node's list entry when the attempt was sent; it identifies the group that drops repeats. */
    final Balancer.Upstream sentTo;

    double sentMs;
    final double timeoutMs;
    private boolean countsAsLoad;
    /** Null while the attempt is in flight. */
    Balancer.Outcome outcome;
    /** Whether the attempt has been counted as late or in time. */
    boolean latenessCounted;

    Attempt(Call call, Host host, double sentMs, double timeoutMs) {
        this.call = call;
        this.number = call.attempts.size();
        this.host = host;
        this.sentTo = host.listed;
        this.sentMs = sentMs;
        this.timeoutMs = timeoutMs;
    }

    /** Adds the attempt to those in flight of its request and, unless the request is still arriving, of its node. */
    void register() {
        call.attempts.add(this);
        call.attemptsInFlight++;
        if (!call.arriving) {
            countAsLoad(sentMs);
        }
    }

    /**
     * Counts the attempt as load of its node from now on. One whose request is still arriving does not count, as the node cannot
     * begin it yet.
     */
    void countAsLoad(double nowMs) {
        sentMs = nowMs;
        countsAsLoad = true;
        host.attempts.addLast(this);
        host.concurrency.sent(nowMs, call.statistics.medianMs());
        host.activeRequests++;
    }

    void end(Balancer.Outcome ended) {
        outcome = ended;
        call.attemptsInFlight--;
        host.attempts.remove(this);
        if (countsAsLoad) {
            host.concurrency.ended();
        }
    }

    double ageMs(double nowMs) {
        return nowMs - sentMs;
    }

    boolean mayHaveRun() {
        return outcome == null || !outcome.provesNotRun();
    }
}
