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
    private static final int CONNECTIONS = 341;
    private static final int IDENTITIES = 100_000;
    private static final long BYTES_PER_IDENTITY = 168;
    private static final long STORE_BUFFER_BYTES = 10L << 20;
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

    private static MemoryTable.Limits limitsWithStore(long memoryMb, int identities) {
        return new MemoryTable.Limits(
                memoryMb * MB,
                MAX_HEAP_BYTES,
                MAX_DIRECT_BYTES,
                CONNECTIONS,
                NODES,
                new MemoryTable.Store(identities, BYTES_PER_IDENTITY, STORE_BUFFER_BYTES));
    }

    // Guards against a store whose identities are in no row: its process would run out of heap under messages.
    @ParameterizedTest
    @CsvSource({"160", "192", "256"})
    void aFullStoreHasRowsAndTheRestGetsLess(long memoryMb) {
        MemoryTable table = MemoryTable.of(limitsWithStore(memoryMb, IDENTITIES));
        assertTrue(table.storeFits(), table::toString);
        assertTrue(table.fits(), table::toString);
        long heapBytes = table.rows().stream()
                .filter(row -> !row.role().equals("runtime") && !row.role().contains("outside"))
                .filter(row -> !row.role().equals("allocator"))
                .mapToLong(MemoryTable.Row::bytes)
                .sum();
        assertTrue(heapBytes <= MAX_HEAP_BYTES, table::toString);
        assertTrue(table.messageHeapBytes() < table(memoryMb, CONNECTIONS).messageHeapBytes(), table::toString);
    }

    // Guards against two processes of an upgrade whose parts exceed the limit because one of them holds the store.
    @Test
    void inAnUpgradeTheStoreIsInThePartOfWhoHoldsIt() {
        MemoryTable.Limits limits = limitsWithStore(192, IDENTITIES);
        MemoryTable holder = MemoryTable.of(limits.shared(2, true));
        MemoryTable other = MemoryTable.of(limits.shared(2, false));
        assertTrue(holder.fits(), holder::toString);
        assertTrue(other.fits(), other::toString);
        assertTrue(holder.sumBytes() + other.sumBytes() <= 192 * MB, holder + "; " + other);
    }

    // Guards against a number of identities that is admitted and does not fit.
    @Test
    void asManyIdentitiesAsTheTableNamesFit() {
        MemoryTable tooMany = MemoryTable.of(limitsWithStore(96, IDENTITIES));
        assertFalse(tooMany.storeFits(), tooMany::toString);
        int most = (int) tooMany.maxStoreIdentities();
        assertTrue(most > 1000 && most < IDENTITIES, most + " identities");
        MemoryTable fitting = MemoryTable.of(limitsWithStore(96, most));
        assertTrue(fitting.storeFits(), fitting::toString);
        assertTrue(fitting.fits(), fitting::toString);
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
