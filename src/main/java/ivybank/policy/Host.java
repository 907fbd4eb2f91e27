package ivybank.policy;

import ivybank.concurrency.ConcurrencyLimit;
import ivybank.concurrency.Mean;
import ivybank.handover.Confidence;
import ivybank.handover.LearnedState;
import ivybank.slowstart.TokenBucket;
import java.util.ArrayDeque;

/** The state that {@link LoadShiftingBalancer} keeps of one upstream since the latest start of its node. */
final class Host {

    final int id;
    /** Random number, drawn when the node was first listed; the nodes with the lowest ranks form the subset. */
    double rank;
    /** The latest entry from discovery. */
    Balancer.Upstream listed;
    /** The node's fraction of the traffic: its probability in the weighted random draw. */
    double share;
    /** The weight in the current draw: the share, or 0 if the node is excluded. */
    double weight;
    /** Latencies since the last update of the shares, each divided by the median latency of its class. */
    final Mean latencies = new Mean();
    /** The limit on the attempts in flight, and their number. */
    final ConcurrencyLimit concurrency = new ConcurrencyLimit();
    /** Whether a probe is in flight. */
    boolean probing;
    /** The requests that the node was working on by its last probe, plus those sent to it since. */
    double activeRequests;
    /** The attempts in flight, oldest first, without streams whose answer has begun. */
    final ArrayDeque<Attempt> attempts = new ArrayDeque<>();
    /** Limits the requests that the node is sent on top of its share while it is cold. */
    final TokenBucket tokens = new TokenBucket();

    double lastResponseMs;
    int consecutiveFailures;
    /** Why the node is set aside (excluded after silence or failures); null while it is not. */
    String setAsideReason;

    double nextTrialMs;
    double trialIntervalMs;
    /** Whether it was logged that the node is set aside. */
    boolean setAsideLogged;

    Host(Balancer.Upstream listed, double rank) {
        this.rank = rank;
        this.id = listed.id();
        this.listed = listed;
    }

    boolean isReady() {
        return listed.status() == Balancer.Status.READY;
    }

    /** Returns the fraction of the node's capacity that is available by now according to the contract. */
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

    LearnedState.NodeState learned(boolean member) {
        return new LearnedState.NodeState(
                listed.startedMs(),
                rank,
                member ? share : 0,
                concurrency.size(),
                concurrency.inFlight(),
                setAsideReason != null);
    }

    /**
     * Takes over what another process has learned of the node. The rank holds across restarts of the node; the rest only if the
     * node has not restarted since.
     */
    void restore(LearnedState.NodeState learned, double confidence) {
        rank = learned == null ? rank : learned.rank();
        if (learned != null && learned.share() > 0 && Confidence.isSameIncarnation(learned, listed.startedMs())) {
            share = Confidence.blend(share, learned.share(), confidence);
            concurrency.reset(Confidence.blend(concurrency.size(), learned.concurrencyLimit(), confidence));
        }
    }

    @Override
    public String toString() {
        return "upstream " + Integer.toUnsignedString(id);
    }
}
