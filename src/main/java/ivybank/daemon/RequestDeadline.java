package ivybank.daemon;

import ivybank.common.EventLoopStallDetector;
import ivybank.exchange.ClientRequest;

/**
 * When a request has to be answered, and how much of its time is reserved for returning the answer. Times are in
 * milliseconds of the clock.
 *
 * @param atMs the time by which the request has to be answered
 * @param lastByteMs the time by which a short answer that was begun has to come to its end; later, its client has waited
 *     for longer than an answer may be late
 */
record RequestDeadline(double atMs, double lastByteMs) {

    /** The deadline of a request whose last byte has not arrived yet. */
    static final RequestDeadline NONE_YET = new RequestDeadline(Double.MAX_VALUE, Double.MAX_VALUE);

    /** The time reserved for returning the answer; with a short budget, {@link #RESERVE_FRACTION} of the budget. */
    private static final double RESERVE_MS = 20;

    private static final double RESERVE_FRACTION = 0.1;
    /**
     * The fraction of the reserve before the deadline at which the backstop acts: later than the timeout of any
     * attempt.
     */
    private static final double BACKSTOP_FRACTION = 0.5;
    /**
     * The minimum time left to a request that may have been buffered in its socket for longer than its budget; with a
     * short budget, {@link #MIN_LEFT_FRACTION} of the budget.
     */
    private static final double MIN_LEFT_MS = 500;

    private static final double MIN_LEFT_FRACTION = 0.5;
    /**
     * The time by which an answer may be late: that to a request which was buffered, as it may also have arrived later
     * than assumed, and the end of one that was begun in time.
     */
    private static final double MAX_LATE_MS = 300;

    /**
     * Returns the deadline of a request. A request that was buffered in a socket during an event
     * loop stall, or while the socket could not be read, arrived before it was read. Not all of that time is
     * subtracted, and a minimum is always left: the request may also have arrived just now, and could still be served.
     */
    static RequestDeadline of(ClientRequest request, double nowMs, EventLoopStallDetector stalls) {
        return of(request.budgetMs(), request.arrivedMs(), request.earliestArrivalMs(), nowMs, stalls);
    }

    /**
     * Returns the deadline of a long request whose last byte has just been read.
     *
     * @param earliestMs the earliest time at which that byte may have arrived
     */
    static RequestDeadline of(ClientRequest request, double earliestMs, double nowMs, EventLoopStallDetector stalls) {
        return of(request.budgetMs(), nowMs, earliestMs, nowMs, stalls);
    }

    private static RequestDeadline of(
            double budgetMs, double readMs, double earliestMs, double nowMs, EventLoopStallDetector stalls) {
        double minDeadlineMs = nowMs + Math.min(MIN_LEFT_MS, MIN_LEFT_FRACTION * budgetMs);
        double byReadTimeMs = readMs + budgetMs;
        double byArrivalTimeMs = Math.min(earliestMs, stalls.earliestArrivalMs(nowMs)) + MAX_LATE_MS + budgetMs;
        double lastByteMs = Math.max(minDeadlineMs, byArrivalTimeMs);
        return new RequestDeadline(Math.min(byReadTimeMs, lastByteMs), lastByteMs);
    }

    /** Returns how much of the request's time is reserved for returning the answer. */
    static double reserveMs(ClientRequest request) {
        return Math.min(RESERVE_MS, RESERVE_FRACTION * request.budgetMs());
    }

    /** Returns how long before the deadline the request is failed if it has not been answered. */
    static double backstopMs(ClientRequest request) {
        return BACKSTOP_FRACTION * reserveMs(request);
    }
}
