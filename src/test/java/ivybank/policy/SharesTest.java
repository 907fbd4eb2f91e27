package ivybank.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.policy.Balancer.ListKind;
import ivybank.policy.Balancer.Outcome;
import ivybank.policy.Balancer.Status;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests that draws follow the shares, and that shares follow the step of the load-shifting algorithm. */
class SharesTest {

    private static final int DRAWS = 20_000;
    private static final double TOLERANCE = 0.015;
    private static final double NOT_SENT_MS = 0;

    /** Sends requests that end at once with their upstream's latency; returns each upstream's fraction of the draws. */
    private static Map<Integer, Double> draw(RuleCheckingSidecar sidecar, int draws, Map<Integer, Double> latencyMs) {
        Map<Integer, Double> fractions = new HashMap<>();
        for (int i = 0; i < draws; i++) {
            sidecar.request(0);
            RuleCheckingSidecar.SentAttempt attempt = sidecar.lastAttempt();
            double elapsedMs = latencyMs.getOrDefault(attempt.upstream, 100.0);
            attempt.outcome = elapsedMs == NOT_SENT_MS ? Outcome.NOT_SENT : Outcome.OK;
            sidecar.balancer.attemptEnded(
                    sidecar.nowMs,
                    new Balancer.AttemptEnd(
                            attempt.request,
                            attempt.number,
                            attempt.upstream,
                            attempt.outcome,
                            elapsedMs,
                            true,
                            new double[0]));
            fractions.merge(attempt.upstream, 1.0 / draws, Double::sum);
        }
        return fractions;
    }

