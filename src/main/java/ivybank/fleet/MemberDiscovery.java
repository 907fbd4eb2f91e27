package ivybank.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Probes addresses where no member is known to be alive, in turn one that a member once had and one that nobody ever
 * had. This is how a fleet is found after a start and how a partition heals.
 */
final class MemberDiscovery {

    private static final double FAST_INTERVAL_MS = 100;
    private static final double FAST_DURATION_MS = 3000;
    private static final double ISOLATED_INTERVAL_MS = 300;

    private final ViewState view;
    private final FailureDetector detector;
    private double nextMs;
    private double fastUntilMs;
    private boolean knownTurn;

    MemberDiscovery(ViewState view, FailureDetector detector) {
        this.view = view;
        this.detector = detector;
    }

    void start(double nowMs) {
        nextMs = nowMs + view.random.nextDouble() * FAST_INTERVAL_MS;
        speedUp(nowMs);
    }

    /** Probes more often for some seconds. */
    void speedUp(double nowMs) {
        fastUntilMs = nowMs + FAST_DURATION_MS;
    }

    void tick(double nowMs) {
        if (nowMs < nextMs) {
            return;
        }
        nextMs = nowMs + Jitter.apply(intervalMs(nowMs), view.random);
        List<Integer> candidates = candidates();
        if (!candidates.isEmpty()) {
            detector.probe(nowMs, candidates.get(view.random.nextInt(candidates.size())), true);
        }
    }

    private double intervalMs(double nowMs) {
        if (nowMs < fastUntilMs) {
            return FAST_INTERVAL_MS;
        }
        return view.members.aliveCount() == 0 ? ISOLATED_INTERVAL_MS : view.timing.discoveryMs();
    }

    private List<Integer> candidates() {
        List<Integer> known = new ArrayList<>();
        List<Integer> unknown = new ArrayList<>();
        for (Member member : view.members.all()) {
            if (member != view.self() && !member.isAlive()) {
                (member.incarnation > 0 ? known : unknown).add(member.index);
            }
        }
        knownTurn = !knownTurn;
        return knownTurn && !known.isEmpty() || unknown.isEmpty() ? known : unknown;
    }
}
