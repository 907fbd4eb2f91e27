package ivybank.rehearsal.latency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ArrivalScheduleTest {

    private static final ArrivalSchedule SCHEDULE = ArrivalSchedule.draw(100, 20, 7);

    @Test
    void dueTimesNeverFall() {
        for (int i = 1; i < SCHEDULE.size(); i++) {
            assertTrue(SCHEDULE.dueNs(i) >= SCHEDULE.dueNs(i - 1), "request " + i);
        }
    }

    @Test
    void eachPairHasOneRequestOnEachRouteHalfTheMeanGapApart() {
        Map<Integer, Set<Route>> routes = new HashMap<>();
        Map<Integer, Long> firstDueNs = new HashMap<>();
        for (int i = 0; i < SCHEDULE.size(); i++) {
            int pair = SCHEDULE.pair(i);
            assertTrue(
                    routes.computeIfAbsent(pair, key -> EnumSet.noneOf(Route.class))
                            .add(SCHEDULE.route(i)),
                    "pair " + pair);
            Long first = firstDueNs.putIfAbsent(pair, SCHEDULE.dueNs(i));
            if (first != null) {
                assertEquals(5e6, (double) (SCHEDULE.dueNs(i) - first), 1, "pair " + pair);
            }
        }
        assertEquals(SCHEDULE.pairCount(), routes.size());
        assertEquals(2 * SCHEDULE.pairCount(), SCHEDULE.size());
    }

    @Test
    void theRateIsHeldAndEitherRouteComesFirstInHalfOfThePairs() {
        assertEquals(2000, SCHEDULE.pairCount(), 4 * Math.sqrt(2000));
        Set<Integer> seen = new java.util.HashSet<>();
        int directFirst = 0;
        for (int i = 0; i < SCHEDULE.size(); i++) {
            if (seen.add(SCHEDULE.pair(i)) && SCHEDULE.route(i) == Route.DIRECT) {
                directFirst++;
            }
        }
        assertEquals(SCHEDULE.pairCount() / 2.0, directFirst, 4 * Math.sqrt(2000) / 2);
    }

    @Test
    void theSameSeedDrawsTheSame() {
        ArrivalSchedule again = ArrivalSchedule.draw(100, 20, 7);
        ArrivalSchedule other = ArrivalSchedule.draw(100, 20, 8);
        assertEquals(SCHEDULE.dueNs(17), again.dueNs(17));
        assertTrue(SCHEDULE.dueNs(17) != other.dueNs(17));
    }

    @Test
    void aRateOfNothingIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> ArrivalSchedule.draw(0, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> ArrivalSchedule.draw(1, Double.NaN, 1));
    }
}
