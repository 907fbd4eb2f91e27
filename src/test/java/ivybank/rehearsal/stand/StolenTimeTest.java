package ivybank.rehearsal.stand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The part of the wanted processor time that went to other machines. */
class StolenTimeTest {

    @Test
    void idleTimeIsNotWanted() {
        long[] before = {100, 0, 50, 1000, 10, 0, 5, 20};
        long[] after = {160, 0, 70, 9000, 90, 0, 5, 40};
        assertEquals(20 / 100.0, StolenTime.part(before, after), 1e-12);
        assertEquals(0, StolenTime.part(before, before), 1e-12);
    }

    @Test
    void thisMachineIsRead() throws Exception {
        double part = StolenTime.begin().part();
        assertTrue(part >= 0 && part <= 1, Double.toString(part));
    }
}
