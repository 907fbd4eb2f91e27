package ivybank.memory;

/**
 * The bytes of one message, or of a part of one, in a {@link MemoryBudget}. They are returned when the last holder has
 * released them; the one that creates a reservation is the first holder. Used on one event loop.
 */
public final class Reservation {

    /** The reservation of what takes no memory. It may be retained and released any number of times. */
    public static final Reservation NONE = new Reservation(null);

    private final MemoryBudget budget;
    private long bytes;
    private int holders = 1;

    Reservation(MemoryBudget budget) {
        this.budget = budget;
    }

    /** Returns the reserved bytes; 0 once they are returned. */
    public long bytes() {
        return bytes;
    }

    /** Changes the reserved bytes to this many if the limit allows it, and returns whether it does. */
    boolean tryResize(long newBytes) {
        if (newBytes > bytes && !budget.hasRoomFor(newBytes - bytes)) {
            return false;
        }
        resize(newBytes);
        return true;
    }

    /** Changes the reserved bytes to this many, even beyond the limit. */
    void resize(long newBytes) {
        budget.add(newBytes - bytes);
        bytes = newBytes;
    }

    /** Adds a holder, which has to release the reservation as well. */
    public Reservation retain() {
        holders += budget == null ? 0 : 1;
        return this;
    }

    /** Releases the reservation for one holder; the last one returns the bytes. Further calls do nothing. */
    public void release() {
        if (budget != null && holders > 0 && --holders == 0) {
            resize(0);
        }
    }
}
