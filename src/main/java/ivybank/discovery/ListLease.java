package ivybank.discovery;

/**
 * For how long the list may still be gone by after the watch has ended and this machine itself keeps the next call from being
 * made (no descriptor, no port, no network). What discovery had told meanwhile counts as told where lists are pushed, so that
 * nothing may be sent once a drain's grace could be over. Where discovery is the reason, no lease runs: it learns nothing
 * then. Decides by the clock handed in, in milliseconds.
 */
public final class ListLease {

    /** Kept of the time that a drain is allowed, for the way from the decision to the first byte. */
    private static final double MARGIN_MS = 150;

    private static final double LEAST_MS = 50;

    private final double leaseMs;
    private double confirmedMs = Double.NEGATIVE_INFINITY;
    private boolean failing;

    private ListLease(double leaseMs) {
        this.leaseMs = leaseMs;
    }

    /** One that never lapses. */
    public static ListLease unlimited() {
        return new ListLease(Double.POSITIVE_INFINITY);
    }

    /**
     * The usual one.
     *
     * @param asked whether calls wait in turn at one service for all sidecars
     * @param graceMs for how long a node may be sent to that was told to drain
     */
    public static ListLease usual(boolean asked, double graceMs) {
        double allowedMs = asked ? Timing.TOLD_AFTER_FAILED_CALL_MS : graceMs;
        return new ListLease(Math.max(LEAST_MS, allowedMs - MARGIN_MS));
    }

    /** Discovery has confirmed what is known. */
    void renew(double nowMs) {
        confirmedMs = nowMs;
        failing = false;
    }

    /** A call could not be made here. */
    void failedLocally(double nowMs) {
        if (!failing) {
            failing = true;
            // A watch that was whole until now has told all until now.
            confirmedMs = Math.max(confirmedMs, nowMs);
        }
    }

    /** Whether nothing may be sent on by the list any more. */
    public boolean hasLapsed(double nowMs) {
        return failing && nowMs - confirmedMs > leaseMs;
    }
}
