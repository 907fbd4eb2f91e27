package ivybank.exchange;

import java.util.function.Consumer;

/** Takes requests from the client's side. All of it is called on one event loop. */
public interface RequestHandler {

    /** Whether requests can be served: upstreams are known. */
    boolean ready();

    /** Requests taken and not answered yet. */
    int unanswered();

    /** Whether a request of this id, as its client gave it, is in hand and not answered yet. */
    boolean isInFlight(String callId);

    /** Takes a request, which {@code client} is told the one final answer of, perhaps at once; returns its number. */
    int handle(ClientRequest request, Consumer<Answer> client);

    /** The last byte of a long request has come: its time counts from now on. */
    void bodyCompleted(int number);

    /** The client of a request no longer waits; nothing is owed to it. */
    void cancel(int number);
}
