package ivybank.policy;

import ivybank.concurrency.ConcurrencyLimit;
import ivybank.concurrency.Mean;
import ivybank.handover.Confidence;
import ivybank.handover.LearnedState;
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

    double held;
    /** Attempts still out, oldest first, but for started streams. */
    final ArrayDeque<Attempt> attempts = new ArrayDeque<>();
    /** What it may be sent beside its part of the draw while it is cold. */
    final TokenBucket tokens = new TokenBucket();

    double heardMs;
    int failures;
    /** Why it is set aside; null while it is not. */
    String setAside;

    double trialAtMs;
    double trialGapMs;
    /** Whether staff were told that it is set aside. */
    boolean announced;

    Host(Balancer.Upstream listed, double rank) {
        this.rank = rank;
        this.id = listed.id();
        this.listed = listed;
    }

    boolean ready() {
        return listed.status() == Balancer.Status.READY;
    }

    /** The part of its capacity that the contract lets one expect by now. */
    double warmth(double nowMs, Balancer.Contract contract) {
        double ageMs = nowMs - listed.startedMs();
        if (listed.startedMs() <= 0 || ageMs >= contract.coldMs()) {
            return 1;
        }
        return contract.coldFrom() + (1 - contract.coldFrom()) * Math.max(0, ageMs) / contract.coldMs();
    }

    boolean isCold(double nowMs, Balancer.Contract contract) {
        return warmth(nowMs, contract) < 1;
    }

    LearnedState.NodeState learned(boolean member) {
        return new LearnedState.NodeState(
                listed.startedMs(),
                rank,
                member ? share : 0,
                concurrency.size(),
                concurrency.inFlight(),
                setAside != null);
    }

    /** Keeps its place in the random order also over a restart, the rest only within one life. */
    void recall(LearnedState.NodeState other, double trust) {
        rank = other == null ? rank : other.rank();
        if (other != null && other.share() > 0 && Confidence.isSameIncarnation(other, listed.startedMs())) {
            share = Confidence.blend(share, other.share(), trust);
            concurrency.reset(Confidence.blend(concurrency.size(), other.window(), trust));
        }
    }

    @Override
    public String toString() {
        return "upstream " + Integer.toUnsignedString(id);
    }
}
