package ivybank.client;

import ivybank.memory.MessageMemory;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The requests of one connection that wait for the current one to be answered. Its memory is bounded: requests beyond the
 * limit are not kept but counted, and refused in order. One more status answers malformed input behind them.
 */
final class RequestQueue {

    /** The maximum number of requests that are kept. */
    private static final int MAX_WAITING = 64;
    /** The maximum number of requests that are refused in order; input beyond is not parsed. */
    private static final int MAX_SURPLUS = 1024;

    private final MessageMemory memory;
    private final Deque<Arrival> waiting = new ArrayDeque<>(1);
    /**
     * The number of requests behind those that are to be refused, and the status that answers malformed input behind them,
     * or 0.
     */
    private int surplus;

    private int finalStatus;

    /** @param memory decides whether requests may wait */
    RequestQueue(MessageMemory memory) {
        this.memory = memory;
    }

    /**
     * Adds a request unless the limits are reached, and returns whether it was added.
     *
     * @param behindAnother whether a request is already in progress
     */
    boolean offer(Arrival arrival, boolean behindAnother) {
        boolean mustWait = behindAnother || !waiting.isEmpty();
        if (mustWait && (waiting.size() >= MAX_WAITING || !memory.mayQueue())) {
            return false;
        }
        waiting.addLast(arrival);
        return true;
    }

    /** Adds a request that is only to be refused, and returns whether input behind it is still to be parsed. */
    boolean addSurplus() {
        if (surplus < MAX_SURPLUS) {
            surplus++;
            return true;
        }
        finalStatus = HttpStatus.SERVICE_UNAVAILABLE;
        return false;
    }

    /** Refuses the request whose last byte has not been received yet, when its turn comes; it can only be the last one. */
    void refuseIncomplete() {
        Arrival last = waiting.peekLast();
        if (last != null && last.request() != null && last.request().isIncomplete()) {
            waiting.pollLast();
            waiting.addLast(Arrival.SURPLUS);
            last.release();
        }
    }

    /** Sets the status that answers malformed input behind all other requests. */
    void endWithStatus(int status) {
        finalStatus = status;
    }

    /** Returns whether the queue holds requests that are only to be refused; those behind them are refused as well. */
    boolean hasSurplus() {
        return surplus > 0;
    }

    boolean isEmpty() {
        return waiting.isEmpty() && surplus == 0 && finalStatus == 0;
    }

    /** Returns what is to be answered next, or null. */
    Arrival poll() {
        if (!waiting.isEmpty()) {
            return waiting.pollFirst();
        }
        if (surplus > 0) {
            surplus--;
            return Arrival.SURPLUS;
        }
        int status = finalStatus;
        finalStatus = 0;
        if (status == 0) {
            return null;
        }
        return status == HttpStatus.SERVICE_UNAVAILABLE ? Arrival.LAST_SURPLUS : new Arrival(null, status, false);
    }

    /** Drops the queued requests, which can't be answered any more. */
    void abandon() {
        waiting.forEach(Arrival::release);
        waiting.clear();
        surplus = 0;
        finalStatus = 0;
    }
}
