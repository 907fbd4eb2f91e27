package ivybank.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class FleetCountTest {

    private final FleetCount count = new FleetCount(6, 1000);

    @Test
    void moreAreBelievedAtOnceAndFewerOnceThatHasStood() {
        assertEquals(12, count.seen(0, 12));
        assertEquals(12, count.seen(100, 8), "they may be out of hearing and still send");
        assertEquals(12, count.seen(900, 9));
        assertEquals(9, count.seen(1100, 8), "the most that was seen meanwhile");
        assertEquals(9, count.seen(1200, 8));
        assertEquals(8, count.seen(2200, 8));
    }

    @Test
    void aPartitionThatHealsInTimeChangesNothing() {
        count.seen(0, 12);
        count.seen(100, 7);
        assertEquals(12, count.seen(900, 12));
        count.seen(1000, 7);
        assertEquals(12, count.seen(1900, 7));
    }

    @Test
    void neverFewerThanConfiguredAlsoWhereNobodyIsHeard() {
        assertEquals(6, count.seen(0, 1));
        assertEquals(6, count.seen(5000, 2));
        count.seen(6000, 20);
        count.seen(7000, 1);
        assertEquals(6, count.seen(8000, 1));
    }
}
