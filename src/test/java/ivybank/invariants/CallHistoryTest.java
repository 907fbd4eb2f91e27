package ivybank.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests how long calls that may have run are remembered. */
class CallHistoryTest {

    private static final int MANY = 5000;

    private final CallHistory calls = new CallHistory();

    // Guards against an id that is forgotten while its first request may still run, or remembered without end.
    @Test
    void aCallIsRememberedUpToItsTime() {
        calls.add("a", 100);
        assertTrue(calls.contains("a", 99));
        assertFalse(calls.contains("a", 100));
        assertEquals(0, calls.size());
        calls.add("b", 100);
        calls.remove("b");
        assertFalse(calls.contains("b", 0));
    }

    // Guards against memory that grows with the calls of clients that leave.
    @Test
    void theOldestIsForgottenBeyondTheMaximum() {
        for (int i = 0; i < MANY; i++) {
            calls.add("call-" + i, 100);
        }
        assertTrue(calls.size() < MANY);
        assertTrue(calls.contains("call-" + (MANY - 1), 0));
        assertFalse(calls.contains("call-0", 0));
    }
}
