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
            stallDetector.check(nowMs);
        }
        return stallDetector;
    }

    static List<EventLoopStallDetector> kinds() {
        return List.of(
                looking(EventLoopStallDetector.forSends(500, 0)), looking(EventLoopStallDetector.forRequestTimes(0)));
    }

    private static double unnoticedMs(EventLoopStallDetector stallDetector) {
        double unnoticedMs = 0;
        while (!stallDetector.isStalled(1000 + unnoticedMs)) {
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
        EventLoopStallDetector stallDetector = looking(EventLoopStallDetector.forSends(graceMs, 0));
        double unnoticedMs = unnoticedMs(stallDetector);
        assertTrue(unnoticedMs <= 0.45 * graceMs, unnoticedMs + " of " + graceMs);
        assertTrue(2 * unnoticedMs <= 0.85 * CLIENT_LEFT_MS, unnoticedMs + " ms");
        assertTrue(unnoticedMs > stallDetector.periodMs(), "a look that is on time is not late");
    }

    @Test
    void whatIsNotNoticedOfRequestsIsLessThanTheyMayBeLate() {
        assertTrue(unnoticedMs(looking(EventLoopStallDetector.forRequestTimes(0))) < 300);
    }

    /** Looks come a little late on any machine. */
    @ParameterizedTest
    @MethodSource("kinds")
    void itIsNotHeldUpWhileLooksComeInTheirTime(EventLoopStallDetector stallDetector) {
        double lateMs = 1.8 * stallDetector.periodMs();
        for (double nowMs = 1000 + lateMs; nowMs < 3000; nowMs += lateMs) {
            assertFalse(stallDetector.isStalled(nowMs));
            assertEquals(nowMs, stallDetector.earliestArrivalMs(nowMs));
            stallDetector.check(nowMs);
        }
    }

    /** The look itself may be the first thing that runs when it goes on: what is found behind it is as old. */
    @ParameterizedTest
    @MethodSource("kinds")
    void itHoldsUntilAllSocketsHaveBeenLookedAtBehindTheLookThatShowsIt(EventLoopStallDetector stallDetector) {
        assertEquals(1000, stallDetector.earliestArrivalMs(FOUND_MS));
        assertTrue(stallDetector.check(FOUND_MS));
        double nextMs = FOUND_MS + stallDetector.periodMs();
        assertFalse(stallDetector.check(nextMs), "one look shows it");
        assertTrue(stallDetector.isStalled(nextMs + 5));
        assertEquals(1000, stallDetector.earliestArrivalMs(nextMs + 5));
        assertFalse(stallDetector.passCompleted(nextMs + 10));
        assertFalse(stallDetector.isStalled(nextMs + 10));
        assertEquals(nextMs + 10, stallDetector.earliestArrivalMs(nextMs + 10));
    }

    /** A machine so slow that a pass alone is late: the pass that ends behind such a look has not looked at what came meanwhile. */
    @ParameterizedTest
    @MethodSource("kinds")
    void itHoldsForAWholePassBehindTheLastLookThatShowsIt(EventLoopStallDetector stallDetector) {
        assertTrue(stallDetector.check(FOUND_MS));
        assertFalse(stallDetector.check(FOUND_MS + 300), "it is followed pass by pass already");
        assertTrue(stallDetector.passCompleted(FOUND_MS + 301));
        assertTrue(stallDetector.isStalled(FOUND_MS + 302));
        assertEquals(1000, stallDetector.earliestArrivalMs(FOUND_MS + 302));
        assertFalse(stallDetector.passCompleted(FOUND_MS + 320));
        assertFalse(stallDetector.isStalled(FOUND_MS + 320));
    }

    /** Connections that are accepted one after another stood in the backlog, however long each pass takes, but not without end. */
    @ParameterizedTest
    @MethodSource("kinds")
    void itHoldsWhileTheBacklogIsAccepted(EventLoopStallDetector stallDetector) {
        stallDetector.check(FOUND_MS);
        double nowMs = FOUND_MS;
        stallDetector.connectionAccepted();
        while (stallDetector.passCompleted(nowMs)) {
            assertTrue(stallDetector.isStalled(nowMs));
            assertEquals(1000, stallDetector.earliestArrivalMs(nowMs));
            nowMs += 0.7 * stallDetector.periodMs();
            stallDetector.check(nowMs);
            stallDetector.connectionAccepted();
        }
        assertTrue(nowMs >= FOUND_MS + 1900 && nowMs <= FOUND_MS + 2100, "until " + nowMs);
        stallDetector.connectionAccepted();
        assertFalse(stallDetector.isStalled(nowMs), "a connection alone tells nothing");
    }
}
