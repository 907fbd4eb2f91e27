package ivybank.daemon;

import io.netty.util.internal.PlatformDependent;
import ivybank.memory.MessageMemory;

/** The shares of the process's memory that messages in progress may take. */
final class MemoryShares {

    /**
     * The divisor of the heap. The rest holds connections, the list of nodes and what has been learned of them, and what
     * the garbage collector needs to run seldom.
     */
    private static final int HEAP_DIVISOR = 3;
    /**
     * The divisor of the memory outside the heap. Beyond it each connection may still read once, and the allocator keeps
     * buffers for later and chunks that are used in part.
     */
    private static final int DIRECT_DIVISOR = 3;

    private MemoryShares() {}

    /** Returns the memory of this process, by the limits with which its virtual machine runs. */
    static MessageMemory ofProcess() {
        return of(Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory());
    }

    /**
     * Returns the memory of a process.
     *
     * @param heapBytes the maximum heap, in bytes
     * @param directBytes the maximum memory outside the heap, in bytes
     */
    static MessageMemory of(long heapBytes, long directBytes) {
        return new MessageMemory(heapBytes / HEAP_DIVISOR, directBytes / DIRECT_DIVISOR);
    }
}
