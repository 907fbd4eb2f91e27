package ivybank.daemon;

import ivybank.common.EventLoopStallDetector;
import ivybank.exchange.ClientRequest;

/**
 * Computes when a request has to be answered, and how much of its time is reserved for returning the answer; in
 * milliseconds.
 */
final class RequestDeadline {

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
    /** The time by which the answer to a buffered request may be late: it may also have arrived later than assumed. */
    private static final double MAX_LATE_MS = 300;

    private RequestDeadline() {}

    /**
     * Returns the time by which a request has to be answered. A request that was buffered in a socket during an event
     * loop stall, or while the socket could not be read, arrived before it was read. Not all of that time is
     * subtracted, and a minimum is always left: the request may also have arrived just now, and could still be served.
     */
    static double atMs(ClientRequest request, double nowMs, EventLoopStallDetector stalls) {
        return atMs(request.budgetMs(), request.arrivedMs(), request.earliestArrivalMs(), nowMs, stalls);
    }

    /**
     * Returns the time by which a long request has to be answered whose last byte has just been read.
     *
     * @param earliestMs the earliest time at which that byte may have arrived
     */
    static double atMs(ClientRequest request, double earliestMs, double nowMs, EventLoopStallDetector stalls) {
        return atMs(request.budgetMs(), nowMs, earliestMs, nowMs, stalls);
    }

    private static double atMs(
            double budgetMs, double readMs, double earliestMs, double nowMs, EventLoopStallDetector stalls) {
        double minDeadlineMs = nowMs + Math.min(MIN_LEFT_MS, MIN_LEFT_FRACTION * budgetMs);
        double byReadTimeMs = readMs + budgetMs;
        double byArrivalTimeMs = Math.min(earliestMs, stalls.earliestArrivalMs(nowMs)) + MAX_LATE_MS + budgetMs;
        return Math.min(byReadTimeMs, Math.max(minDeadlineMs, byArrivalTimeMs));
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
