package ivybank.exchange;

import java.util.function.Consumer;

/** Handles the requests received from clients. All methods are called on one event loop. */
public interface RequestHandler {

    /** Returns whether requests can be served, that is, whether upstreams are known. */
    boolean ready();

    /** Returns the number of requests that are not answered yet. */
    int unanswered();

    /**
     * Returns whether a request with this client-assigned ID is in progress, or was lately when another one with the same ID was turned
     * away.
     */
    boolean isInFlight(String callId);

    /**
     * Returns whether a request with the same client-assigned ID may have run, here or in another process of the sidecar, and must not
     * run once more.
     */
    default boolean mayHaveRun(ClientRequest request) {
        return false;
    }

    /** Notifies that a request was turned away, and not handled, because its ID can't be used. */
    default void turnedAway(String callId) {}

    /**
     * Notifies that the client has read the answer to a request: it has sent another one on the same connection behind that answer.
     *
     * @param number the number that {@link #handle} has returned for it
     */
    default void answerRead(int number, String callId) {}

    /** Handles a request and returns its number. {@code client} receives its one final answer, possibly before this returns. */
    int handle(ClientRequest request, Consumer<Answer> client);

    /**
     * Notifies that the last byte of a long request has been received, from which on its time counts.
     *
     * @param earliestMs the earliest time at which it may have arrived, if it could not be read at once, in milliseconds
     */
    void bodyCompleted(int number, double earliestMs);

    /**
     * Cancels a request that needs no answer from this handler any more: its client has disconnected, or its connection
     * answers it.
     */
    void clientDisconnected(int number);
}
