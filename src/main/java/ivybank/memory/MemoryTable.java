package ivybank.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * What the memory of a process goes to: one row for each role, whose sum is within the limit of the settings. What is admitted
 * follows from it: connections, and the bytes of messages on the heap and outside of it. Pure.
 */
public final class MemoryTable {

    /**
     * What a process may take.
     *
     * @param memoryBytes the limit on the whole process, in bytes; 0 for none
     * @param maxHeapBytes the most that the virtual machine takes for its heap, in bytes
     * @param maxDirectBytes the most that it takes for buffers outside the heap, in bytes
     * @param clientConnections the client connections for which there are descriptors
     * @param nodes the nodes that are listed
     * @param store what the store of promises takes
     */
    public record Limits(
            long memoryBytes, long maxHeapBytes, long maxDirectBytes, int clientConnections, int nodes, Store store) {

        /** Limits of a process without a store. */
        public Limits(long memoryBytes, long maxHeapBytes, long maxDirectBytes, int clientConnections, int nodes) {
            this(memoryBytes, maxHeapBytes, maxDirectBytes, clientConnections, nodes, Store.NONE);
        }

        /** Returns the same with a store. */
        public Limits withStore(Store newStore) {
            return new Limits(memoryBytes, maxHeapBytes, maxDirectBytes, clientConnections, nodes, newStore);
        }

        /** Returns the same with this many nodes. */
        public Limits withNodes(int newNodes) {
            return new Limits(memoryBytes, maxHeapBytes, maxDirectBytes, clientConnections, newNodes, store);
        }

        /**
         * Returns the limits of one of several processes that share the limit on memory. What the store takes comes off the whole, and
         * is added to what the process that holds it may take.
         *
         * @param processes how many they are
         * @param holdsStore whether this one holds the store, or is the one that will
         */
        public Limits shared(int processes, boolean holdsStore) {
            long sharedBytes = Math.max(0, memoryBytes - store.bytes()) / processes;
            return new Limits(
                    memoryBytes <= 0 ? memoryBytes : sharedBytes + (holdsStore ? store.bytes() : 0),
                    maxHeapBytes,
                    maxDirectBytes,
                    clientConnections,
                    nodes,
                    holdsStore ? store : Store.NONE);
        }
    }

    /**
     * What the store of promises takes on the heap.
     *
     * @param identities the most identities that it keeps
     * @param bytesPerIdentity the most that each takes in the mean, in bytes
     * @param bufferBytes the writes that wait for the disk, and the parts of its files that are read or written at a time
     */
    public record Store(int identities, long bytesPerIdentity, long bufferBytes) {

        /** No store. */
        public static final Store NONE = new Store(0, 0, 0);

        /** Returns the bytes of all. */
        public long bytes() {
            return identities * bytesPerIdentity + bufferBytes;
        }
    }

    /**
     * One role.
     *
     * @param number how many there are of it
     * @param bytesEach the bytes for each
     */
    public record Row(String role, long number, long bytesEach) {

        /** Returns the bytes for all. */
        public long bytes() {
            return number * bytesEach;
        }
    }

    private static final long KIBIBYTE = 1L << 10;
    private static final long MEBIBYTE = 1L << 20;

    /** The virtual machine, its compiled code and class data, the libraries, and the stacks of its threads. */
    private static final long RUNTIME_BYTES = 60 * MEBIBYTE;
    /** The young generation of the heap, and the program's own objects. */
    private static final long HEAP_BASE_BYTES = 12 * MEBIBYTE;
    /** What is known of one node. */
    private static final long NODE_BYTES = 2 * KIBIBYTE;
    /** The pipeline of one client connection, its request, and the head that is being received. */
    private static final long CONNECTION_BYTES = 8 * KIBIBYTE;
    /** The part of what the runtime leaves that buffers outside the heap take. */
    private static final double DIRECT_PART = 0.25;
    /** The allocator keeps chunks that are used in part, and each connection may read once more when nothing is left. */
    private static final int DIRECT_DIVISOR = 3;
    /** As much as messages take is left to what they leave behind until the next garbage collection. */
    private static final int HEAP_DIVISOR = 2;
    /** Where the limit is too small, a few requests at a time are still served. */
    private static final long MIN_HEAP_BYTES = 4 * MEBIBYTE;

    private static final long MIN_DIRECT_BYTES = 2 * MEBIBYTE;
    private static final long MIN_MESSAGE_BYTES = MEBIBYTE;
    /** The part of the buffers outside the heap that single reads of all connections may take. */
    private static final int READ_DIVISOR = 2;

    private static final int MIN_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 16 * 1024;

    private final Limits limits;
    private final int clientConnections;
    private final long heapBytes;
    private final long directBytes;

    private MemoryTable(Limits limits, int clientConnections, long heapBytes, long directBytes) {
        this.limits = limits;
        this.clientConnections = clientConnections;
        this.heapBytes = heapBytes;
        this.directBytes = directBytes;
    }

