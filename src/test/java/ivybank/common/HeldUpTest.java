package ivybank.common;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HeldUpTest {

    private static final double CLIENT_LEFT_MS = 300;
    private static final double FOUND_MS = 5000;

    private static HeldUp looking(double graceMs, double untilMs) {
        HeldUp heldUp = HeldUp.within(graceMs, 0);
        for (double nowMs = 0; nowMs <= untilMs; nowMs += heldUp.periodMs()) {
            heldUp.look(nowMs);
        }
        return heldUp;
    }

    /** What goes by unnoticed leaves a good part of a drain's grace, and of the time in which a client that left is seen. */
    @ParameterizedTest
    @ValueSource(doubles = {50, 350, 500, 1500, 60_000})
    void whatIsNotNoticedIsShort(double graceMs) {
        HeldUp heldUp = looking(graceMs, 1000);
        double unnoticedMs = 0;
        while (!heldUp.ofLate(1000 + unnoticedMs)) {
            unnoticedMs++;
        }
        assertTrue(unnoticedMs <= 0.45 * graceMs, unnoticedMs + " of " + graceMs);
        assertTrue(unnoticedMs <= 0.75 * CLIENT_LEFT_MS, unnoticedMs + " ms");
        assertTrue(unnoticedMs > heldUp.periodMs(), "a look that is on time is not late");
    }

    /** Looks come a little late on any machine. */
    @Test
    void itIsNotHeldUpWhileLooksComeInTheirTime() {
        HeldUp heldUp = looking(500, 1000);
        for (double nowMs = 1180; nowMs < 3000; nowMs += 180) {
            assertFalse(heldUp.ofLate(nowMs));
            assertEquals(nowMs, heldUp.earliestMs(nowMs));
            heldUp.look(nowMs);
        }
    }

    /** The look itself may be the first thing that runs when it goes on: what is found behind it is as old. */
    @Test
    void itHoldsUntilAllSocketsHaveBeenLookedAtBehindTheLookThatShowsIt() {
        HeldUp heldUp = looking(500, 1000);
        assertEquals(1000, heldUp.earliestMs(FOUND_MS));
        assertTrue(heldUp.look(FOUND_MS));
        assertFalse(heldUp.look(FOUND_MS + 100), "one look shows it");
        assertTrue(heldUp.ofLate(FOUND_MS + 130));
        assertEquals(1000, heldUp.earliestMs(FOUND_MS + 130));
        assertFalse(heldUp.passed(FOUND_MS + 140));
        assertFalse(heldUp.ofLate(FOUND_MS + 140));
        assertEquals(FOUND_MS + 140, heldUp.earliestMs(FOUND_MS + 140));
    }

    /** A machine so slow that a pass alone is late: the pass that ends behind such a look has not looked at what came meanwhile. */
    @Test
    void itHoldsForAWholePassBehindTheLastLookThatShowsIt() {
        HeldUp heldUp = looking(500, 1000);
        assertTrue(heldUp.look(FOUND_MS));
        assertFalse(heldUp.look(FOUND_MS + 300), "it is followed pass by pass already");
        assertTrue(heldUp.passed(FOUND_MS + 301));
        assertTrue(heldUp.ofLate(FOUND_MS + 302));
        assertEquals(1000, heldUp.earliestMs(FOUND_MS + 302));
        assertFalse(heldUp.passed(FOUND_MS + 350));
        assertFalse(heldUp.ofLate(FOUND_MS + 350));
    }

    /** Connections that are accepted one after another stood in the backlog, however long each pass takes, but not without end. */
    @Test
    void itHoldsWhileTheBacklogIsAccepted() {
        HeldUp heldUp = looking(500, 1000);
        heldUp.look(FOUND_MS);
        double nowMs = FOUND_MS;
        heldUp.accepted();
        while (heldUp.passed(nowMs)) {
            assertTrue(heldUp.ofLate(nowMs));
            assertEquals(1000, heldUp.earliestMs(nowMs));
            nowMs += 70;
            heldUp.look(nowMs);
            heldUp.accepted();
        }
        assertTrue(nowMs >= FOUND_MS + 1900 && nowMs <= FOUND_MS + 2100, "until " + nowMs);
        heldUp.accepted();
        assertFalse(heldUp.ofLate(nowMs), "a connection alone tells nothing");
    }
}
