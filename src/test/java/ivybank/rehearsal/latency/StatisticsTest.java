package ivybank.rehearsal.latency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.rehearsal.latency.Observations.Outcome;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Percentiles, pairing, warm-up and the rule that voids a run. */
class StatisticsTest {

    private static final long MS = 1_000_000;
    private static final ArrivalSchedule SCHEDULE = ArrivalSchedule.draw(200, 10, 3);

    /** Direct takes 1 ms, through 3 ms plus a tenth for each pair's number modulo 10; the generator is late by so much. */
    private static Observations observed(long latenessNs) {
        Observations observations = new Observations(SCHEDULE);
        for (int i = 0; i < SCHEDULE.size(); i++) {
            long tookNs = SCHEDULE.route(i) == Route.DIRECT ? MS : 3 * MS + SCHEDULE.pair(i) % 10 * MS / 10;
            observations.sent(i, latenessNs / 2);
            observations.ended(i, Outcome.SERVED, tookNs, latenessNs / 2);
        }
        return observations;
    }

    private static RunSummary whole(Observations observations) {
        return RunSummary.of(observations, 0, Long.MAX_VALUE);
    }

    @Test
    void percentilesAreByNearestRank() {
        Distribution hundred =
                new Distribution(LongStream.rangeClosed(1, 100).map(i -> i * MS).toArray());
        assertEquals(50, hundred.percentileMs(50));
        assertEquals(99, hundred.percentileMs(99));
        assertEquals(100, hundred.percentileMs(99.9));
        assertEquals(100, hundred.mostMs());
        assertEquals(0.1, hundred.partOver(90));
    }

    @Test
    void valuesMayBeNegativeAndNoneHaveNoPercentile() {
        assertEquals(-2, new Distribution(new long[] {5 * MS, -2 * MS, -3 * MS}).percentileMs(50));
        Distribution none = new Distribution(new long[0]);
        assertTrue(Double.isNaN(none.percentileMs(50)));
        assertEquals(0, none.partOver(1));
    }

    @Test
    void addedIsThroughMinusDirectAndDifferencesAreWithinPairs() {
        RunSummary run = whole(observed(0));
        assertEquals(1, run.latency(Route.DIRECT).percentileMs(99));
        assertEquals(2.9, run.addedMs(99), 1e-9);
        assertEquals(SCHEDULE.pairCount(), run.pairedDifference().count());
        assertEquals(2, run.pairedDifference().percentileMs(0), 1e-9);
        assertEquals(2.9, run.pairedDifference().mostMs(), 1e-9);
    }

    @Test
    void aPairOfWhichOneWasNotServedHasNoDifferenceAndIsCounted() {
        Observations observations = observed(0);
        observations.ended(4, Outcome.REFUSED, MS, 0);
        RunSummary run = whole(observations);
        Route route = SCHEDULE.route(4);
        assertEquals(SCHEDULE.pairCount() - 1, run.pairedDifference().count());
        assertEquals(1, run.count(route, Outcome.REFUSED));
        assertEquals(1 - 1.0 / SCHEDULE.pairCount(), run.servedPart(route), 1e-9);
    }

    @Test
    void whatIsNeverAnsweredIsCountedAndHasNoTime() {
        RunSummary run = whole(new Observations(SCHEDULE));
        assertEquals(0, run.latency(Route.THROUGH).count());
        assertEquals(SCHEDULE.pairCount(), run.count(Route.THROUGH, Outcome.UNANSWERED));
        assertEquals(SCHEDULE.pairCount(), run.due(Route.THROUGH));
    }

    @Test
    void theWarmUpIsLeftOutByWhenRequestsWereDue() {
        long fromNs = 4_000 * MS;
        RunSummary warmUp = RunSummary.of(observed(0), 0, fromNs);
        RunSummary measured = RunSummary.of(observed(0), fromNs, Long.MAX_VALUE);
        assertEquals(800, warmUp.due(Route.DIRECT), 4 * Math.sqrt(800));
        assertEquals(SCHEDULE.pairCount(), warmUp.due(Route.DIRECT) + measured.due(Route.DIRECT));
    }

