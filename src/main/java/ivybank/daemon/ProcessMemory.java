package ivybank.daemon;

import io.netty.util.internal.PlatformDependent;
import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.memory.MemoryTable;
import ivybank.memory.MessageMemory;

/**
 * Keeps this process within its memory: sets what messages may take, and has the heap collected and given back where it grows beyond
 * its part. The heap would otherwise grow to the most that the virtual machine allows before garbage is collected. Used on one
 * event loop.
 */
final class ProcessMemory {

    /** The shortest time between two collections, in milliseconds: each stops the process. */
    private static final double MIN_COLLECTION_INTERVAL_MS = 500;

    /** The longest: where what is in use does not fit, collections don't help. */
    private static final double MAX_COLLECTION_INTERVAL_MS = 10_000;

    private static final long BYTES_IN_MB = 1_000_000;
    /** More than there are descriptors for. */
    private static final int UNLIMITED_CONNECTIONS = 65_536;

    private MemoryTable.Limits limits;
    private final MessageMemory messages;
    private MemoryTable table;
    /** The processes of the sidecar that share the limit. */
    private int processes = 1;

    private boolean holdsStore = true;
    private double collectedMs = Double.NEGATIVE_INFINITY;
    private double intervalMs = MIN_COLLECTION_INTERVAL_MS;

    private ProcessMemory(MemoryTable.Limits limits, MemoryTable table, MessageMemory messages) {
        this.limits = limits;
        this.table = table;
        this.messages = messages;
    }

    /**
     * Returns the limits on this process, without a store.
     *
     * @param memoryMb the limit of the settings, in MB; 0 for none
     * @param clientConnections the client connections for which there are descriptors
     * @param nodes the nodes that are listed
     */
    static MemoryTable.Limits limits(int memoryMb, int clientConnections, int nodes) {
        return new MemoryTable.Limits(
                memoryMb * BYTES_IN_MB,
                Runtime.getRuntime().maxMemory(),
                PlatformDependent.maxDirectMemory(),
                clientConnections,
                nodes);
    }

    /** Returns the memory of a process with these limits. */
    static ProcessMemory of(MemoryTable.Limits limits) {
        MemoryTable table = MemoryTable.of(limits);
        return new ProcessMemory(
                limits, table, new MessageMemory(table.messageHeapBytes(), table.messageDirectBytes()));
    }

    /** Returns the memory of a process without a limit on the whole, in which messages have these budgets. */
    static ProcessMemory withBudgets(MessageMemory messages) {
        MemoryTable.Limits limits = new MemoryTable.Limits(
                0, Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory(), UNLIMITED_CONNECTIONS, 0);
        return new ProcessMemory(limits, MemoryTable.of(limits), messages);
    }

    /** Returns the budgets of messages. */
    MessageMemory messages() {
        return messages;
    }

    /** Returns what the memory of this process goes to. */
    MemoryTable table() {
        return table;
    }

    /** Shares the limit with this many processes of the sidecar, this one among them, from now on. */
    void shareAmong(int newProcesses, Log log) {
        processes = newProcesses;
        update(log);
    }

    /** Sets whether this process holds the store, or is the one that will open it. */
    void holdsStore(boolean holds, Log log) {
        if (holdsStore != holds) {
            holdsStore = holds;
            update(log);
        }
    }

    /** Sets how many nodes are listed; the log tells where there are more than ever. */
    void nodesListed(int nodes, Log log) {
        if (nodes > limits.nodes()) {
            limits = limits.withNodes(nodes);
            update(log);
        }
    }

    private void update(Log log) {
        if (limits.memoryBytes() <= 0) {
            return;
        }
        table = MemoryTable.of(limits.shared(processes, holdsStore));
        messages.setLimits(table.messageHeapBytes(), table.messageDirectBytes());
        log.line("memory of this process, one of " + processes + ": " + table
                + (table.fits() ? "" : "; it does not fit, the least is admitted"));
    }

    /** Has garbage collected, and what it took given back, where the heap exceeds its part. */
    void check(Clock clock, Log log) {
        Runtime runtime = Runtime.getRuntime();
        long beforeBytes = runtime.totalMemory();
        if (beforeBytes <= table.heapBytes() || clock.nowMs() - collectedMs < intervalMs) {
            return;
        }
        double startMs = clock.nowMs();
        System.gc();
        collectedMs = clock.nowMs();
        intervalMs = runtime.totalMemory() <= table.heapBytes()
                ? MIN_COLLECTION_INTERVAL_MS
                : Math.min(2 * intervalMs, MAX_COLLECTION_INTERVAL_MS);
        log.line("heap of " + beforeBytes + " bytes exceeded " + table.heapBytes() + ": collected within "
                + Math.round(collectedMs - startMs) + " ms, now " + runtime.totalMemory() + " bytes with "
                + (runtime.totalMemory() - runtime.freeMemory()) + " in use");
    }
}
