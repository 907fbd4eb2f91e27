package ivybank.common;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class EventLoopStallDetectorTest {

    /** After this nothing is sent on for a client that has left. */
    private static final double CLIENT_LEFT_MS = 100;

    private static final double FOUND_MS = 5000;

    /** After looks that came in their time, up to 1 s. */
    private static EventLoopStallDetector looking(EventLoopStallDetector stallDetector) {
        for (double nowMs = 0; nowMs <= 1000; nowMs += stallDetector.periodMs()) {
            stallDetector.look(nowMs);
        }
        return stallDetector;
    }

    static List<EventLoopStallDetector> kinds() {
        return List.of(
                looking(EventLoopStallDetector.beforeSends(500, 0)), looking(EventLoopStallDetector.ofRequests(0)));
    }

    private static double unnoticedMs(EventLoopStallDetector stallDetector) {
        double unnoticedMs = 0;
        while (!stallDetector.ofLate(1000 + unnoticedMs)) {
            unnoticedMs++;
        }
        return unnoticedMs;
    }

    /**
     * What goes by unnoticed leaves a good part of a drain's grace, and of the time in which a client that left is seen: its end
     * may come right behind a look at the sockets, and be found last in the next.
     */
    @ParameterizedTest
    @ValueSource(doubles = {50, 350, 500, 1500, 60_000})
    void whatIsNotNoticedBeforeSendsIsShort(double graceMs) {
        EventLoopStallDetector stallDetector = looking(EventLoopStallDetector.beforeSends(graceMs, 0));
        double unnoticedMs = unnoticedMs(stallDetector);
        assertTrue(unnoticedMs <= 0.45 * graceMs, unnoticedMs + " of " + graceMs);
        assertTrue(2 * unnoticedMs <= 0.85 * CLIENT_LEFT_MS, unnoticedMs + " ms");
        assertTrue(unnoticedMs > stallDetector.periodMs(), "a look that is on time is not late");
    }

    @Test
    void whatIsNotNoticedOfRequestsIsLessThanTheyMayBeLate() {
        assertTrue(unnoticedMs(looking(EventLoopStallDetector.ofRequests(0))) < 300);
    }

    /** Looks come a little late on any machine. */
    @ParameterizedTest
    @MethodSource("kinds")
    void itIsNotHeldUpWhileLooksComeInTheirTime(EventLoopStallDetector stallDetector) {
        double lateMs = 1.8 * stallDetector.periodMs();
        for (double nowMs = 1000 + lateMs; nowMs < 3000; nowMs += lateMs) {
            assertFalse(stallDetector.ofLate(nowMs));
            assertEquals(nowMs, stallDetector.earliestMs(nowMs));
            stallDetector.look(nowMs);
        }
    }

    /** The look itself may be the first thing that runs when it goes on: what is found behind it is as old. */
    @ParameterizedTest
    @MethodSource("kinds")
    void itHoldsUntilAllSocketsHaveBeenLookedAtBehindTheLookThatShowsIt(EventLoopStallDetector stallDetector) {
        assertEquals(1000, stallDetector.earliestMs(FOUND_MS));
        assertTrue(stallDetector.look(FOUND_MS));
        double nextMs = FOUND_MS + stallDetector.periodMs();
        assertFalse(stallDetector.look(nextMs), "one look shows it");
        assertTrue(stallDetector.ofLate(nextMs + 5));
        assertEquals(1000, stallDetector.earliestMs(nextMs + 5));
        assertFalse(stallDetector.passed(nextMs + 10));
        assertFalse(stallDetector.ofLate(nextMs + 10));
        assertEquals(nextMs + 10, stallDetector.earliestMs(nextMs + 10));
    }

    /** A machine so slow that a pass alone is late: the pass that ends behind such a look has not looked at what came meanwhile. */
    @ParameterizedTest
    @MethodSource("kinds")
    void itHoldsForAWholePassBehindTheLastLookThatShowsIt(EventLoopStallDetector stallDetector) {
        assertTrue(stallDetector.look(FOUND_MS));
        assertFalse(stallDetector.look(FOUND_MS + 300), "it is followed pass by pass already");
        assertTrue(stallDetector.passed(FOUND_MS + 301));
        assertTrue(stallDetector.ofLate(FOUND_MS + 302));
        assertEquals(1000, stallDetector.earliestMs(FOUND_MS + 302));
        assertFalse(stallDetector.passed(FOUND_MS + 320));
        assertFalse(stallDetector.ofLate(FOUND_MS + 320));
    }

    /** Connections that are accepted one after another stood in the backlog, however long each pass takes, but not without end. */
    @ParameterizedTest
    @MethodSource("kinds")
    void itHoldsWhileTheBacklogIsAccepted(EventLoopStallDetector stallDetector) {
        stallDetector.look(FOUND_MS);
        double nowMs = FOUND_MS;
        stallDetector.accepted();
        while (stallDetector.passed(nowMs)) {
            assertTrue(stallDetector.ofLate(nowMs));
            assertEquals(1000, stallDetector.earliestMs(nowMs));
            nowMs += 0.7 * stallDetector.periodMs();
            stallDetector.look(nowMs);
            stallDetector.accepted();
        }
        assertTrue(nowMs >= FOUND_MS + 1900 && nowMs <= FOUND_MS + 2100, "until " + nowMs);
        stallDetector.accepted();
        assertFalse(stallDetector.ofLate(nowMs), "a connection alone tells nothing");
    }
}
