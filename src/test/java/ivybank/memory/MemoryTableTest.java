package ivybank.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what the memory of a process goes to. */
class MemoryTableTest {

    private static final long MB = 1_000_000;
    private static final int NODES = 200;
    private static final long MAX_HEAP_BYTES = 48L << 20;
    private static final long MAX_DIRECT_BYTES = 24L << 20;

    private static MemoryTable table(long memoryMb, int connections) {
        return MemoryTable.of(
                new MemoryTable.Limits(memoryMb * MB, MAX_HEAP_BYTES, MAX_DIRECT_BYTES, connections, NODES));
    }

    // Guards against limits that are each sound and exceed the limit of the settings together.
    @ParameterizedTest
    @CsvSource({"96, 700", "96, 350", "128, 700", "160, 350", "192, 700", "256, 700"})
    void theSumIsWithinTheLimit(long memoryMb, int connections) {
        MemoryTable table = table(memoryMb, connections);
        assertTrue(table.fits(), table::toString);
        assertTrue(table.sumBytes() <= memoryMb * MB, table::toString);
        assertTrue(table.messageHeapBytes() >= 2 << 20, table::toString);
        assertEquals(connections, table.clientConnections(), table::toString);
    }

    // Guards against a smaller limit that admits as much as a larger one.
    @Test
    void lessMemoryAdmitsLess() {
        MemoryTable least = table(96, 700);
        MemoryTable usual = table(192, 700);
        assertTrue(least.heapBytes() < usual.heapBytes());
        assertTrue(least.messageHeapBytes() < usual.messageHeapBytes());
        assertTrue(least.messageDirectBytes() < usual.messageDirectBytes());
        assertTrue(least.readBytes() <= usual.readBytes());
    }

    // Guards against a limit that is too small and that nobody hears of.
    @Test
    void whatDoesNotFitIsTold() {
        MemoryTable table = table(64, 700);
        assertFalse(table.fits(), table::toString);
        assertTrue(table.clientConnections() < 700, table::toString);
        assertTrue(table.messageHeapBytes() > 0);
    }
}
