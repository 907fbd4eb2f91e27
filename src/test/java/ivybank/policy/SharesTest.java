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

/** The ordinary path: draws follow shares, and shares follow the design's step. */
class SharesTest {

    private static final int DRAWS = 20_000;
    private static final double CHANCE = 0.015;
    private static final double NEVER_SENT = 0;

    /** Sends requests that are answered at once, as though each had taken its upstream's time; counts the draws. */
    private static Map<Integer, Double> draw(RuleCheckingSidecar sidecar, int draws, Map<Integer, Double> latencyMs) {
        Map<Integer, Double> parts = new HashMap<>();
        for (int i = 0; i < draws; i++) {
            sidecar.request(0);
            RuleCheckingSidecar.SentAttempt attempt = sidecar.lastAttempt();
            double tookMs = latencyMs.getOrDefault(attempt.upstream, 100.0);
            attempt.outcome = tookMs == NEVER_SENT ? Outcome.NOT_SENT : Outcome.OK;
            sidecar.balancer.attemptEnded(
                    sidecar.nowMs,
                    new Balancer.AttemptEnd(
                            attempt.request,
                            attempt.number,
                            attempt.upstream,
                            attempt.outcome,
                            tookMs,
                            true,
                            new double[0]));
            parts.merge(attempt.upstream, 1.0 / draws, Double::sum);
        }
        return parts;
    }

    private static RuleCheckingSidecar sidecar(int upstreams) {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 7);
        sidecar.listReady(upstreams);
        return sidecar;
    }

    @Test
    void sharesStartEqualAndDrawsFollowThem() {
        Map<Integer, Double> parts = draw(sidecar(4), DRAWS, Map.of());
        for (int upstream = 1; upstream <= 4; upstream++) {
            assertEquals(0.25, parts.get(upstream), CHANCE);
        }
    }

    /** Ticks fall due while requests are in hand: the first of these rounds is counted with the second. */
    private static void tick(RuleCheckingSidecar sidecar, int ticks, int draws, Map<Integer, Double> latencyMs) {
        for (int round = 0; round <= ticks; round++) {
            draw(sidecar, draws, latencyMs);
            sidecar.advance(1100);
        }
    }

    @Test
    void aTickMovesSharesByTheHandWorkedStep() {
        // l = 100, 150; mean 125; deviations -0.2, +0.2; factors 1.04, 0.96 (2,000 samples: trust 0.998).
        RuleCheckingSidecar sidecar = sidecar(2);
        Map<Integer, Double> latencyMs = Map.of(1, 100.0, 2, 150.0);
        tick(sidecar, 5, 4000, latencyMs);
        // After five ticks 0.5 x 1.04^5 to 0.5 x 0.96^5: 0.6083 to 0.4077, over their sum 0.599 and 0.401.
        Map<Integer, Double> parts = draw(sidecar, DRAWS, latencyMs);
        assertEquals(0.599, parts.get(1), CHANCE);
        assertEquals(0.401, parts.get(2), CHANCE);
    }

    @Test
    void aServerWithoutSamplesInATickKeepsItsShare() {
        // As above for 1 and 2; 3 has no samples (its attempts are never sent). After five ticks
        // 0.3333 x 1.2167, 0.3333 x 0.8154 and 0.3333, over their sum 1.0107: 0.401, 0.269, 0.330.
        RuleCheckingSidecar sidecar = sidecar(3);
        Map<Integer, Double> latencyMs = Map.of(1, 100.0, 2, 150.0, 3, NEVER_SENT);
        tick(sidecar, 5, 6000, latencyMs);
        Map<Integer, Double> parts = draw(sidecar, DRAWS, latencyMs);
        assertEquals(0.401, parts.get(1), CHANCE);
        assertEquals(0.269, parts.get(2), CHANCE);
        assertEquals(0.330, parts.get(3), CHANCE);
    }

    @Test
    void fewSamplesMoveAShareLittle() {
        // About two answers of each in a tick: trust about 2 / (2 + 4), a third of the full step.
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
    void aFarOutlierLosesShareButNeverAllOfItAndClimbsBack() {
        RuleCheckingSidecar sidecar = sidecar(10);
        for (int tick = 0; tick < 40; tick++) {
            draw(sidecar, 500, Map.of(3, 900_000.0));
            sidecar.advance(3000);
        }
        Map<Integer, Double> parts = draw(sidecar, DRAWS, Map.of());
        double low = parts.getOrDefault(3, 0.0);
        assertTrue(low > 0.003 && low < 0.03, "floor of a tenth of the mean share, not " + low);
        for (int tick = 0; tick < 120; tick++) {
            Map<Integer, Double> latencyMs = new HashMap<>();
            for (int upstream = 1; upstream <= 10; upstream++) {
                latencyMs.put(upstream, 50 + 500 * parts.getOrDefault(upstream, 0.0)); // the busier, the slower
            }
            parts = draw(sidecar, 500, latencyMs);
            sidecar.advance(3000);
        }
        double high = draw(sidecar, DRAWS, Map.of()).get(3);
        assertTrue(high > 0.07, "back near the mean share, not " + high);
    }

    @Test
    void sharesStartInProportionToTheListedSizes() {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 7);
        sidecar.updateList(ListKind.FULL, sized(1, 1), sized(2, 2), sized(3, 5));
        Map<Integer, Double> parts = draw(sidecar, DRAWS, Map.of());
        assertEquals(0.125, parts.get(1), CHANCE);
        assertEquals(0.25, parts.get(2), CHANCE);
        assertEquals(0.625, parts.get(3), CHANCE);
    }

    @Test
    void listsWithoutSizesStartEqual() {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 7);
        sidecar.updateList(ListKind.FULL, sized(1, 0), sized(2, 0));
        assertEquals(0.5, draw(sidecar, DRAWS, Map.of()).get(1), CHANCE);
    }

    private static Balancer.Upstream sized(int id, double weight) {
        return new Balancer.Upstream(id, Status.READY, 0, 0, 0, 0, weight);
    }

    @Test
    void newServersEnterFullSubsetsAsOftenAsOthers() {
        // A fleet that grew left its new servers idle: members were replaced only when they left.
        int held = 0;
        for (int seed = 0; seed < 200; seed++) {
            RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), seed);
            sidecar.listReady(20);
            Balancer.Upstream[] grown = new Balancer.Upstream[20];
            for (int i = 0; i < 20; i++) {
                grown[i] = RuleCheckingSidecar.upstream(21 + i, Status.READY, 0);
            }
            sidecar.updateList(ListKind.DELTA, grown);
            held += (int) draw(sidecar, 300, Map.of()).keySet().stream()
                    .filter(id -> id > 20)
                    .count();
        }
        assertEquals(5.0, held / 200.0, 0.5, "new members of ten");
    }

    @Test
    void theSubsetHasTenMembersAndADrainedOneGivesWayAtTheMeanShare() {
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
        assertEquals(0.1, after.get(fresh.get(0)), CHANCE);
    }
}
