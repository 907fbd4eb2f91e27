package ivybank.warming;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CarriedTest {

    private static void carry(Carried carried, int node, int kind, double fromMs, double perS) {
        for (double ms = 0; ms <= 1000; ms += 1000 / perS) {
            carried.answered(fromMs + ms, node, kind);
        }
    }

    @Test
    void aColdNodeMayBeSentThePartThatIsWarmOfWhatOneOfItsKindCarries() {
        Carried carried = new Carried();
        carry(carried, 1, 0, 0, 40);
        carry(carried, 2, 1, 0, 10);
        assertEquals(0.5 * 0.040, carried.mayBeSent(0, 0.5), 0.002);
        assertEquals(0.5 * 0.010, carried.mayBeSent(1, 0.5), 0.002);
    }

    @Test
    void aKindThatNobodyHasSeenIsTakenForTheWeakest() {
        Carried carried = new Carried();
        assertEquals(0, carried.mayBeSent(7, 1), "nothing is known yet");
        carry(carried, 1, 0, 0, 40);
        carry(carried, 2, 1, 0, 10);
        assertEquals(carried.mayBeSent(1, 1), carried.mayBeSent(7, 1));
    }

    @Test
    void aSpanOfLittleTrafficHardlyLowersTheGuide() {
        Carried carried = new Carried();
        carry(carried, 1, 0, 0, 40);
        double before = carried.mayBeSent(0, 1);
        carry(carried, 1, 0, 2000, 2);
        assertTrue(carried.mayBeSent(0, 1) < before);
        assertEquals(before, carried.mayBeSent(0, 1), 0.01 * before);
    }

    @Test
    void theAllowanceKeepsItsRateAndSavesNothingUp() {
        Allowance allowance = new Allowance();
        assertFalse(allowance.has(0, 0.01), "nothing is given before any time has passed");
        int sent = 0;
        for (int ms = 0; ms <= 10_000; ms++) {
            if (allowance.has(ms, 0.01)) {
                allowance.take();
                sent++;
            }
        }
        assertEquals(100, sent, 2);
        allowance.has(100_000, 0.01);
        allowance.take();
        assertFalse(allowance.has(100_001, 0.01), "a pause of 90 s leaves room for one, not for 900");
    }

    @Test
    void whatWentThereOtherwiseIsPaidBackFirst() {
        Allowance allowance = new Allowance();
        allowance.has(0, 0.01);
        for (int i = 0; i < 3; i++) {
            allowance.take();
        }
        assertFalse(allowance.has(399, 0.01));
        assertTrue(allowance.has(401, 0.01));
    }
}
