package ivybank.concurrency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {

    @Test
    void twoProcessesFillOneLimitTogether() {
        ConcurrencyLimit limit = new ConcurrencyLimit();
        limit.reset(4);
        limit.sent(0, 100);
        limit.setSiblingInFlight(2);
        assertFalse(limit.isFull(0));
        limit.sent(0, 100);
        assertTrue(limit.isFull(0));
        limit.setSiblingInFlight(0);
        assertFalse(limit.isFull(0), "the other has ended");
    }

    @Test
    void itGrowsWhileItIsUsedAndAnswersAreQuickAndShrinksNoFurtherThanItsLeast() {
        ConcurrencyLimit limit = new ConcurrencyLimit();
        limit.reset(4);
        limit.answered(0, 100, 100, 100, 1);
        assertEquals(4, limit.size(), "nothing was out");
        limit.sent(0, 100);
        limit.answered(0, 100, 100, 100, 1);
        assertEquals(4.25, limit.size());
        for (int i = 0; i < 50; i++) {
            limit.answered(0, 1000, 100, 100, 2);
        }
        assertEquals(2, limit.size(), "one of few sidecars, which learns quickly, keeps its least");
        for (int i = 0; i < 50; i++) {
            limit.answered(0, 1000, 100, 100, 0.8);
        }
        assertEquals(0.2, limit.size(), 1e-9, "one of many a quarter of it");
    }

    @Test
    void aSlowAnswerLeavesNoMoreRoomThanWasUsed() {
        ConcurrencyLimit limit = new ConcurrencyLimit();
        limit.reset(8);
        for (int i = 0; i < 2; i++) {
            limit.sent(0, 100);
        }
        limit.ended();
        limit.answered(0, 200, 100, 100, 0.1);
        assertEquals(2 - 0.35, limit.size(), 1e-9, "two were out, and that was too many");
    }

    /** Sends whenever it may for so long; each attempt is answered after its latency. Returns how many went. */
    private static int sentWithin(ConcurrencyLimit limit, int durationMs, int latencyMs, int quietMs, double minSize) {
        int sent = 0;
        int answerDueMs = -1;
        for (int ms = 0; ms < durationMs; ms++) {
            if (ms == answerDueMs) {
                limit.ended();
                limit.answered(ms, latencyMs, quietMs, 300, minSize);
                answerDueMs = -1;
            }
            if (answerDueMs < 0 && !limit.isFull(ms)) {
                limit.sent(ms, 300);
                answerDueMs = ms + latencyMs;
                sent++;
            }
        }
        return sent;
    }

    @Test
    void aHundredLimitsOfAJammedNodeLeaveItAlmostAlone() {
        int sent = 0;
        for (int sidecar = 0; sidecar < 100; sidecar++) {
            ConcurrencyLimit limit = new ConcurrencyLimit();
            limit.reset(1);
            sentWithin(limit, 10_000, 1200, 300, 0.08); // what it takes while it is jammed
            sent += sentWithin(limit, 40_000, 1200, 300, 0.08);
        }
        double out = sent * 1200 / 40_000.0;
        assertTrue(out <= 0.25 * 8 * 1.5 * 1200 / 300, out + " of a hundred sidecars are out there at once");
        assertTrue(sent >= 20, "and still it is heard of: " + sent);
    }

    @Test
    void oneQuickAnswerIsNoReasonToGoBackToOneAtAnyTime() {
        ConcurrencyLimit limit = new ConcurrencyLimit();
        limit.reset(0.2);
        limit.sent(0, 100);
        limit.ended();
        limit.answered(100, 50, 100, 100, 0.1);
        assertEquals(0.45, limit.size(), 1e-9);
        limit.sent(600, 100);
        limit.ended();
        assertTrue(limit.isFull(700), "a pace from one attempt to the next, not only after a slow answer");
        assertFalse(limit.isFull(900));
    }

    @Test
    void aFailureFreesItsPlaceNoSoonerThanAnAnswerWould() {
        ConcurrencyLimit limit = new ConcurrencyLimit();
        limit.reset(2);
        int sent = 0;
        for (int ms = 0; ms < 1000; ms++) { // fails in the same millisecond
            if (!limit.isFull(ms)) {
                limit.sent(ms, 100);
                limit.ended();
                limit.failed(ms, 0, 100);
                sent++;
            }
        }
        assertEquals(20, sent, 1, "two places, for 100 ms each");
        limit.failed(2000, 500, 100);
        assertFalse(limit.isFull(2000), "a late failure has held its place already");
    }
}
