package ivybank.client;

import java.nio.channels.SocketChannel;

/**
 * A connection that was accepted, and for how long its client may have waited by now.
 *
 * @param socket the connection
 * @param acceptedNanos when it was accepted, by {@link System#nanoTime}
 * @param backlogMs for how long it may have stood in the backlog before that, in milliseconds
 */
record AcceptedConnection(SocketChannel socket, long acceptedNanos, double backlogMs) {

    /**
     * Of the time in the backlog so much counts at most: how much of it a client has really waited is not known, and one that
     * has just connected is left its time all the same.
     */
    private static final double MOST_COUNTED_BACKLOG_MS = 500;

    private static final double LONGEST_BACKLOG_MS = 2000;
    private static final double NANOS_IN_MS = 1e6;

    /** How long ago it was accepted, in milliseconds. */
    double acceptedAgoMs() {
        return (System.nanoTime() - acceptedNanos) / NANOS_IN_MS;
    }

    /** For how long its client counts as waiting, in milliseconds. */
    double waitedMs() {
        return acceptedAgoMs() + Math.min(backlogMs, MOST_COUNTED_BACKLOG_MS);
    }

    /** For how long its client may have waited at most, in milliseconds; where accepts failed for longer, some have just come. */
    double mostWaitedMs() {
        return acceptedAgoMs() + Math.min(backlogMs, LONGEST_BACKLOG_MS);
    }
}
