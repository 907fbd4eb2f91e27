package ivybank.slowstart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ColdNodeRateLimiterTest {

    private static void carry(ColdNodeRateLimiter coldNodeRates, int node, int kind, double fromMs, double perS) {
        for (double ms = 0; ms <= 1000; ms += 1000 / perS) {
            coldNodeRates.answered(fromMs + ms, node, kind);
        }
    }

    @Test
    void aColdNodeMayBeSentThePartThatIsWarmOfWhatOneOfItsKindCarries() {
        ColdNodeRateLimiter coldNodeRates = new ColdNodeRateLimiter();
        carry(coldNodeRates, 1, 0, 0, 40);
        carry(coldNodeRates, 2, 1, 0, 10);
        assertEquals(0.5 * 0.040, coldNodeRates.allowedPerMs(0, 0.5), 0.002);
        assertEquals(0.5 * 0.010, coldNodeRates.allowedPerMs(1, 0.5), 0.002);
    }

    @Test
    void aKindThatNobodyHasSeenIsTakenForTheWeakest() {
        ColdNodeRateLimiter coldNodeRates = new ColdNodeRateLimiter();
        assertEquals(0, coldNodeRates.allowedPerMs(7, 1), "nothing is known yet");
        carry(coldNodeRates, 1, 0, 0, 40);
        carry(coldNodeRates, 2, 1, 0, 10);
        assertEquals(coldNodeRates.allowedPerMs(1, 1), coldNodeRates.allowedPerMs(7, 1));
    }

    @Test
    void aSpanOfLittleTrafficHardlyLowersTheGuide() {
        ColdNodeRateLimiter coldNodeRates = new ColdNodeRateLimiter();
        carry(coldNodeRates, 1, 0, 0, 40);
        double before = coldNodeRates.allowedPerMs(0, 1);
        carry(coldNodeRates, 1, 0, 2000, 2);
        assertTrue(coldNodeRates.allowedPerMs(0, 1) < before);
        assertEquals(before, coldNodeRates.allowedPerMs(0, 1), 0.01 * before);
    }

    @Test
    void theBucketKeepsItsRateAndSavesNothingUp() {
        TokenBucket tokens = new TokenBucket();
        assertFalse(tokens.has(0, 0.01), "nothing is given before any time has passed");
        int sent = 0;
        for (int ms = 0; ms <= 10_000; ms++) {
            if (tokens.has(ms, 0.01)) {
                tokens.take();
                sent++;
            }
        }
        assertEquals(100, sent, 2);
        tokens.has(100_000, 0.01);
        tokens.take();
        assertFalse(tokens.has(100_001, 0.01), "a pause of 90 s leaves room for one, not for 900");
    }

    @Test
    void whatWentThereOtherwiseIsPaidBackFirst() {
        TokenBucket tokens = new TokenBucket();
        tokens.has(0, 0.01);
        for (int i = 0; i < 3; i++) {
            tokens.take();
        }
        assertFalse(tokens.has(399, 0.01));
        assertTrue(tokens.has(401, 0.01));
    }
}