    @Test
    void theWarmUpIsLongEnoughForTheRequestsAtALowRate() {
        WarmUpRule rule = new WarmUpRule(5, 300);
        assertEquals(6, rule.seconds(50));
        assertEquals(5, rule.seconds(600));
    }

    @Test
    void aRunWithALateGeneratorIsVoid() {
        VoidRule rule = new VoidRule(0.93, 99);
        assertEquals(Optional.empty(), rule.reason(whole(observed(90_000))));
        Optional<String> reason = rule.reason(whole(observed(96_000)));
        assertTrue(reason.orElseThrow().contains("0.096"), reason.get());
    }

    @Test
    void aRunIsVoidIfTheGeneratorIsLateOnOneRouteInMoreThanOneInAHundred() {
        Observations observations = observed(0);
        int late = 0;
        for (int i = 0; i < SCHEDULE.size(); i++) {
            if (SCHEDULE.route(i) == Route.THROUGH && SCHEDULE.pair(i) % 50 == 0) {
                observations.sent(i, MS);
                late++;
            }
        }
        assertTrue(late > SCHEDULE.pairCount() / 100);
        assertTrue(VoidRule.STANDARD.reason(whole(observations)).orElseThrow().contains("through"));
    }

    @Test
    void whatTheGeneratorWasLateForIsLeftOutOfThePunctualOnes() {
        Observations observations = observed(0);
        int late = 0;
        for (int i = 0; i < SCHEDULE.size(); i += 10) {
            observations.sent(i, MS);
            observations.ended(i, Outcome.SERVED, 50 * MS, 0);
            late++;
        }
        RunSummary punctual = RunSummary.ofPunctual(observations, 0, Long.MAX_VALUE, MS / 10);
        assertEquals(SCHEDULE.size() - late, punctual.due());
        assertEquals(1, punctual.latency(Route.DIRECT).mostMs());
    }

    @Test
    void aRunWithNothingAnsweredIsVoid() {
        assertTrue(VoidRule.STANDARD.reason(whole(new Observations(SCHEDULE))).isPresent());
    }

    @Test
    void mediansPassOverVoidRuns() {
        OverheadCell cell = new OverheadCell(
                200, 8, Disturbance.REST, List.of(run(1, MS, false), run(2, 90 * MS, true), run(3, 3 * MS, false)));
        assertEquals(1, cell.median(run -> run.latency(Route.DIRECT).percentileMs(50)));
        assertEquals(2, cell.valid().size());
        OverheadCell none = new OverheadCell(200, 8, Disturbance.REST, List.of(run(1, MS, true)));
        assertTrue(Double.isNaN(none.median(run -> run.addedMs(50))));
    }

    @Test
    void aVoidRunHasItsReasonAndNoTimesInTheReport() {
        OverheadCell cell = new OverheadCell(200, 8, Disturbance.REST, List.of(run(1, MS, true), run(2, MS, false)));
        var runs = new OverheadReport(VoidRule.STANDARD, List.of(cell)).json().at("/settings/0/runs");
        assertEquals("late", runs.at("/0/void").asText());
        assertFalse(runs.get(0).has("latency_ms"));
        assertTrue(runs.at("/0/kit_late_ms/direct").has("p99"));
        assertTrue(runs.at("/1/void").isNull());
        assertEquals(1, runs.at("/1/latency_ms/direct/p99.9").asDouble());
    }

    private static OverheadRun run(int number, long directNs, boolean isVoid) {
        Observations observations = observed(0);
        for (int i = 0; i < SCHEDULE.size(); i++) {
            if (SCHEDULE.route(i) == Route.DIRECT) {
                observations.ended(i, Outcome.SERVED, directNs, 0);
            }
        }
        Optional<String> reason = isVoid ? Optional.of("late") : Optional.empty();
        RunSummary summary = whole(observations);
        return new OverheadRun(number, 5, summary, summary, summary, 0.1, 0, reason);
    }
}