    private static RuleCheckingSidecar sidecar(int upstreams) {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 7);
        sidecar.listReady(upstreams);
        return sidecar;
    }

    @Test
    void sharesStartEqualAndDrawsFollowThem() {
        Map<Integer, Double> fractions = draw(sidecar(4), DRAWS, Map.of());
        for (int upstream = 1; upstream <= 4; upstream++) {
            assertEquals(0.25, fractions.get(upstream), TOLERANCE);
        }
    }

    /** Runs rounds of draws. A tick needs an open request, so the first round is counted together with the second. */
    private static void tick(RuleCheckingSidecar sidecar, int ticks, int draws, Map<Integer, Double> latencyMs) {
        for (int round = 0; round <= ticks; round++) {
            draw(sidecar, draws, latencyMs);
            sidecar.advance(1100);
        }
    }

    @Test
    void tickMovesSharesByTheComputedStep() {
        // l = 100, 150; mean 125; deviations -0.2, +0.2; factors 1.04, 0.96 (2,000 samples: weight 0.998).
        RuleCheckingSidecar sidecar = sidecar(2);
        Map<Integer, Double> latencyMs = Map.of(1, 100.0, 2, 150.0);
        tick(sidecar, 5, 4000, latencyMs);
        // After five ticks 0.5 x 1.04^5 to 0.5 x 0.96^5: 0.6083 to 0.4077, over their sum 0.599 and 0.401.
        Map<Integer, Double> fractions = draw(sidecar, DRAWS, latencyMs);
        assertEquals(0.599, fractions.get(1), TOLERANCE);
        assertEquals(0.401, fractions.get(2), TOLERANCE);
    }

    @Test
    void nodeWithoutSamplesInATickKeepsItsShare() {
        // As above for 1 and 2; 3 has no samples (its attempts are never sent). After five ticks
        // 0.3333 x 1.2167, 0.3333 x 0.8154 and 0.3333, over their sum 1.0107: 0.401, 0.269, 0.330.
        RuleCheckingSidecar sidecar = sidecar(3);
        Map<Integer, Double> latencyMs = Map.of(1, 100.0, 2, 150.0, 3, NOT_SENT_MS);
        tick(sidecar, 5, 6000, latencyMs);
        Map<Integer, Double> fractions = draw(sidecar, DRAWS, latencyMs);
        assertEquals(0.401, fractions.get(1), TOLERANCE);
        assertEquals(0.269, fractions.get(2), TOLERANCE);
        assertEquals(0.330, fractions.get(3), TOLERANCE);
    }

    @Test
    void fewSamplesMoveAShareLittle() {
        // About two answers of each in a tick: weight about 2 / (2 + 4), a third of the full step.
        Map<Integer, Double> latencyMs = Map.of(1, 100.0, 2, 150.0);
        RuleCheckingSidecar few = sidecar(2);
        tick(few, 12, 4, latencyMs);
        RuleCheckingSidecar many = sidecar(2);
        tick(many, 12, 4000, latencyMs);
        double fewMoved = draw(few, DRAWS, latencyMs).get(1) - 0.5;
        double manyMoved = draw(many, DRAWS, latencyMs).get(1) - 0.5;
        assertTrue(fewMoved > 0.02 && fewMoved < 0.6 * manyMoved, fewMoved + " of " + manyMoved);
    }

    @Test
    void outlierKeepsAMinimumShareAndRecovers() {
        RuleCheckingSidecar sidecar = sidecar(10);
        for (int tick = 0; tick < 40; tick++) {
            draw(sidecar, 500, Map.of(3, 900_000.0));
            sidecar.advance(3000);
        }
        Map<Integer, Double> fractions = draw(sidecar, DRAWS, Map.of());
        double low = fractions.getOrDefault(3, 0.0);
        assertTrue(low > 0.003 && low < 0.03, "the minimum is a tenth of the mean share, not " + low);
        for (int tick = 0; tick < 120; tick++) {
            Map<Integer, Double> latencyMs = new HashMap<>();
            for (int upstream = 1; upstream <= 10; upstream++) {
                latencyMs.put(upstream, 50 + 500 * fractions.getOrDefault(upstream, 0.0)); // slower with more load
            }
            fractions = draw(sidecar, 500, latencyMs);
            sidecar.advance(3000);
        }
        double high = draw(sidecar, DRAWS, Map.of()).get(3);
        assertTrue(high > 0.07, "near the mean share again, not " + high);
    }

    @Test
    void sharesStartInProportionToTheListedWeights() {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 7);
        sidecar.updateList(ListKind.FULL, withWeight(1, 1), withWeight(2, 2), withWeight(3, 5));
        Map<Integer, Double> fractions = draw(sidecar, DRAWS, Map.of());
        assertEquals(0.125, fractions.get(1), TOLERANCE);
        assertEquals(0.25, fractions.get(2), TOLERANCE);
        assertEquals(0.625, fractions.get(3), TOLERANCE);
    }

    @Test
    void sharesStartEqualWithoutListedWeights() {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 7);
        sidecar.updateList(ListKind.FULL, withWeight(1, 0), withWeight(2, 0));
        assertEquals(0.5, draw(sidecar, DRAWS, Map.of()).get(1), TOLERANCE);
    }

    private static Balancer.Upstream withWeight(int id, double weight) {
        return new Balancer.Upstream(id, Status.READY, 0, 0, 0, 0, weight);
    }

    @Test
    void newNodesEnterFullSubsetsAsOftenAsOthers() {
        // Guards against a fleet whose new nodes stay idle because members are replaced only when they leave.
        int newMembers = 0;
        for (int seed = 0; seed < 200; seed++) {
            RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), seed);
            sidecar.listReady(20);
            Balancer.Upstream[] grown = new Balancer.Upstream[20];
            for (int i = 0; i < 20; i++) {
                grown[i] = RuleCheckingSidecar.upstream(21 + i, Status.READY, 0);
            }
            sidecar.updateList(ListKind.DELTA, grown);
            newMembers += (int) draw(sidecar, 300, Map.of()).keySet().stream()
                    .filter(id -> id > 20)
                    .count();
        }
        assertEquals(5.0, newMembers / 200.0, 0.5, "of ten members, the new ones");
    }

    @Test
    void drainedMemberIsReplacedAtTheMeanShare() {
        RuleCheckingSidecar sidecar = sidecar(14);
        Map<Integer, Double> before = draw(sidecar, DRAWS, Map.of());
        assertEquals(10, before.size());
        int drained = before.keySet().iterator().next();
        sidecar.updateList(ListKind.DELTA, RuleCheckingSidecar.upstream(drained, Status.DRAINING, 0));
        Map<Integer, Double> after = draw(sidecar, DRAWS, Map.of());
        assertEquals(10, after.size());
        assertFalse(after.containsKey(drained));
        List<Integer> fresh =
                after.keySet().stream().filter(id -> !before.containsKey(id)).collect(Collectors.toList());
        assertEquals(1, fresh.size());
        assertEquals(0.1, after.get(fresh.get(0)), TOLERANCE);
    }
}
