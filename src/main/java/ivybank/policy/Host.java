package ivybank.policy;

import ivybank.concurrency.ConcurrencyLimit;
import ivybank.concurrency.Mean;
import ivybank.handover.Learned;
import ivybank.handover.Trust;
import ivybank.slowstart.TokenBucket;
import java.util.ArrayDeque;

/** What {@link LoadShiftingBalancer} remembers of one upstream since its latest start. */
final class Host {

    final int id;
    /** Drawn at random when it was first listed. */
    double rank;
    /** What discovery said last. */
    Balancer.Upstream listed;
    /** Its part of the draw. */
    double share;
    /** Its part of the draw at hand: the share, or 0 where it is out of it. */
    double weight;
    /** Latencies of this tick, each over the typical one of its class. */
    final Mean latencies = new Mean();
    /** What may be out there at once, and what is. */
    final ConcurrencyLimit concurrency = new ConcurrencyLimit();
    /** Whether a probe is out, and how many requests it was last known to hold, with those sent since. */
    boolean probing;

    double activeRequests;
    /** Attempts still out, oldest first, but for started streams. */
    final ArrayDeque<Attempt> attempts = new ArrayDeque<>();
    /** What it may be sent beside its part of the draw while it is cold. */
    final TokenBucket tokens = new TokenBucket();

    double lastResponseMs;
    int consecutiveFailures;
    /** Why it is set aside; null while it is not. */
    String setAsideReason;

    double nextTrialMs;
    double trialIntervalMs;
    /** Whether staff were told that it is set aside. */
    boolean setAsideLogged;

    Host(Balancer.Upstream listed, double rank) {
        this.rank = rank;
        this.id = listed.id();
        this.listed = listed;
    }

    boolean isReady() {
        return listed.status() == Balancer.Status.READY;
    }

    /** The part of its capacity that the contract lets one expect by now. */
    double warmFraction(double nowMs, Balancer.Contract contract) {
        double ageMs = nowMs - listed.startedMs();
        if (listed.startedMs() <= 0 || ageMs >= contract.coldMs()) {
            return 1;
        }
        return contract.coldFrom() + (1 - contract.coldFrom()) * Math.max(0, ageMs) / contract.coldMs();
    }

    boolean isCold(double nowMs, Balancer.Contract contract) {
        return warmFraction(nowMs, contract) < 1;
    }

    Learned.OfNode learned(boolean member) {
        return new Learned.OfNode(
                listed.startedMs(),
                rank,
                member ? share : 0,
                concurrency.size(),
                concurrency.inFlight(),
                setAsideReason != null);
    }

    /** Keeps its place in the random order also over a restart, the rest only within one life. */
    void restore(Learned.OfNode learned, double confidence) {
        rank = learned == null ? rank : learned.rank();
        if (learned != null && learned.share() > 0 && Trust.sameLife(learned, listed.startedMs())) {
            share = Trust.blend(share, learned.share(), confidence);
            concurrency.reset(Trust.blend(concurrency.size(), learned.window(), confidence));
        }
    }

    @Override
    public String toString() {
        return "upstream " + Integer.toUnsignedString(id);
    }
}
