package ivybank.common;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class RecoveryTimeTest {

    private static double time(double faultS, double... shares) {
        return RecoveryTime.seconds(second -> shares[second], shares.length, faultS);
    }

    @Test
    void itIsBackWhenItIsWhereItWasAndStaysForFiveSeconds() {
        assertEquals(3, time(5, 1, 1, 1, 1, 1, 0.2, 0.5, 0.9, 1, 1, 1, 1, 1, 1));
        assertEquals(0, time(5.5, 1, 1, 1, 1, 1, 0.97, 1, 1, 1, 1, 1), "it never fell by more than a twentieth");
        assertEquals(
                1.5, time(5.5, 1, 1, 1, 1, 1, 0, 0, 0.96, 1, 1, 1, 1, 1), "from the fault on, not from its second");
    }

    @Test
    void aSecondOfFullServiceThatDoesNotLastIsNone() {
        assertEquals(5, time(5, 1, 1, 1, 1, 1, 0, 1, 0.2, 1, 0.5, 1, 1, 1, 1, 1, 1));
    }

    @Test
    void whatIsMeasuredIsTheServiceOfBefore() {
        assertEquals(1, time(5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.1, 0.48, 0.5, 0.5, 0.5, 0.5));
    }

    @Test
    void whereItDoesNotComeBackOrCantBeToldThatIsSaid() {
        assertEquals(Double.POSITIVE_INFINITY, time(5, 1, 1, 1, 1, 1, 0, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5));
        assertEquals(Double.POSITIVE_INFINITY, time(5, 1, 1, 1, 1, 1, 0, 1, 1), "too late to stay");
        assertEquals(Double.NaN, time(0, 1, 1, 1, 1, 1, 1, 1));
        assertEquals(Double.NaN, time(2, Double.NaN, Double.NaN, 1, 1, 1, 1, 1), "nobody asked before");
        assertEquals(1, time(3, 1, 1, 1, 0, Double.NaN, 1, 1, 1, 1, 1), "a second in which nobody asks is no fault");
    }
}
