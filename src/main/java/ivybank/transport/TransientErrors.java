package ivybank.transport;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;

/**
 * Decides which read or write errors a connection survives. Linux reports most errors once, and the next call shows the real
 * state of the connection: one that has ended reads as ended then. Tracks consecutive failures of one direction of a
 * channel.
 */
final class TransientErrors {

    private static final String RESET = "Connection reset";
    private static final String PIPE = "Broken pipe";
    private static final double NANOS_IN_MS = 1e6;

    private final double maxDurationMs;
    private final boolean endsWithPeer;
    private long firstNanos;
    private boolean failing;

    private TransientErrors(double maxDurationMs, boolean endsWithPeer) {
        this.maxDurationMs = maxDurationMs;
        this.endsWithPeer = endsWithPeer;
    }

    /**
     * Returns errors that are retried unless they say that the peer has ended the connection.
     *
     * @param maxDurationMs for how long consecutive failures are retried, in milliseconds
     */
    static TransientErrors untilPeerEnds(double maxDurationMs) {
        return new TransientErrors(maxDurationMs, true);
    }

    /**
     * Returns errors that are retried until the channel is closed.
     *
     * @param maxDurationMs for how long consecutive failures are retried, in milliseconds
     */
    static TransientErrors untilClosed(double maxDurationMs) {
        return new TransientErrors(maxDurationMs, false);
    }

    /** Records a successful call, which ends a sequence of failures. */
    void succeeded() {
        failing = false;
    }

    /** Returns whether to retry the call after this failure. */
    boolean shouldRetry(IOException failure, long nowNanos) {
        if (!failing) {
            failing = true;
            firstNanos = nowNanos;
        }
        return !endsConnection(failure) && (nowNanos - firstNanos) / NANOS_IN_MS <= maxDurationMs;
    }

    /** Returns whether an error says that the peer has ended the connection. */
    static boolean isEndOfPeer(IOException failure) {
        String message = String.valueOf(failure.getMessage());
        return message.contains(RESET) || message.contains(PIPE);
    }

    private boolean endsConnection(IOException failure) {
        return failure instanceof ClosedChannelException || endsWithPeer && isEndOfPeer(failure);
    }
}
