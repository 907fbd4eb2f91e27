package ivybank.common;

/**
 * Detects that the event loop has recently stalled: the process was stopped, the machine was migrated or short of CPU
 * time, or a garbage collection took long. What arrived meanwhile is still in the sockets and is read in no particular
 * order: a node's answer before the disconnect of the client that waits for it, a request before the message that its
 * node drains. What is forwarded then has to wait until all sockets have been read ({@link NextSelect}). Time is passed
 * in, in milliseconds; {@link #check} is due every {@link #periodMs()}. Used on the event loop alone.
 */
public final class EventLoopStallDetector {

    /** A detector that never detects a stall. */
    public static final EventLoopStallDetector NEVER = new EventLoopStallDetector(0, Double.POSITIVE_INFINITY);

    /** A stall is detected if it is longer than this many periods. */
    private static final double STALL_PERIODS = 2;

    /**
     * The part of a drain's grace time that is the period. A drain notice must be seen within the grace time, and up to four
     * periods may pass undetected.
     */
    private static final double GRACE_FRACTION = 0.1;

    private static final double MIN_PERIOD_MS = 10;
    /**
     * The limit that follows from the 100 ms after which nothing may be sent for a client that has disconnected. The
     * disconnect may follow one pass over the sockets and be read late in the next, and both passes may be just too short to
     * be detected: four periods.
     */
    private static final double MAX_PERIOD_MS = 20;
    /** The period where the times of requests are concerned, which tolerate more. */
    private static final double REQUEST_TIMES_PERIOD_MS = 100;
    /** The limit on the time for which accepted connections count as having waited in the backlog. */
    private static final double MAX_BACKLOG_MS = 2000;

    private final double periodMs;
    private double lastCheckMs;
    private double stalledSinceMs; // the last check before the stall
    private boolean settling;
    private boolean accepted;
    private double settlingEndMs;

    /**
     * Returns a detector for what matters before something is sent: that clients have disconnected and that nodes
     * drain.
     *
     * @param graceMs for how long requests may still be sent to a node after it was instructed to drain
     */
    public static EventLoopStallDetector forSends(double graceMs, double nowMs) {
        return new EventLoopStallDetector(
                Math.max(MIN_PERIOD_MS, Math.min(GRACE_FRACTION * graceMs, MAX_PERIOD_MS)), nowMs);
    }

    /**
     * Returns a detector for what matters for the times of requests: much longer stalls. On a slow machine the shorter ones
     * follow one another without a gap, and each request would count as having arrived long ago.
     */
    public static EventLoopStallDetector forRequestTimes(double nowMs) {
        return new EventLoopStallDetector(REQUEST_TIMES_PERIOD_MS, nowMs);
    }

    private EventLoopStallDetector(double periodMs, double nowMs) {
        this.periodMs = periodMs;
        this.lastCheckMs = nowMs;
    }

    public double periodMs() {
        return periodMs;
    }

    /**
     * Performs the periodic check. Returns whether it has detected a stall that is not being followed yet, after which
     * {@link #passCompleted} must be called after each pass. A late check while a stall is being followed makes the pass
     * that is about to end count for nothing, because that pass began before the check.
     */
    public boolean check(double nowMs) {
        boolean late = isLate(nowMs);
        boolean newlyDetected = late && !settling;
        if (newlyDetected) {
            stalledSinceMs = lastCheckMs;
        }
        if (late) {
            accepted |= settling;
            settling = true;
            settlingEndMs = nowMs + MAX_BACKLOG_MS;
        }
        lastCheckMs = nowMs;
        return newlyDetected;
    }

    /** Notifies that a connection was accepted, which may have waited in the backlog together with what its client has sent. */
    public void connectionAccepted() {
        accepted = true;
    }

    /**
     * Notifies that all sockets have been read once more. Returns whether another pass is needed because a connection was
     * accepted in this one or is still to be opened.
     *
     * @param connectionsToOpen whether connections are being accepted, on another thread, and are not open yet
     */
    public boolean passCompleted(double nowMs, boolean connectionsToOpen) {
        settling = (accepted || connectionsToOpen) && nowMs < settlingEndMs;
        accepted = false;
        return settling;
    }

    /** Returns whether the sockets may hold input that is older than what is being processed. */
    public boolean isStalled(double nowMs) {
        return settling || isLate(nowMs);
    }

    /** Returns the earliest time at which input that is read now may have arrived. */
    public double earliestArrivalMs(double nowMs) {
        return isLate(nowMs) ? lastCheckMs : settling ? stalledSinceMs : nowMs;
    }

    private boolean isLate(double nowMs) {
        return nowMs - lastCheckMs > STALL_PERIODS * periodMs;
    }
}
