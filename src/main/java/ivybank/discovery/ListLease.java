package ivybank.discovery;

/**
 * The time for which the list may still be used where this machine itself may have missed an update from discovery. Between
 * calls, and while a call cannot be read, nothing is received. Where discovery alone is the reason, no lease runs: a call that
 * it leaves unanswered covers the time for which it is pending, because discovery either learns nothing then or counts as
 * unreachable. The caller passes the current time in, in milliseconds.
 *
 * <p>Where lists are pushed, what the agent has counts as reported at once. A span in which this machine interrupted a call may
 * therefore hide a change, however long discovery is silent afterwards, and only its next answer ends that. Where sidecars
 * request lists from a shared service, a change counts as reported after {@link Timing#FAILURE_REPORT_LIMIT_MS} in which
 * discovery could be reached, so a shorter span hides none.
 */
public final class ListLease {

    /** The part of a drain's grace that is reserved for the time from the decision to the first byte. */
    private static final double DISPATCH_MARGIN_MS = 150;

    private static final double MIN_LEASE_MS = 50;

    private final boolean asked;
    private final double leaseMs;
    /** Whether discovery holds a request of this sidecar. */
    private boolean requestPending;
    /** Whether the current call cannot be read at the moment. */
    private boolean unreadable;
    /** The time since which no readable call is pending, or NaN while one is. */
    private double uncoveredSinceMs = Double.NaN;
    /** Whether this machine is one reason why no readable call is pending. */
    private boolean localFault;
    /** The time since which an update may have been missed that only the next answer can bring; or NaN. */
    private double possiblyMissedSinceMs = Double.NaN;

    private ListLease(boolean asked, double leaseMs) {
        this.asked = asked;
        this.leaseMs = leaseMs;
    }

    /** Returns a lease that never expires. */
    public static ListLease unlimited() {
        return new ListLease(true, Double.POSITIVE_INFINITY);
    }

    /**
     * Returns the standard lease.
     *
     * @param asked whether calls queue at one discovery service shared by all sidecars
     * @param graceMs how long requests may still be sent to a node that has been instructed to drain
     */
    public static ListLease standard(boolean asked, double graceMs) {
        double allowedMs = asked ? Timing.FAILURE_REPORT_LIMIT_MS : graceMs;
        return new ListLease(asked, Math.max(MIN_LEASE_MS, allowedMs - DISPATCH_MARGIN_MS));
    }

    /**
     * Starts the lease with the list that the process was started with, at this time. Where lists are pushed, this has no
     * effect, because no request is served before the agent has been asked.
     */
    public void startAt(double startedMs) {
        uncoveredSinceMs = asked ? startedMs : Double.NaN;
    }

    /**
     * Records that a request reached discovery at this time, or counts as pending since then because discovery was unreachable.
     */
    void requestSent(double nowMs) {
        requestPending = true;
        if (Double.isNaN(uncoveredSinceMs)) {
            return;
        }
        boolean mayHaveMissed = asked ? nowMs - uncoveredSinceMs > leaseMs : localFault;
        if (mayHaveMissed && Double.isNaN(possiblyMissedSinceMs)) {
            possiblyMissedSinceMs = uncoveredSinceMs;
        }
        localFault = false;
        uncoveredSinceMs = unreadable ? nowMs : Double.NaN;
    }

    /** Records that the current call cannot be read; what arrives on it is buffered in the socket. */
    void readFailed(double nowMs) {
        unreadable = true;
        startUncovered(nowMs);
    }

    /** Records that everything buffered on the current call has been read, and that it continues. */
    void readRecovered() {
        unreadable = false;
        if (requestPending) {
            uncoveredSinceMs = Double.NaN;
            localFault = false;
        }
    }

    /**
     * Records the end of the call.
     *
     * @param local whether this machine is known to be the reason; it is one in any case where no request was pending or the call
     *     could not be read
     */
    void callEnded(double nowMs, boolean local) {
        startUncovered(nowMs);
        localFault |= local || unreadable || !requestPending;
        requestPending = false;
        unreadable = false;
    }

    /** Records data on a watch, which includes everything before it. */
    void dataReceived() {
        possiblyMissedSinceMs = Double.NaN;
        requestPending = true;
        if (!unreadable) {
            readRecovered();
        }
    }

    /**
     * Records that discovery has answered with the list as it was at some time since the call; a watch is yet to follow.
     *
     * @param askedMs when the list was requested
     * @param readFailed whether the call could not be read for a while meanwhile
     */
    void listReceived(double askedMs, boolean readFailed) {
        possiblyMissedSinceMs = Double.NaN;
        uncoveredSinceMs = askedMs;
        localFault = readFailed;
        requestPending = false;
        unreadable = false;
    }

    private void startUncovered(double nowMs) {
        if (Double.isNaN(uncoveredSinceMs)) {
            uncoveredSinceMs = nowMs;
        }
    }

    /** Returns whether requests may no longer be sent by the list. */
    public boolean hasExpired(double nowMs) {
        boolean incomplete = asked || localFault || unreadable;
        return nowMs - possiblyMissedSinceMs > leaseMs || incomplete && nowMs - uncoveredSinceMs > leaseMs;
    }
}
