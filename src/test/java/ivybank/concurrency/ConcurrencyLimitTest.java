package ivybank.concurrency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {

    @Test
    void limitAppliesToBothProcessesTogether() {
        ConcurrencyLimit limit = new ConcurrencyLimit();
        limit.reset(4);
        limit.sent(0, 100);
        limit.setSiblingInFlight(2);
        assertFalse(limit.isFull(0));
        limit.sent(0, 100);
        assertTrue(limit.isFull(0));
        limit.setSiblingInFlight(0);
        assertFalse(limit.isFull(0), "the attempts of the other process have ended");
    }

    @Test
    void growsWithQuickAnswersWhileInUseAndShrinksToItsMinimum() {
        ConcurrencyLimit limit = new ConcurrencyLimit();
        limit.reset(4);
        limit.answered(0, 100, 100, 100, 1);
        assertEquals(4, limit.size(), "no attempt was in flight");
        limit.sent(0, 100);
        limit.answered(0, 100, 100, 100, 1);
        assertEquals(4.25, limit.size());
        for (int i = 0; i < 50; i++) {
            limit.answered(0, 1000, 100, 100, 2);
        }
        assertEquals(2, limit.size(), "one of few sidecars, which learns quickly, keeps its minimum");
        for (int i = 0; i < 50; i++) {
            limit.answered(0, 1000, 100, 100, 0.8);
        }
        assertEquals(0.2, limit.size(), 1e-9, "one of many sidecars keeps a quarter of it");
    }

    @Test
    void slowAnswerReducesTheLimitToWhatWasInUse() {
        ConcurrencyLimit limit = new ConcurrencyLimit();
        limit.reset(8);
        for (int i = 0; i < 2; i++) {
            limit.sent(0, 100);
        }
        limit.ended();
        limit.answered(0, 200, 100, 100, 0.1);
        assertEquals(2 - 0.35, limit.size(), 1e-9, "two in flight were too many");
    }

    /** Sends whenever the limit allows, with each attempt answered after the latency; returns the number of attempts. */
    private static int sentWithin(
            ConcurrencyLimit limit, int durationMs, int latencyMs, int baselineMs, double minSize) {
        int sent = 0;
        int answerDueMs = -1;
        for (int ms = 0; ms < durationMs; ms++) {
            if (ms == answerDueMs) {
                limit.ended();
                limit.answered(ms, latencyMs, baselineMs, 300, minSize);
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
    void hundredSidecarsKeepFewAttemptsAtACongestedNode() {
        int sent = 0;
        for (int sidecar = 0; sidecar < 100; sidecar++) {
            ConcurrencyLimit limit = new ConcurrencyLimit();
            limit.reset(1);
            sentWithin(limit, 10_000, 1200, 300, 0.08); // until the limit has adapted to the congestion
            sent += sentWithin(limit, 40_000, 1200, 300, 0.08);
        }
        double inFlight = sent * 1200 / 40_000.0;
        assertTrue(
                inFlight <= 0.25 * 8 * 1.5 * 1200 / 300,
                inFlight + " attempts of a hundred sidecars are in flight at once");
        assertTrue(sent >= 20, "the node is still sent attempts: " + sent);
    }

    @Test
    void oneQuickAnswerDoesNotRestoreALimitOfOne() {
        ConcurrencyLimit limit = new ConcurrencyLimit();
        limit.reset(0.2);
        limit.sent(0, 100);
        limit.ended();
        limit.answered(100, 50, 100, 100, 0.1);
        assertEquals(0.45, limit.size(), 1e-9);
        limit.sent(600, 100);
        limit.ended();
        assertTrue(limit.isFull(700), "the pause follows each attempt, not only a slow answer");
        assertFalse(limit.isFull(900));
    }

    @Test
    void failureHoldsItsSlotAsLongAsAnAnswer() {
        ConcurrencyLimit limit = new ConcurrencyLimit();
        limit.reset(2);
        int sent = 0;
        for (int ms = 0; ms < 1000; ms++) { // each attempt fails in the same millisecond
            if (!limit.isFull(ms)) {
                limit.sent(ms, 100);
                limit.ended();
                limit.failed(ms, 0, 100);
                sent++;
            }
        }
        assertEquals(20, sent, 1, "two slots, for 100 ms each");
        limit.failed(2000, 500, 100);
        assertFalse(limit.isFull(2000), "a late failure has held its slot long enough");
    }
}
