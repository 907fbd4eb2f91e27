package ivybank.client;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tells since when the last byte of the request that is being received may have been in the sockets between its client and this
 * process. Nobody can see what stands in a socket that is not read, so this is the latest of two lower bounds: when the socket
 * was last found empty, and when so much had been read that the sockets could hold all that was missing. Times are in
 * milliseconds of the clock. Pure; used on one event loop.
 */
final class LastByteTime {

    /** The body's length where its end is not known before it is read. */
    static final long UNKNOWN_LENGTH = -1;

    /**
     * What the sockets between a client and this process hold at most: Linux's usual limit on a send buffer (tcp_wmem), and
     * twice the receive buffer that this process asks for, as socket(7) describes.
     */
    static final long MAX_BYTES_IN_SOCKETS = (4L << 20) + (512L << 10);

    /** How far apart the positions of a body are noted, in bytes. */
    private static final long NOTE_INTERVAL_BYTES = 256L << 10;

    /** When this many bytes of the body had been read. */
    private record Note(double timeMs, long bytes) {}

    private final Deque<Note> notes = new ArrayDeque<>();
    /** The last time at which nothing was left in the socket. */
    private double emptyMs;
    /** Whether the socket was found empty and is being read, so that what arrives is noticed at once. */
    private boolean watched;

    private long length = UNKNOWN_LENGTH;
    private long notedBytes;
    /** Whether more is known to be missing than the sockets hold. */
    private boolean outstanding;
    /** The last time at which more was missing than the sockets hold. */
    private double outstandingMs = Double.NEGATIVE_INFINITY;

    /** Begins with a connection that nobody has written to before this time. */
    LastByteTime(double nowMs) {
        emptyMs = nowMs;
    }

    /** Notifies that the connection has waited to be accepted, so that input may have been in its socket since this time. */
    void acceptedLate(double earliestMs) {
        emptyMs = earliestMs;
    }

    /**
     * Notifies that a long body has begun.
     *
     * @param bodyBytes its length, or {@link #UNKNOWN_LENGTH}
     */
    void bodyStarted(long bodyBytes) {
        length = bodyBytes;
        outstanding = bodyBytes > MAX_BYTES_IN_SOCKETS;
        notes.clear();
        notedBytes = 0;
        outstandingMs = Double.NEGATIVE_INFINITY;
    }

    /** Notifies that a request has ended: what follows is another one. */
    void bodyEnded() {
        bodyStarted(UNKNOWN_LENGTH);
    }

    /** Notifies how much of a long body has been read in all. */
    void received(double nowMs, long bodyBytes) {
        if (length != UNKNOWN_LENGTH) {
            outstandingMs = outstanding ? nowMs : outstandingMs;
            outstanding = length - bodyBytes > MAX_BYTES_IN_SOCKETS;
            return;
        }
        if (bodyBytes - notedBytes >= NOTE_INTERVAL_BYTES) {
            notedBytes = bodyBytes;
            notes.addLast(new Note(nowMs, bodyBytes));
        }
        while (!notes.isEmpty() && bodyBytes - notes.peekFirst().bytes() > MAX_BYTES_IN_SOCKETS) {
            outstandingMs = notes.pollFirst().timeMs();
        }
    }

    /**
     * Notifies of a look into the socket.
     *
     * @param empty whether it has left nothing, and the last byte was not among what it has read
     * @param reading whether the socket is read further
     */
    void looked(double nowMs, boolean empty, boolean reading) {
        if (empty) {
            emptyMs = nowMs;
        }
        watched = empty && reading;
    }

    /** Notifies that the socket is not read from now on, or can't be. */
    void unwatched(double nowMs) {
        if (watched) {
            emptyMs = nowMs;
            watched = false;
        }
    }

    /** Returns whether the socket is empty, as far as can be known, and the client is waited for. */
    boolean isWatched() {
        return watched;
    }

    /** Returns the earliest time at which the last byte may have been in the sockets. */
    double earliestMs(double nowMs) {
        return watched || outstanding ? nowMs : Math.max(emptyMs, outstandingMs);
    }
}
