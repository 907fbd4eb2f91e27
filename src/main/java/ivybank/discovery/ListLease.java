package ivybank.discovery;

/**
 * For how long the list may still be gone by where this machine itself may have missed what discovery had told. Between calls, and
 * while a call can't be read, nothing is heard. Where discovery alone is the reason no lease runs: a call that it leaves unanswered
 * covers the time for which it stands, for discovery learns nothing then, or counts as not reachable. Decides by the clock handed
 * in, in milliseconds.
 *
 * <p>Where lists are pushed, what the agent has counts as told at once. So a span in which this machine spoilt a call may hide a
 * change, however silent discovery is afterwards: only its next answer ends that. Where lists are asked for, a change counts as told
 * after {@link Timing#TOLD_AFTER_FAILED_CALL_MS} in which discovery could be reached, so that a shorter span hides none.
 */
public final class ListLease {

    /** Kept of the time that a drain is allowed, for the way from the decision to the first byte. */
    private static final double MARGIN_MS = 150;

    private static final double LEAST_MS = 50;

    private final boolean asked;
    private final double leaseMs;
    /** Whether a call stands with discovery, and whether it can't be read at the moment. */
    private boolean standing;

    private boolean unreadable;
    /** Since when nothing is heard, or NaN while a call stands that can be read. */
    private double unheardSinceMs = Double.NaN;
    /** Whether this machine is a reason for that. */
    private boolean spoiltHere;
    /** Since when something may have been told that was not heard, and will not be before the next answer; or NaN. */
    private double missedSinceMs = Double.NaN;

    private ListLease(boolean asked, double leaseMs) {
        this.asked = asked;
        this.leaseMs = leaseMs;
    }

    /** One that never lapses. */
    public static ListLease unlimited() {
        return new ListLease(true, Double.POSITIVE_INFINITY);
    }

    /**
     * The usual one.
     *
     * @param asked whether calls wait in turn at one service for all sidecars
     * @param graceMs for how long a node may be sent to that was told to drain
     */
    public static ListLease standard(boolean asked, double graceMs) {
        double allowedMs = asked ? Timing.TOLD_AFTER_FAILED_CALL_MS : graceMs;
        return new ListLease(asked, Math.max(LEAST_MS, allowedMs - MARGIN_MS));
    }

    /**
     * The list is one that the process was started with, at this time. Where lists are pushed nothing is served before the agent was
     * asked, so that this says nothing there.
     */
    public void startAt(double startedMs) {
        unheardSinceMs = asked ? startedMs : Double.NaN;
    }

    /** A call stands with discovery from now on; or it counts as having stood since then, for discovery could not be reached. */
    void asked(double nowMs) {
        standing = true;
        if (Double.isNaN(unheardSinceMs)) {
            return;
        }
        boolean missed = asked ? nowMs - unheardSinceMs > leaseMs : spoiltHere;
        if (missed && Double.isNaN(missedSinceMs)) {
            missedSinceMs = unheardSinceMs;
        }
        spoiltHere = false;
        unheardSinceMs = unreadable ? nowMs : Double.NaN;
    }

    /** The call at hand can't be read: what comes on it stands in the socket. */
    void unreadable(double nowMs) {
        unreadable = true;
        notHeard(nowMs);
    }

    /** All that had come on the call at hand has been read, and it goes on. */
    void readOut() {
        unreadable = false;
        if (standing) {
            unheardSinceMs = Double.NaN;
            spoiltHere = false;
        }
    }

    /**
     * The call has ended.
     *
     * @param here whether this machine is known to be the reason; it is in any case where the call never stood or could not be read
     */
    void ended(double nowMs, boolean here) {
        notHeard(nowMs);
        spoiltHere |= here || unreadable || !standing;
        standing = false;
        unreadable = false;
    }

    /** Discovery has told something on a watch, and with it all before that. */
    void heard() {
        missedSinceMs = Double.NaN;
        standing = true;
        if (!unreadable) {
            readOut();
        }
    }

    /**
     * Discovery has answered with the list as it was at some time since the call; a watch is yet to follow.
     *
     * @param askedMs when it was asked for
     * @param spoilt whether the call could not be read for a while meanwhile
     */
    void heardList(double askedMs, boolean spoilt) {
        missedSinceMs = Double.NaN;
        unheardSinceMs = askedMs;
        spoiltHere = spoilt;
        standing = false;
        unreadable = false;
    }

    private void notHeard(double nowMs) {
        if (Double.isNaN(unheardSinceMs)) {
            unheardSinceMs = nowMs;
        }
    }

    /** Whether nothing may be sent on by the list any more. */
    public boolean hasLapsed(double nowMs) {
        boolean missing = asked || spoiltHere || unreadable;
        return nowMs - missedSinceMs > leaseMs || missing && nowMs - unheardSinceMs > leaseMs;
    }
}