    /** Returns the table of a process with these limits. */
    public static MemoryTable of(Limits limits) {
        if (limits.memoryBytes() <= 0) {
            return new MemoryTable(limits, limits.clientConnections(), limits.maxHeapBytes(), limits.maxDirectBytes());
        }
        long leftBytes = Math.max(0, limits.memoryBytes() - RUNTIME_BYTES);
        long programBytes = programBytes(limits);
        // The heap gets its least first.
        long wantedDirectBytes = Math.min((long) (DIRECT_PART * leftBytes), leftBytes - programBytes - MIN_HEAP_BYTES);
        long directBytes = within(MIN_DIRECT_BYTES, wantedDirectBytes, limits.maxDirectBytes());
        long heapBytes = within(programBytes + MIN_HEAP_BYTES, leftBytes - directBytes, limits.maxHeapBytes());
        long connections = Math.max(1, (heapBytes - programBytes) / HEAP_DIVISOR / CONNECTION_BYTES);
        return new MemoryTable(limits, (int) Math.min(limits.clientConnections(), connections), heapBytes, directBytes);
    }

    /** Returns what the heap holds without any client. */
    private static long programBytes(Limits limits) {
        return HEAP_BASE_BYTES + limits.nodes() * NODE_BYTES + limits.store().bytes();
    }

    private static long within(long least, long wanted, long most) {
        return Math.min(most, Math.max(least, wanted));
    }

    /** Returns the most that the heap may take, in bytes. */
    public long heapBytes() {
        return heapBytes;
    }

    /** Returns how many client connections are accepted. */
    public int clientConnections() {
        return clientConnections;
    }

    /** Returns what messages may take on the heap, in bytes. */
    public long messageHeapBytes() {
        return Math.max(MIN_MESSAGE_BYTES, leftForMessagesBytes() / HEAP_DIVISOR);
    }

    private long leftForMessagesBytes() {
        return heapBytes - programBytes(limits) - clientConnections * CONNECTION_BYTES;
    }

    /** Returns what messages may take outside the heap, in bytes. */
    public long messageDirectBytes() {
        return Math.max(MIN_MESSAGE_BYTES, directBytes / DIRECT_DIVISOR);
    }

    /** Returns the largest buffer of one read, in bytes: a power of two. */
    public int readBytes() {
        long bytes = directBytes / READ_DIVISOR / Math.max(1, clientConnections);
        return (int) Math.max(MIN_READ_BYTES, Math.min(MAX_READ_BYTES, Long.highestOneBit(Math.max(1, bytes))));
    }

    /**
     * Returns how many identities a store may keep at the most for the rest to fit, beside its buffers; 0 if not even those fit.
     */
    public long maxStoreIdentities() {
        Store store = limits.store();
        long otherBytes = programBytes(limits) - store.bytes() + store.bufferBytes() + MIN_HEAP_BYTES;
        return store.bytesPerIdentity() == 0
                ? 0
                : Math.max(0, (maxProgramHeapBytes() - otherBytes) / store.bytesPerIdentity());
    }

    /** Returns whether the store and the least that is admitted beside it fit. */
    public boolean storeFits() {
        return limits.store().identities() <= maxStoreIdentities()
                || limits.store().bytes() == 0;
    }

    /** Returns what the heap may take at the most, whatever it has to hold. */
    private long maxProgramHeapBytes() {
        if (limits.memoryBytes() <= 0) {
            return limits.maxHeapBytes();
        }
        return Math.min(limits.maxHeapBytes(), limits.memoryBytes() - RUNTIME_BYTES - directBytes);
    }

    /** Returns whether all rows together are within the limit. */
    public boolean fits() {
        return limits.memoryBytes() <= 0 || sumBytes() <= limits.memoryBytes();
    }

    /** Returns the sum of all rows, in bytes. */
    public long sumBytes() {
        return rows().stream().mapToLong(Row::bytes).sum();
    }

    /** Returns the rows. */
    public List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        rows.add(new Row("runtime", 1, RUNTIME_BYTES));
        rows.add(new Row("heap of the program", 1, HEAP_BASE_BYTES));
        rows.add(new Row("nodes", limits.nodes(), NODE_BYTES));
        if (limits.store().bytes() > 0) {
            rows.add(new Row(
                    "identities of the store",
                    limits.store().identities(),
                    limits.store().bytesPerIdentity()));
            rows.add(new Row("buffers of the store", 1, limits.store().bufferBytes()));
        }
        rows.add(new Row("client connections", clientConnections, CONNECTION_BYTES));
        rows.add(new Row("messages on the heap", 1, messageHeapBytes()));
        rows.add(new Row("garbage", 1, Math.max(0, leftForMessagesBytes() - messageHeapBytes())));
        rows.add(new Row("messages outside the heap", 1, messageDirectBytes()));
        rows.add(new Row("allocator", 1, Math.max(0, directBytes - messageDirectBytes())));
        return rows;
    }

    /** Returns the rows, their sum and the limit, for the log. */
    @Override
    public String toString() {
        return rows().stream()
                        .map(row -> row.role() + " " + (row.number() > 1 ? row.number() + " x " : "")
                                + amount(row.bytesEach()))
                        .collect(Collectors.joining(", "))
                + "; sum " + amount(sumBytes()) + " of "
                + (limits.memoryBytes() <= 0 ? "no limit" : amount(limits.memoryBytes()));
    }

    private static String amount(long bytes) {
        if (bytes < KIBIBYTE) {
            return bytes + " bytes";
        }
        return bytes < MEBIBYTE
                ? bytes / KIBIBYTE + " KiB"
                : String.format(Locale.ROOT, "%.1f MiB", (double) bytes / MEBIBYTE);
    }
}
