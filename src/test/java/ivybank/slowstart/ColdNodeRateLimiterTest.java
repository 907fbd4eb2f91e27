package ivybank.slowstart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ColdNodeRateLimiterTest {

    private static void recordAnswers(ColdNodeRateLimiter limiter, int node, int kind, double fromMs, double perS) {
        for (double ms = 0; ms <= 1000; ms += 1000 / perS) {
            limiter.answered(fromMs + ms, node, kind);
        }
    }

    @Test
    void coldNodeIsAllowedItsWarmFractionOfTheRateOfItsKind() {
        ColdNodeRateLimiter limiter = new ColdNodeRateLimiter();
        recordAnswers(limiter, 1, 0, 0, 40);
        recordAnswers(limiter, 2, 1, 0, 10);
        assertEquals(0.5 * 0.040, limiter.allowedPerMs(0, 0.5), 0.002);
        assertEquals(0.5 * 0.010, limiter.allowedPerMs(1, 0.5), 0.002);
    }

    @Test
    void unknownKindGetsTheRateOfTheWeakest() {
        ColdNodeRateLimiter limiter = new ColdNodeRateLimiter();
        assertEquals(0, limiter.allowedPerMs(7, 1), "no rate is known yet");
        recordAnswers(limiter, 1, 0, 0, 40);
        recordAnswers(limiter, 2, 1, 0, 10);
        assertEquals(limiter.allowedPerMs(1, 1), limiter.allowedPerMs(7, 1));
    }

    @Test
    void windowWithLittleTrafficHardlyLowersTheRate() {
        ColdNodeRateLimiter limiter = new ColdNodeRateLimiter();
        recordAnswers(limiter, 1, 0, 0, 40);
        double before = limiter.allowedPerMs(0, 1);
        recordAnswers(limiter, 1, 0, 2000, 2);
        assertTrue(limiter.allowedPerMs(0, 1) < before);
        assertEquals(before, limiter.allowedPerMs(0, 1), 0.01 * before);
    }

    @Test
    void bucketKeepsItsRateWithoutBursts() {
        TokenBucket tokens = new TokenBucket();
        assertFalse(tokens.hasToken(0, 0.01), "no token before any time has passed");
        int sent = 0;
        for (int ms = 0; ms <= 10_000; ms++) {
            if (tokens.hasToken(ms, 0.01)) {
                tokens.take();
                sent++;
            }
        }
        assertEquals(100, sent, 2);
        tokens.hasToken(100_000, 0.01);
        tokens.take();
        assertFalse(tokens.hasToken(100_001, 0.01), "after a pause of 90 s there is one token, not 900");
    }

    @Test
    void overdraftIsFilledUpFirst() {
        TokenBucket tokens = new TokenBucket();
        tokens.hasToken(0, 0.01);
        for (int i = 0; i < 3; i++) {
            tokens.take();
        }
        assertFalse(tokens.hasToken(399, 0.01));
        assertTrue(tokens.hasToken(401, 0.01));
    }
}
