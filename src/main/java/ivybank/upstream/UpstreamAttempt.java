package ivybank.upstream;

import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;

import ivybank.discovery.Node;
import ivybank.exchange.ClientRequest;
import ivybank.policy.Balancer.Outcome;

/** One attempt at one upstream. It ends exactly once, whatever else is still to come for it. */
public final class UpstreamAttempt {

    /** How an attempt ended; type and body are those of a 200 answer and null with any other outcome. */
    public record Ending(Outcome outcome, double[] report, String contentType, byte[] body) {

        private static final double[] NO_REPORT = {};

        public static Ending of(Outcome outcome) {
            return new Ending(outcome, NO_REPORT, null, null);
        }
    }

    public final Node node;
    final ClientRequest request;
    final double timeoutMs;
    private final Consumer<Ending> listener;
    private ScheduledFuture<?> timer;
    private UpstreamConnection connection;
    private boolean ended;
    private boolean wentOut;

    public UpstreamAttempt(Node node, ClientRequest request, double timeoutMs, Consumer<Ending> listener) {
        this.node = node;
        this.request = request;
        this.timeoutMs = timeoutMs;
        this.listener = listener;
    }

    public boolean ended() {
        return ended;
    }

    /** From now on it may reach its node. */
    public void goOut() {
        wentOut = true;
    }

    public boolean wentOut() {
        return wentOut;
    }

    void timer(ScheduledFuture<?> running) {
        timer = running;
    }

    /** The connection that it has been handed to; the request may have left on it. */
    void connection(UpstreamConnection carrier) {
        connection = carrier;
    }

    /** Stops waiting: called off, or out of time. */
    public void stop(Outcome ifSent) {
        if (ended) {
            return;
        }
        boolean neverSent = connection == null || !connection.written();
        UpstreamConnection carrier = connection;
        // Without its last byte it cannot have begun, so a time-out before that proves that it has not run.
        end(Ending.of(neverSent && ifSent == Outcome.TIMEOUT ? Outcome.CONNECT_FAILED : ifSent));
        if (carrier != null) {
            carrier.close();
        }
    }

    public void end(Ending ending) {
        if (ended) {
            return;
        }
        ended = true;
        connection = null;
        if (timer != null) {
            timer.cancel(false);
        }
        listener.accept(ending);
    }
}
