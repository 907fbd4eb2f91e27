package ivybank.daemon;

import ivybank.common.EventLoopStallDetector;
import ivybank.exchange.ClientRequest;

/** When a request has to be answered, and what is kept of its time for the way of the answer; in milliseconds. */
final class RequestDeadline {

    /** Kept for the way of the answer: so much, or so much of a short time. */
    private static final double RESERVE_MS = 20;

    private static final double RESERVE_PART = 0.1;
    /** When the backstop acts, of the reserve, before the deadline: later than any attempt's time-out. */
    private static final double BACKSTOP_PART = 0.5;
    /** Left to a request that may have stood in its socket for longer than it had: so much, or so much of a short time. */
    private static final double LEAST_LEFT_MS = 500;

    private static final double LEAST_LEFT_PART = 0.5;
    /** How late the answer to one that may have stood there may be: it only may have come that early. */
    private static final double LATE_MS = 300;

    private RequestDeadline() {}

    /**
     * The time by which a request has to be answered. One that stood in a socket while the event loop stalled, or while nothing
     * could be read there, has been out for longer than since it was read. Not all of that is taken off, and a little is left in any case: the request may also
     * have come just now, and could be served.
     */
    static double atMs(ClientRequest request, double nowMs, EventLoopStallDetector stalls) {
        double leastMs = nowMs + Math.min(LEAST_LEFT_MS, LEAST_LEFT_PART * request.budgetMs());
        double byReadingMs = request.arrivedMs() + request.budgetMs();
        double earliestMs = Math.min(request.earliestArrivalMs(), stalls.earliestArrivalMs(nowMs));
        double byArrivalMs = earliestMs + LATE_MS + request.budgetMs();
        return Math.min(byReadingMs, Math.max(leastMs, byArrivalMs));
    }

    /** What is kept of the request's time for the way of the answer. */
    static double reserveMs(ClientRequest request) {
        return Math.min(RESERVE_MS, RESERVE_PART * request.budgetMs());
    }

    /** How long before the deadline the request is failed if nothing has answered it. */
    static double backstopMs(ClientRequest request) {
        return BACKSTOP_PART * reserveMs(request);
    }
}
