package ivybank.client;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The requests of one connection behind the one at hand. Bounds what they hold: what is more than may wait is not kept but counted,
 * and refused in its turn; what can't be read behind those is owed one status more.
 */
final class WaitingRequests {

    /** Requests behind the one at hand that are kept. */
    private static final int MOST_WAITING = 64;
    /** How many are refused in their turn; what comes beyond is not looked at any more. */
    private static final int MOST_SURPLUS = 1024;

    private final ClientServer server;
    private final Deque<Arrival> waiting = new ArrayDeque<>(1);
    /** What those waiting hold, in bytes. */
    private long waitingBytes;
    /** Behind those: how many are to be refused, and the status that what can't be read behind them is owed, or 0. */
    private int surplus;

    private int statusBehind;

    /** @param server bounds what waits on all connections */
    WaitingRequests(ClientServer server) {
        this.server = server;
    }

    /**
     * Adds a request, if it may wait; whether it may.
     *
     * @param behindAnother whether one is at hand already
     */
    boolean add(Arrival arrival, boolean behindAnother) {
        boolean behind = behindAnother || !waiting.isEmpty();
        if (behind && (waiting.size() >= MOST_WAITING || !server.hasRoomFor(arrival.bytes()))) {
            return false;
        }
        waiting.addLast(arrival);
        holds(arrival.bytes());
        return true;
    }

    /** Adds one that is only refused in its turn; false where nothing behind it is to be looked at any more. */
    boolean addSurplus() {
        if (surplus < MOST_SURPLUS) {
            surplus++;
            return true;
        }
        statusBehind = HttpStatus.UNAVAILABLE;
        return false;
    }

    /** What can't be read behind all others is owed this status. */
    void endWith(int status) {
        statusBehind = status;
    }

    /** Whether some are only refused in their turn: what comes behind them is, too. */
    boolean hasSurplus() {
        return surplus > 0;
    }

    boolean isEmpty() {
        return waiting.isEmpty() && surplus == 0 && statusBehind == 0;
    }

    /** What is to be answered next, or null. */
    Arrival poll() {
        if (!waiting.isEmpty()) {
            Arrival arrival = waiting.pollFirst();
            holds(-arrival.bytes());
            return arrival;
        }
        if (surplus > 0) {
            surplus--;
            return Arrival.SURPLUS;
        }
        int status = statusBehind;
        statusBehind = 0;
        if (status == 0) {
            return null;
        }
        return status == HttpStatus.UNAVAILABLE ? Arrival.LAST_SURPLUS : new Arrival(null, status, false);
    }

    /** The connection has ended: nobody takes up what waits. */
    void leave() {
        holds(-waitingBytes);
        waiting.stream()
                .filter(arrival ->
                        arrival.request() != null && arrival.request().remainingBody() != null)
                .forEach(arrival -> arrival.request().remainingBody().abandon());
    }

    private void holds(long bytes) {
        waitingBytes += bytes;
        server.holds(bytes);
    }
}
