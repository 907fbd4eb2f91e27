package ivybank.scale.worker;

/**
 * Milliseconds of the system's monotonic clock. On Linux all processes of one machine read the same clock, so that a time taken in
 * one process may be subtracted from a time taken in another; wall clocks can be corrected in between and are not used.
 */
public final class MonotonicTime {

    private static final double NANOS_IN_MS = 1e6;

    private MonotonicTime() {}

    /** The time now, in ms since an instant that is the same for all processes of this machine. */
    public static double nowMs() {
        return System.nanoTime() / NANOS_IN_MS;
    }
}
