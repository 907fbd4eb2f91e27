package ivybank.common;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class RecoveryTimeTest {

    private static double recoveryTime(double faultS, double... shares) {
        return RecoveryTime.seconds(second -> shares[second], shares.length, faultS);
    }

    @Test
    void recoveryNeedsTheBaselineForFiveSeconds() {
        assertEquals(3, recoveryTime(5, 1, 1, 1, 1, 1, 0.2, 0.5, 0.9, 1, 1, 1, 1, 1, 1));
        assertEquals(0, recoveryTime(5.5, 1, 1, 1, 1, 1, 0.97, 1, 1, 1, 1, 1), "service never fell by more than 5%");
        assertEquals(
                1.5,
                recoveryTime(5.5, 1, 1, 1, 1, 1, 0, 0, 0.96, 1, 1, 1, 1, 1),
                "counted from the fault, not from the beginning of its second");
    }

    @Test
    void aSingleSecondOfFullServiceIsNoRecovery() {
        assertEquals(5, recoveryTime(5, 1, 1, 1, 1, 1, 0, 1, 0.2, 1, 0.5, 1, 1, 1, 1, 1, 1));
    }

    @Test
    void recoveryIsRelativeToTheBaseline() {
        assertEquals(1, recoveryTime(5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.1, 0.48, 0.5, 0.5, 0.5, 0.5));
    }

    @Test
    void noRecoveryIsInfiniteAndNoBaselineIsNaN() {
        assertEquals(Double.POSITIVE_INFINITY, recoveryTime(5, 1, 1, 1, 1, 1, 0, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5));
        assertEquals(
                Double.POSITIVE_INFINITY,
                recoveryTime(5, 1, 1, 1, 1, 1, 0, 1, 1),
                "recovered too late for 5 s of data");
        assertEquals(Double.NaN, recoveryTime(0, 1, 1, 1, 1, 1, 1, 1));
        assertEquals(
                Double.NaN, recoveryTime(2, Double.NaN, Double.NaN, 1, 1, 1, 1, 1), "no requests before the fault");
        assertEquals(
                1, recoveryTime(3, 1, 1, 1, 0, Double.NaN, 1, 1, 1, 1, 1), "a second without requests is no fault");
    }
}
