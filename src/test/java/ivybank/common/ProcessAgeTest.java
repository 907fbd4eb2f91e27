package ivybank.common;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ProcessAgeTest {

    private static final String STAT =
            "27 (a name) 1) S 1 27 27 0 -1 4194560 1 0 0 0 2 3 0 0 20 0 1 0 12345 1 2 3 4 5 6 7\n";

    @Test
    void theAgeIsWhatThisMachineHasBeenUpSinceTheStart() {
        assertEquals(77_000, ProcessAge.ageMs(STAT, "200.45 801.00\n"), 0.001);
        assertThrows(IllegalArgumentException.class, () -> ProcessAge.ageMs("27 (java) S 1", "200.45 801.00\n"));
    }

    @Test
    void thisProcessIsOlderThanTheTest() {
        double before = ProcessAge.nowMs();
        assertTrue(before >= 0);
        assertTrue(ProcessAge.nowMs() >= before);
    }
}
