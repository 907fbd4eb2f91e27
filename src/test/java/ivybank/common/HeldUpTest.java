package ivybank.common;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class HeldUpTest {

    /** After this nothing is sent on for a client that has left. */
    private static final double CLIENT_LEFT_MS = 100;

    private static final double FOUND_MS = 5000;

    /** After looks that came in their time, up to 1 s. */
    private static HeldUp looking(HeldUp heldUp) {
        for (double nowMs = 0; nowMs <= 1000; nowMs += heldUp.periodMs()) {
            heldUp.look(nowMs);
        }
        return heldUp;
    }

    static List<HeldUp> kinds() {
        return List.of(looking(HeldUp.beforeSends(500, 0)), looking(HeldUp.ofRequests(0)));
    }

    private static double unnoticedMs(HeldUp heldUp) {
        double unnoticedMs = 0;
        while (!heldUp.ofLate(1000 + unnoticedMs)) {
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
        HeldUp heldUp = looking(HeldUp.beforeSends(graceMs, 0));
        double unnoticedMs = unnoticedMs(heldUp);
        assertTrue(unnoticedMs <= 0.45 * graceMs, unnoticedMs + " of " + graceMs);
        assertTrue(2 * unnoticedMs <= 0.85 * CLIENT_LEFT_MS, unnoticedMs + " ms");
        assertTrue(unnoticedMs > heldUp.periodMs(), "a look that is on time is not late");
    }

    @Test
    void whatIsNotNoticedOfRequestsIsLessThanTheyMayBeLate() {
        assertTrue(unnoticedMs(looking(HeldUp.ofRequests(0))) < 300);
    }

    /** Looks come a little late on any machine. */
    @ParameterizedTest
    @MethodSource("kinds")
    void itIsNotHeldUpWhileLooksComeInTheirTime(HeldUp heldUp) {
        double lateMs = 1.8 * heldUp.periodMs();
        for (double nowMs = 1000 + lateMs; nowMs < 3000; nowMs += lateMs) {
            assertFalse(heldUp.ofLate(nowMs));
            assertEquals(nowMs, heldUp.earliestMs(nowMs));
            heldUp.look(nowMs);
        }
    }

    /** The look itself may be the first thing that runs when it goes on: what is found behind it is as old. */
    @ParameterizedTest
    @MethodSource("kinds")
    void itHoldsUntilAllSocketsHaveBeenLookedAtBehindTheLookThatShowsIt(HeldUp heldUp) {
        assertEquals(1000, heldUp.earliestMs(FOUND_MS));
        assertTrue(heldUp.look(FOUND_MS));
        double nextMs = FOUND_MS + heldUp.periodMs();
        assertFalse(heldUp.look(nextMs), "one look shows it");
        assertTrue(heldUp.ofLate(nextMs + 5));
        assertEquals(1000, heldUp.earliestMs(nextMs + 5));
        assertFalse(heldUp.passed(nextMs + 10));
        assertFalse(heldUp.ofLate(nextMs + 10));
        assertEquals(nextMs + 10, heldUp.earliestMs(nextMs + 10));
    }

    /** A machine so slow that a pass alone is late: the pass that ends behind such a look has not looked at what came meanwhile. */
    @ParameterizedTest
    @MethodSource("kinds")
    void itHoldsForAWholePassBehindTheLastLookThatShowsIt(HeldUp heldUp) {
        assertTrue(heldUp.look(FOUND_MS));
        assertFalse(heldUp.look(FOUND_MS + 300), "it is followed pass by pass already");
        assertTrue(heldUp.passed(FOUND_MS + 301));
        assertTrue(heldUp.ofLate(FOUND_MS + 302));
        assertEquals(1000, heldUp.earliestMs(FOUND_MS + 302));
        assertFalse(heldUp.passed(FOUND_MS + 320));
        assertFalse(heldUp.ofLate(FOUND_MS + 320));
    }

    /** Connections that are accepted one after another stood in the backlog, however long each pass takes, but not without end. */
    @ParameterizedTest
    @MethodSource("kinds")
    void itHoldsWhileTheBacklogIsAccepted(HeldUp heldUp) {
        heldUp.look(FOUND_MS);
        double nowMs = FOUND_MS;
        heldUp.accepted();
        while (heldUp.passed(nowMs)) {
            assertTrue(heldUp.ofLate(nowMs));
            assertEquals(1000, heldUp.earliestMs(nowMs));
            nowMs += 0.7 * heldUp.periodMs();
            heldUp.look(nowMs);
            heldUp.accepted();
        }
        assertTrue(nowMs >= FOUND_MS + 1900 && nowMs <= FOUND_MS + 2100, "until " + nowMs);
        heldUp.accepted();
        assertFalse(heldUp.ofLate(nowMs), "a connection alone tells nothing");
    }
}
