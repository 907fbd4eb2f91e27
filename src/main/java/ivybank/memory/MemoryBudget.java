package ivybank.memory;

/**
 * A limit on the bytes that messages hold in one kind of memory, and their number. Bytes are reserved and returned through
 * {@link Reservation}s alone. Used on one event loop.
 */
public final class MemoryBudget {

    private long limitBytes;
    private long reservedBytes;
    private long peakBytes;

    /** @param limitBytes the limit in bytes */
    public MemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Changes the limit; what is reserved beyond it stays reserved. */
    void setLimitBytes(long newLimitBytes) {
        limitBytes = newLimitBytes;
    }

    /** Returns how many bytes are reserved. */
    public long reservedBytes() {
        return reservedBytes;
    }

    /** Returns whether the limit is reached. */
    public boolean isExhausted() {
        return reservedBytes >= limitBytes;
    }

    /** Returns whether half of the limit is reached. */
    public boolean isScarce() {
        return reservedBytes >= limitBytes / 2;
    }

    /** Returns whether this many more bytes are within the limit. */
    boolean hasRoomFor(long bytes) {
        return reservedBytes + bytes <= limitBytes;
    }

    /**
     * Changes the number of reserved bytes.
     *
     * @throws IllegalStateException if more would be returned than is reserved
     */
    void add(long bytes) {
        if (reservedBytes + bytes < 0) {
            throw new IllegalStateException("returned " + -bytes + " bytes of " + reservedBytes);
        }
        reservedBytes += bytes;
        peakBytes = Math.max(peakBytes, reservedBytes);
    }

    /** Returns the reserved bytes, the limit and the highest number so far, for the log. */
    @Override
    public String toString() {
        return reservedBytes + " of " + limitBytes + " bytes, at most " + peakBytes;
    }
}
