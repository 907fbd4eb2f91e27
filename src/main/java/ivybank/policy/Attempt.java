package ivybank.policy;

/** What {@link LoadShiftingBalancer} remembers of one attempt. */
final class Attempt {

    final Call call;
    final int number;
    final Host host;
    /** The list entry at the time: it names the group that drops repeats. */
    final Balancer.Upstream sentTo;

    double sentMs;
    final double timeoutMs;
    private boolean countsAsLoad;
    /** Null while it is out. */
    Balancer.Outcome outcome;
    /** Whether it has been counted as late or timely. */
    boolean latenessCounted;

    Attempt(Call call, Host host, double sentMs, double timeoutMs) {
        this.call = call;
        this.number = call.attempts.size();
        this.host = host;
        this.sentTo = host.listed;
        this.sentMs = sentMs;
        this.timeoutMs = timeoutMs;
    }

    /** Notes it as out with its request and its server. */
    void register() {
        call.attempts.add(this);
        call.attemptsInFlight++;
        if (!call.arriving) {
            countAsLoad(sentMs);
        }
    }

    /** From now on it is its server's load: one whose request is still arriving waits for nothing there. */
    void countAsLoad(double nowMs) {
        sentMs = nowMs;
        countsAsLoad = true;
        host.attempts.addLast(this);
        host.concurrency.sent(nowMs, call.statistics.typicalMs());
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
