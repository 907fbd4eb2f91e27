package ivybank.client;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Accepted connections whose channels could not be created yet. Their clients may have sent requests: creating the channel is
 * tried again, and where that takes too long or too many wait, a connection is answered with a refusal. Used on one event loop.
 */
final class UnreadyConnections {

    private static final int MAX_WAITING = 64;
    private static final long RETRY_DELAY_MS = 5;
    /** Short enough that a client with a short deadline still gets its refusal in time. */
    private static final double WAIT_TIMEOUT_MS = 900;

    private final Supplier<EventLoop> loop;
    private final Consumer<AcceptedConnection> opener;
    private final Consumer<AcceptedConnection> refused;
    private final List<AcceptedConnection> waiting = new ArrayList<>();
    private final List<ConnectionRefusal> refusals = new ArrayList<>();
    private boolean scheduled;

    /**
     * @param opener creates the channel of a connection and passes it on; throws if that fails
     * @param refused is notified of each connection that is refused
     */
    UnreadyConnections(
            Supplier<EventLoop> loop, Consumer<AcceptedConnection> opener, Consumer<AcceptedConnection> refused) {
        this.loop = loop;
        this.opener = opener;
        this.refused = refused;
    }

    /** Adds a connection whose channel could not be created. */
    void add(AcceptedConnection connection) {
        if (waiting.size() >= MAX_WAITING) {
            refuse(connection);
        } else {
            waiting.add(connection);
        }
        schedule();
    }

    /** Returns how many descriptors the connections hold. */
    int size() {
        return waiting.size() + refusals.size();
    }

    private void schedule() {
        if (!scheduled && size() > 0) {
            scheduled = true;
            loop.get().schedule(this::retryAll, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void retryAll() {
        scheduled = false;
        for (AcceptedConnection connection : List.copyOf(waiting)) {
            retry(connection);
        }
        refusals.removeIf(ConnectionRefusal::advance);
        schedule();
    }

    private void retry(AcceptedConnection connection) {
        try {
            opener.accept(connection);
            waiting.remove(connection);
        } catch (RuntimeException | Error e) {
            if (connection.sinceAcceptMs() >= WAIT_TIMEOUT_MS) {
                waiting.remove(connection);
                refuse(connection);
            }
        }
    }

    private void refuse(AcceptedConnection connection) {
        refused.accept(connection);
        ConnectionRefusal refusal = new ConnectionRefusal(connection.socket());
        if (!refusal.advance()) {
            refusals.add(refusal);
        }
    }
}
