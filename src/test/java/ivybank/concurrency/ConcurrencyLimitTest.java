package ivybank.concurrency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {

    @Test
    void twoProcessesFillOneLimitTogether() {
        ConcurrencyLimit window = new ConcurrencyLimit();
        window.reset(4);
        window.sent(0, 100);
        window.elsewhere(2);
        assertFalse(window.isFull(0));
        window.sent(0, 100);
        assertTrue(window.isFull(0));
        window.elsewhere(0);
        assertFalse(window.isFull(0), "the other has ended");
    }

    @Test
    void itGrowsWhileItIsUsedAndAnswersAreQuickAndShrinksNoFurtherThanItsLeast() {
        ConcurrencyLimit window = new ConcurrencyLimit();
        window.reset(4);
        window.answered(0, 100, 100, 100, 1);
        assertEquals(4, window.size(), "nothing was out");
        window.sent(0, 100);
        window.answered(0, 100, 100, 100, 1);
        assertEquals(4.25, window.size());
        for (int i = 0; i < 50; i++) {
            window.answered(0, 1000, 100, 100, 2);
        }
        assertEquals(2, window.size(), "one of few sidecars, which learns quickly, keeps its least");
        for (int i = 0; i < 50; i++) {
            window.answered(0, 1000, 100, 100, 0.8);
        }
        assertEquals(0.2, window.size(), 1e-9, "one of many a quarter of it");
    }

    @Test
    void aSlowAnswerLeavesNoMoreRoomThanWasUsed() {
        ConcurrencyLimit window = new ConcurrencyLimit();
        window.reset(8);
        for (int i = 0; i < 2; i++) {
            window.sent(0, 100);
        }
        window.ended();
        window.answered(0, 200, 100, 100, 0.1);
        assertEquals(2 - 0.35, window.size(), 1e-9, "two were out, and that was too many");
    }

    /** Sends whenever it may for so long; each attempt is answered after its latency. Returns how many went. */
    private static int sentWithin(ConcurrencyLimit window, int forMs, int latencyMs, int quietMs, double least) {
        int sent = 0;
        int answeredAt = -1;
        for (int ms = 0; ms < forMs; ms++) {
            if (ms == answeredAt) {
                window.ended();
                window.answered(ms, latencyMs, quietMs, 300, least);
                answeredAt = -1;
            }
            if (answeredAt < 0 && !window.isFull(ms)) {
                window.sent(ms, 300);
                answeredAt = ms + latencyMs;
                sent++;
            }
        }
        return sent;
    }

    @Test
    void aHundredLimitsOfAJammedNodeLeaveItAlmostAlone() {
        int sent = 0;
        for (int sidecar = 0; sidecar < 100; sidecar++) {
            ConcurrencyLimit window = new ConcurrencyLimit();
            window.reset(1);
            sentWithin(window, 10_000, 1200, 300, 0.08); // what it takes while it is jammed
            sent += sentWithin(window, 40_000, 1200, 300, 0.08);
        }
        double out = sent * 1200 / 40_000.0;
        assertTrue(out <= 0.25 * 8 * 1.5 * 1200 / 300, out + " of a hundred sidecars are out there at once");
        assertTrue(sent >= 20, "and still it is heard of: " + sent);
    }

    @Test
    void oneQuickAnswerIsNoReasonToGoBackToOneAtAnyTime() {
        ConcurrencyLimit window = new ConcurrencyLimit();
        window.reset(0.2);
        window.sent(0, 100);
        window.ended();
        window.answered(100, 50, 100, 100, 0.1);
        assertEquals(0.45, window.size(), 1e-9);
        window.sent(600, 100);
        window.ended();
        assertTrue(window.isFull(700), "a pace from one attempt to the next, not only after a slow answer");
        assertFalse(window.isFull(900));
    }

    @Test
    void aFailureFreesItsPlaceNoSoonerThanAnAnswerWould() {
        ConcurrencyLimit window = new ConcurrencyLimit();
        window.reset(2);
        int sent = 0;
        for (int ms = 0; ms < 1000; ms++) { // fails in the same millisecond
            if (!window.isFull(ms)) {
                window.sent(ms, 100);
                window.ended();
                window.failed(ms, 0, 100);
                sent++;
            }
        }
        assertEquals(20, sent, 1, "two places, for 100 ms each");
        window.failed(2000, 500, 100);
        assertFalse(window.isFull(2000), "a late failure has held its place already");
    }
}
