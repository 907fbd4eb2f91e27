package ivybank.operations;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the times of a standby order. */
class StandbyTest {

    private static final double ORDER_MS = 1_700_000_000_000.0;
    /** When no recent request may be held any more, and how old a request is then that is not recent. */
    private static final double RELEASED_MS = 4000;

    private static final double RECENT_MS = 2000;
    /** What is served in the first 1.9 s of a standby is served as without one. */
    private static final double SERVED_MS = 1900;

    private final Standby standby = new Standby(ORDER_MS);

    // Guards against requests that are recent at the end of the standby and are held.
    @Test
    void aRequestIsHeldOnlyIfItIsNotRecentAtTheEnd() {
        for (double ageMs = 0; ageMs <= 2 * RELEASED_MS; ageMs += 10) {
            boolean recent = ageMs >= RELEASED_MS - RECENT_MS;
            assertFalse(recent && standby.mayHold(ORDER_MS + ageMs), ageMs + " ms");
            assertTrue(ageMs >= SERVED_MS || standby.mayHold(ORDER_MS + ageMs), ageMs + " ms");
        }
    }

    @Test
    void withoutAnOrderEachRequestIsHeld() {
        assertTrue(Standby.NONE.mayHold(ORDER_MS));
        assertEquals(Standby.Phase.OFF, Standby.NONE.phase(ORDER_MS));
        assertTrue(standby.mayHold(ORDER_MS - 1), "a request from before the order");
    }
}
