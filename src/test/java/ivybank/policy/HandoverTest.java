package ivybank.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.handover.LearnedState;
import ivybank.policy.Balancer.ListKind;
import ivybank.policy.Balancer.Outcome;
import ivybank.policy.Balancer.Status;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the state that a balancer takes over from another process of its sidecar. */
class HandoverTest {

    /** Serves requests for a while, at upstream 1 four times as slowly as at the others. */
    private static void sendRequests(RuleCheckingSidecar sidecar, double ms) {
        for (double until = sidecar.nowMs + ms; sidecar.nowMs < until; ) {
            for (int i = 0; i < 6; i++) {
                sidecar.request(0);
            }
            sidecar.advance(Samples.TICK_MS);
            for (RuleCheckingSidecar.SentAttempt attempt : sidecar.inFlight()) {
                if (sidecar.nowMs - attempt.sentMs >= (attempt.upstream == 1 ? 200 : 50)) {
                    sidecar.endAttempt(attempt, Outcome.OK);
                }
            }
        }
    }

    private static RuleCheckingSidecar previous() {
        RuleCheckingSidecar previous = new RuleCheckingSidecar(Samples.safe(), 5);
        previous.listReady(14);
        sendRequests(previous, 6000);
        return previous;
    }

    private static double share(RuleCheckingSidecar sidecar, int upstream) {
        return sidecar.balancer.learned().nodes().get(upstream).share();
    }

    @Test
    void sharesLimitsAndSubsetAreTakenOver() {
        RuleCheckingSidecar previous = previous();
        LearnedState<Integer> learned = previous.balancer.learned();
        RuleCheckingSidecar next = new RuleCheckingSidecar(Samples.safe(), 77);
        next.nowMs = previous.nowMs;
        next.listReady(14);
        next.balancer.restore(learned, 1);
        LearnedState<Integer> restored = next.balancer.learned();
        learned.nodes().forEach((id, node) -> {
            assertEquals(node.share(), restored.nodes().get(id).share(), 1e-9, "upstream " + id);
            assertEquals(
                    node.concurrencyLimit(),
                    node.share() > 0 ? restored.nodes().get(id).concurrencyLimit() : node.concurrencyLimit(),
                    1e-9,
                    "upstream " + id);
        });
        assertEquals(learned.classes(), restored.classes());
        assertEquals(learned.maxRateByKind(), restored.maxRateByKind());
    }

    @Test
    void oldStateIsTakenOverInPartAndSharesAddUpToOne() {
        RuleCheckingSidecar previous = previous();
        RuleCheckingSidecar next = new RuleCheckingSidecar(Samples.safe(), 77);
        next.listReady(14);
        next.balancer.restore(previous.balancer.learned(), 0.5);
        double sum = 0;
        for (int id = 1; id <= 14; id++) {
            sum += share(next, id);
            boolean drawn = share(previous, id) > 0;
            assertEquals(drawn, share(next, id) > 0, "the subset is the same");
        }
        assertEquals(1, sum, 1e-9);
    }

    @Test
    void stateOfARestartedNodeIsNotTakenOver() {
        RuleCheckingSidecar previous = previous();
        RuleCheckingSidecar next = new RuleCheckingSidecar(Samples.safe(), 77);
        next.nowMs = previous.nowMs;
        next.listReady(14);
        double fresh = 8 * 14 / 10.0;
        int restarted = previous.balancer.learned().nodes().entrySet().stream()
                .filter(node -> node.getValue().concurrencyLimit() > fresh + 2)
                .mapToInt(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
        next.updateList(ListKind.DELTA, RuleCheckingSidecar.upstream(restarted, Status.READY, next.nowMs));
        next.balancer.restore(previous.balancer.learned(), 1);
        assertEquals(
                fresh, next.balancer.learned().nodes().get(restarted).concurrencyLimit(), "the limit of a new node");
    }

    @Test
    void stateOfUnlistedNodesAndOtherClassesIsIgnored() {
        RuleCheckingSidecar previous = previous();
        RuleCheckingSidecar next = new RuleCheckingSidecar(Samples.safe(), 77);
        next.listReady(3);
        LearnedState<Integer> learned = previous.balancer.learned();
        next.balancer.restore(new LearnedState<>(0.05, 0, List.of(), learned.nodes(), Map.of()), 1);
        assertEquals(3, next.balancer.learned().nodes().size());
        assertEquals(1, next.balancer.learned().admittedFraction(), "state of other classes is ignored");
        sendRequests(next, 1000);
        assertEquals(List.of(), next.violations);
    }

    @Test
    void attemptsOfAnotherProcessCountTowardsTheLimit() {
        RuleCheckingSidecar previous = previous();
        RuleCheckingSidecar next = new RuleCheckingSidecar(Samples.safe(), 77);
        next.nowMs = previous.nowMs;
        next.listReady(14);
        next.balancer.restore(previous.balancer.learned(), 1);
        double limits = 0;
        for (LearnedState.NodeState node : previous.balancer.learned().nodes().values()) {
            limits += node.share() > 0 ? Math.max(1, node.concurrencyLimit()) : 0;
        }
        Map<Integer, Integer> all = new java.util.HashMap<>();
        previous.balancer
                .learned()
                .nodes()
                .forEach((id, node) -> all.put(id, (int) Math.ceil(node.concurrencyLimit())));
        next.balancer.setSiblingLoad(all, 0.1);
        for (int i = 0; i < limits; i++) {
            next.request(0);
        }
        assertTrue(next.sent.isEmpty(), "sent " + next.sent.size() + " although the other process uses all capacity");
        next.balancer.setSiblingLoad(Map.of(), 1);
        next.advance(500);
        for (int i = 0; i < limits; i++) {
            next.request(0);
        }
        assertTrue(next.sent.size() > 0.5 * limits, "sent " + next.sent.size());
    }
}
