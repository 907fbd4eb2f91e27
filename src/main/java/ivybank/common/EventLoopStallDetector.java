package ivybank.common;

/**
 * Detects that the event loop has stalled of late: the process was stopped, the machine was moved or had no core to spare, or
 * a garbage collection took long. What arrived meanwhile still stands in the sockets and is read in no particular order: a
 * node's answer before the end of the client that it is for, a request before the message that its node drains. What is sent
 * on then has to wait until all sockets have been read ({@link NextSelect}). Decides by the clock handed in, in milliseconds;
 * {@link #check} is due each {@link #periodMs()}. Used on the event loop alone.
 */
public final class EventLoopStallDetector {

    /** One that never detects a stall. */
    public static final EventLoopStallDetector NEVER = new EventLoopStallDetector(0, Double.POSITIVE_INFINITY);

    /** A hold-up is noticed that is longer than so many periods. */
    private static final double NOTICED_PERIODS = 2;

    /** Of a drain's grace, in which what was told must have been seen: four such times may go by unnoticed. */
    private static final double PERIOD_PART = 0.1;

    private static final double LEAST_PERIOD_MS = 10;
    /**
     * Of the 100 ms after which nothing is sent on for a client that left. Its end may come right behind one look at the sockets
     * and be found late in the next, and both times may be just too short to be noticed: four periods.
     */
    private static final double LONGEST_PERIOD_MS = 20;
    /** Where requests' times are concerned, which have more room. */
    private static final double REQUESTS_PERIOD_MS = 100;
    /** For so long at most what is accepted counts as having stood in the backlog. */
    private static final double LONGEST_MS = 2000;

    private final double periodMs;
    private double lookedMs;
    private double sinceMs; // the last look before it was held up
    private boolean settling;
    private boolean accepted;
    private double latestMs;

    /**
     * One that notices what matters before something is sent on: that clients left and that nodes drain.
     *
     * @param graceMs for how long a node may be sent to that was told to drain
     */
    public static EventLoopStallDetector forSends(double graceMs, double nowMs) {
        return new EventLoopStallDetector(
                Math.max(LEAST_PERIOD_MS, Math.min(PERIOD_PART * graceMs, LONGEST_PERIOD_MS)), nowMs);
    }

    /**
     * One that notices what matters for the time that requests have: much longer hold-ups. On a slow machine the shorter ones
     * follow one another without a gap, and requests would count as having come long ago.
     */
    public static EventLoopStallDetector forRequestTimes(double nowMs) {
        return new EventLoopStallDetector(REQUESTS_PERIOD_MS, nowMs);
    }

    private EventLoopStallDetector(double periodMs, double nowMs) {
        this.periodMs = periodMs;
        this.lookedMs = nowMs;
    }

    public double periodMs() {
        return periodMs;
    }

    /**
     * The look that is due; whether from now on {@link #passCompleted} is due behind each pass, for it shows that the loop was held up.
     * Where that is so already, the pass that is about to end began before this and tells nothing.
     */
    public boolean check(double nowMs) {
        boolean shows = isLate(nowMs);
        boolean begins = shows && !settling;
        if (begins) {
            sinceMs = lookedMs;
        }
        if (shows) {
            accepted |= settling;
            settling = true;
            latestMs = nowMs + LONGEST_MS;
        }
        lookedMs = nowMs;
        return begins;
    }

    /** A connection has been accepted; it may have stood in the backlog, with all that its client had to say. */
    public void connectionAccepted() {
        accepted = true;
    }

    /** All sockets have been looked at once more; whether that has to be done again, for one is accepted in a pass. */
    public boolean passCompleted(double nowMs) {
        settling = accepted && nowMs < latestMs;
        accepted = false;
        return settling;
    }

    /** Whether something older may stand in the sockets than what is at hand. */
    public boolean isStalled(double nowMs) {
        return settling || isLate(nowMs);
    }

    /** The earliest at which what is found now may have come. */
    public double earliestArrivalMs(double nowMs) {
        return isLate(nowMs) ? lookedMs : settling ? sinceMs : nowMs;
    }

    private boolean isLate(double nowMs) {
        return nowMs - lookedMs > NOTICED_PERIODS * periodMs;
    }
}
