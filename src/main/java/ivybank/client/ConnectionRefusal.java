package ivybank.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/**
 * The refusal of an accepted connection that has no channel. It reads what the client has sent, writes a 503, closes the sending
 * side, and closes the socket a moment later: a close over unread input would reset the connection and take the answer along.
 */
final class ConnectionRefusal {

    private static final byte[] RESPONSE =
            "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII);
    private static final int READ_BYTES = 4096;
    private static final int MAX_READS = 16;
    /** How long a failing write is retried, and how long input is read and dropped behind the answer. */
    private static final double WRITE_TIMEOUT_MS = 2000;

    private static final double LINGER_MS = 100;
    private static final double NANOS_IN_MS = 1e6;

    private final SocketChannel socket;
    private final ByteBuffer response = ByteBuffer.wrap(RESPONSE);
    private final long startNanos = System.nanoTime();
    /** When the sending side was closed, or null. */
    private Long halfClosedNanos;

    ConnectionRefusal(SocketChannel socket) {
        this.socket = socket;
    }

    /** Does what is possible now, without blocking. Returns whether the connection is closed. */
    boolean advance() {
        boolean clientClosed = dropInput();
        if (halfClosedNanos == null) {
            write();
        }
        boolean lingered = halfClosedNanos != null && sinceMs(halfClosedNanos) >= LINGER_MS;
        if (clientClosed || lingered || sinceMs(startNanos) >= WRITE_TIMEOUT_MS) {
            close();
            return true;
        }
        return false;
    }

    /** Reads and drops input; returns whether the client has closed the connection. */
    private boolean dropInput() {
        try {
            socket.configureBlocking(false);
            ByteBuffer dropped = ByteBuffer.allocate(READ_BYTES);
            int count = 1;
            for (int reads = 0; reads < MAX_READS && count > 0; reads++) {
                dropped.clear();
                count = socket.read(dropped);
            }
            return count == -1;
        } catch (IOException e) {
            return false; // read again later
        }
    }

    private void write() {
        try {
            socket.write(response);
            if (!response.hasRemaining()) {
                halfClosedNanos = System.nanoTime();
                socket.shutdownOutput();
            }
        } catch (IOException e) {
            // written again later
        }
    }

    private static double sinceMs(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_IN_MS;
    }

    private void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // the connection has ended anyway
        }
    }
}
