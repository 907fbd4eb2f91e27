package ivybank.memory;

/**
 * The memory that all messages in progress take in this process, in its two kinds: arrays on the heap, which hold what is
 * kept whole, and the buffers outside the heap in which bytes are read and written. Whoever keeps bytes of a message reserves
 * them here. Used on one event loop.
 */
public final class MessageMemory {

    /**
     * What a buffered part takes beside its bytes: objects on the heap, and the unused rest of the buffer in which it was
     * read.
     */
    private static final long PART_OVERHEAD_BYTES = 256;
    /** The size up to which a body is kept whatever memory is left: that of usual requests. */
    private static final long ALWAYS_KEPT_BYTES = 4096;

    private final MemoryBudget heap;
    private final MemoryBudget direct;

    /**
     * Creates the budgets.
     *
     * @param heapLimitBytes the limit for arrays on the heap, in bytes
     * @param directLimitBytes the limit for buffers outside the heap, in bytes
     */
    public MessageMemory(long heapLimitBytes, long directLimitBytes) {
        heap = new MemoryBudget(heapLimitBytes);
        direct = new MemoryBudget(directLimitBytes);
    }

    /** Returns budgets that are never used up. */
    public static MessageMemory unlimited() {
        return new MessageMemory(Long.MAX_VALUE / 2, Long.MAX_VALUE / 2);
    }

    /** Changes the limits of both budgets, in bytes; what is reserved beyond them stays reserved. */
    public void setLimits(long heapLimitBytes, long directLimitBytes) {
        heap.setLimitBytes(heapLimitBytes);
        direct.setLimitBytes(directLimitBytes);
    }

    /** Returns the budget for arrays on the heap. */
    public MemoryBudget heap() {
        return heap;
    }

    /** Returns the budget for buffers outside the heap. */
    public MemoryBudget direct() {
        return direct;
    }

    /** Returns an empty reservation for an array on the heap. */
    public Reservation newArray() {
        return new Reservation(heap);
    }

    /**
     * Reserves an array that is to have this many bytes, and returns whether it may. Where memory is used up, a body that
     * needs more is not kept: its request is refused, and returns what it has, which others need to become complete.
     */
    public boolean tryGrow(Reservation array, long bytes) {
        if (bytes <= ALWAYS_KEPT_BYTES) {
            resize(array, bytes);
            return true;
        }
        return array.tryResize(bytes);
    }

    /** Reserves an array that is to have this many bytes, even beyond the limit. */
    public void resize(Reservation array, long bytes) {
        array.resize(bytes);
    }

    /** Returns whether a request may be kept that waits behind another one of its connection. */
    public boolean mayQueue() {
        return !heap.isExhausted();
    }

    /** Returns whether connections are to be ended whose clients have stopped within a request. */
    public boolean mustEndStalledRequests() {
        return heap.isScarce();
    }

    /** Returns whether more of a body may be read that nobody writes yet. */
    public boolean mayReadAhead() {
        return !direct.isScarce();
    }

    /**
     * Returns whether more of a body may be read that is being written. Where memory is used up, each body may still have one
     * part at a time, so that all of them proceed at the pace of those who read them.
     *
     * @param heldBytes what has been read of the body and not been written yet, in bytes
     */
    public boolean mayStream(long heldBytes) {
        return heldBytes == 0 || !direct.isExhausted();
    }

    /** Reserves a buffered part, even beyond the limit: its bytes have been read already. */
    public Reservation reservePart(int bytes) {
        Reservation reservation = new Reservation(direct);
        reservation.resize(bytes + PART_OVERHEAD_BYTES);
        return reservation;
    }

    /** Returns whether anything is reserved. */
    public boolean isInUse() {
        return heap.reservedBytes() + direct.reservedBytes() > 0;
    }

    /** Returns the state of both budgets, for the log. */
    @Override
    public String toString() {
        return "heap " + heap + "; direct " + direct;
    }
}
