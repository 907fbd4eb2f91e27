package ivybank.transport;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;

/**
 * Which errors of a read or write leave a connection as it is. Linux reports most of them once, and the next call tells how the
 * connection really is: one that has ended reads as ended then. Counts the failures in a row of one direction of a channel.
 */
final class TransientErrors {

    private static final String RESET = "Connection reset";
    private static final String PIPE = "Broken pipe";
    private static final double NANOS_IN_MS = 1e6;

    private final double longestMs;
    private long firstNanos;
    private boolean failing;

    /** @param longestMs for how long failures in a row are borne, in milliseconds */
    TransientErrors(double longestMs) {
        this.longestMs = longestMs;
    }

    /** A call has succeeded. */
    void succeeded() {
        failing = false;
    }

    /** Whether the call is to be tried again after this failure. */
    boolean bears(IOException failure, long nowNanos) {
        if (!failing) {
            failing = true;
            firstNanos = nowNanos;
        }
        return !endsConnection(failure) && (nowNanos - firstNanos) / NANOS_IN_MS <= longestMs;
    }

    private static boolean endsConnection(IOException failure) {
        String message = String.valueOf(failure.getMessage());
        return failure instanceof ClosedChannelException || message.contains(RESET) || message.contains(PIPE);
    }
}
