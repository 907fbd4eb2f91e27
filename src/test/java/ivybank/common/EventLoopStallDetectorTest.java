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

    /** The time after which nothing may be sent for a client that has disconnected. */
    private static final double MAX_SEND_AFTER_DISCONNECT_MS = 100;

    private static final double STALL_END_MS = 5000;

    /** Performs checks on time, up to 1 s. */
    private static EventLoopStallDetector withTimelyChecks(EventLoopStallDetector stallDetector) {
        for (double nowMs = 0; nowMs <= 1000; nowMs += stallDetector.periodMs()) {
            stallDetector.check(nowMs);
        }
        return stallDetector;
    }

    static List<EventLoopStallDetector> detectors() {
        return List.of(
                withTimelyChecks(EventLoopStallDetector.forSends(500, 0)),
                withTimelyChecks(EventLoopStallDetector.forRequestTimes(0)));
    }

    private static double undetectedMs(EventLoopStallDetector stallDetector) {
        double undetectedMs = 0;
        while (!stallDetector.isStalled(1000 + undetectedMs)) {
            undetectedMs++;
        }
        return undetectedMs;
    }

    /**
     * An undetected stall must leave a good part of a drain's grace time, and of the time within which a client's disconnect
     * is noticed: it may follow one pass over the sockets and be read last in the next.
     */
    @ParameterizedTest
    @ValueSource(doubles = {50, 350, 500, 1500, 60_000})
    void undetectedStallsBeforeSendsAreShort(double graceMs) {
        EventLoopStallDetector stallDetector = withTimelyChecks(EventLoopStallDetector.forSends(graceMs, 0));
        double undetectedMs = undetectedMs(stallDetector);
        assertTrue(undetectedMs <= 0.45 * graceMs, undetectedMs + " ms of a grace time of " + graceMs);
        assertTrue(2 * undetectedMs <= 0.85 * MAX_SEND_AFTER_DISCONNECT_MS, undetectedMs + " ms");
        assertTrue(undetectedMs > stallDetector.periodMs(), "a check that is on time is not late");
    }

    @Test
    void undetectedStallsOfRequestTimesAreShorterThanTheirTolerance() {
        assertTrue(undetectedMs(withTimelyChecks(EventLoopStallDetector.forRequestTimes(0))) < 300);
    }

    /** Checks are a little late on any machine. */
    @ParameterizedTest
    @MethodSource("detectors")
    void timelyChecksReportNoStall(EventLoopStallDetector stallDetector) {
        double lateMs = 1.8 * stallDetector.periodMs();
        for (double nowMs = 1000 + lateMs; nowMs < 3000; nowMs += lateMs) {
            assertFalse(stallDetector.isStalled(nowMs));
            assertEquals(nowMs, stallDetector.earliestArrivalMs(nowMs));
            stallDetector.check(nowMs);
        }
    }

    /** The check itself may be the first task after a stall: what is read after it is as old. */
    @ParameterizedTest
    @MethodSource("detectors")
    void stallLastsUntilAFullPassAfterTheCheckThatDetectsIt(EventLoopStallDetector stallDetector) {
        assertEquals(1000, stallDetector.earliestArrivalMs(STALL_END_MS));
        assertTrue(stallDetector.check(STALL_END_MS));
        double nextMs = STALL_END_MS + stallDetector.periodMs();
        assertFalse(stallDetector.check(nextMs), "the stall is detected only once");
        assertTrue(stallDetector.isStalled(nextMs + 5));
        assertEquals(1000, stallDetector.earliestArrivalMs(nextMs + 5));
        assertFalse(stallDetector.passCompleted(nextMs + 10, false));
        assertFalse(stallDetector.isStalled(nextMs + 10));
        assertEquals(nextMs + 10, stallDetector.earliestArrivalMs(nextMs + 10));
    }

    /**
     * On a machine so slow that each pass is late, the pass that ends after such a check has not read what arrived
     * meanwhile.
     */
    @ParameterizedTest
    @MethodSource("detectors")
    void stallLastsForAFullPassAfterTheLastLateCheck(EventLoopStallDetector stallDetector) {
        assertTrue(stallDetector.check(STALL_END_MS));
        assertFalse(stallDetector.check(STALL_END_MS + 300), "the stall is being followed already");
        assertTrue(stallDetector.passCompleted(STALL_END_MS + 301, false));
        assertTrue(stallDetector.isStalled(STALL_END_MS + 302));
        assertEquals(1000, stallDetector.earliestArrivalMs(STALL_END_MS + 302));
        assertFalse(stallDetector.passCompleted(STALL_END_MS + 320, false));
        assertFalse(stallDetector.isStalled(STALL_END_MS + 320));
    }

    // Guards against a stall that counts as over while the connections that came in it are still being accepted.
    @ParameterizedTest
    @MethodSource("detectors")
    void stallLastsWhileConnectionsAreStillToBeOpened(EventLoopStallDetector stallDetector) {
        stallDetector.check(STALL_END_MS);
        assertTrue(stallDetector.passCompleted(STALL_END_MS + 2, true));
        assertTrue(stallDetector.isStalled(STALL_END_MS + 3));
        stallDetector.connectionAccepted();
        assertTrue(
                stallDetector.passCompleted(STALL_END_MS + 4, false), "what it has brought is read in the next pass");
        assertFalse(stallDetector.passCompleted(STALL_END_MS + 6, false));
        assertFalse(stallDetector.isStalled(STALL_END_MS + 6));
    }

    /**
     * Connections accepted one after another count as having waited in the backlog, however long each pass takes, up to a
     * limit.
     */
    @ParameterizedTest
    @MethodSource("detectors")
    void stallLastsWhileTheBacklogIsAccepted(EventLoopStallDetector stallDetector) {
        stallDetector.check(STALL_END_MS);
        double nowMs = STALL_END_MS;
        stallDetector.connectionAccepted();
        while (stallDetector.passCompleted(nowMs, false)) {
            assertTrue(stallDetector.isStalled(nowMs));
            assertEquals(1000, stallDetector.earliestArrivalMs(nowMs));
            nowMs += 0.7 * stallDetector.periodMs();
            stallDetector.check(nowMs);
            stallDetector.connectionAccepted();
        }
        assertTrue(nowMs >= STALL_END_MS + 1900 && nowMs <= STALL_END_MS + 2100, "until " + nowMs);
        stallDetector.connectionAccepted();
        assertFalse(stallDetector.isStalled(nowMs), "an accepted connection alone is no stall");
    }
}
