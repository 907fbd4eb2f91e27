package ivybank.client;

import java.nio.channels.SocketChannel;

/**
 * An accepted connection and how long its client may have been waiting.
 *
 * @param socket the connection
 * @param acceptedNanos when it was accepted, by {@link System#nanoTime}
 * @param backlogMs the longest time it may have spent in the backlog before that, in milliseconds
 */
record AcceptedConnection(SocketChannel socket, long acceptedNanos, double backlogMs) {

    /**
     * The limit on the backlog time that counts as waiting. How long a client has really waited in the backlog is unknown,
     * and one that has only just connected must still get its full timeout.
     */
    private static final double MAX_COUNTED_BACKLOG_MS = 500;

    private static final double MAX_BACKLOG_MS = 2000;
    private static final double NANOS_IN_MS = 1e6;

    /** Returns the time since the connection was accepted, in milliseconds. */
    double sinceAcceptMs() {
        return (System.nanoTime() - acceptedNanos) / NANOS_IN_MS;
    }

    /** Returns how long the client counts as waiting, in milliseconds. */
    double waitedMs() {
        return sinceAcceptMs() + Math.min(backlogMs, MAX_COUNTED_BACKLOG_MS);
    }

    /**
     * Returns the longest time that the client may have waited, in milliseconds. The backlog time is limited because, where
     * accepts failed for longer than that, some clients have only just connected.
     */
    double maxWaitedMs() {
        return sinceAcceptMs() + Math.min(backlogMs, MAX_BACKLOG_MS);
    }
}
