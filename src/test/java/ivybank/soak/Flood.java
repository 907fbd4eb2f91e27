package ivybank.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A client that sends on one connection as fast as it can, and drops what comes back. */
final class Flood implements AutoCloseable {

    /** What it sends. */
    enum Kind {
        SMALL_REQUESTS,
        /** Each for another path, which no class has. */
        NEW_PATHS,
        /** Without a call id. */
        UNSOUND
    }

    private static final int REQUESTS_IN_A_WRITE = 100;
    /** It has so many requests without an answer at most, fewer than end its connection. */
    private static final int MOST_UNANSWERED = 1000;

    private static final int WAIT_MS = 50;
    private static final String ANSWER = "HTTP/1.1 ";

    private final int port;
    private final Kind kind;
    private final AtomicLong sent = new AtomicLong();
    private final Thread writer = new Thread(this::send, "flood");
    private volatile boolean over;
    private long number;

    Flood(int port, Kind kind) {
        this.port = port;
        this.kind = kind;
        writer.setDaemon(true);
        writer.start();
    }

    /** Returns how many bytes were written so far. */
    long sent() {
        return sent.get();
    }

    private void send() {
        while (!over) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                Semaphore permits = new Semaphore(MOST_UNANSWERED);
                Thread reader = new Thread(() -> count(socket, permits), "flood reader");
                reader.setDaemon(true);
                reader.start();
                while (!over && !socket.isClosed()) {
                    if (!permits.tryAcquire(REQUESTS_IN_A_WRITE, WAIT_MS, TimeUnit.MILLISECONDS)) {
                        continue;
                    }
                    byte[] bytes = requests();
                    socket.getOutputStream().write(bytes);
                    sent.addAndGet(bytes.length);
                }
            } catch (InterruptedException e) {
                return;
            } catch (IOException e) {
                // the sidecar has ended the connection: a new one follows
            }
        }
    }

    private byte[] requests() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < REQUESTS_IN_A_WRITE; i++) {
            number++;
            text.append("GET ")
                    .append(kind == Kind.NEW_PATHS ? "/new-" + number : "/read?obj=1")
                    .append(" HTTP/1.1\r\nHost: x\r\n")
                    .append(kind == Kind.UNSOUND ? "" : "X-Call-Id: flood-" + number + "\r\n")
                    .append("X-Budget-Ms: 3000\r\n\r\n");
        }
        return text.toString().getBytes(StandardCharsets.US_ASCII);
    }

    /** Counts answers, each of which allows for one more request. */
    private static void count(Socket socket, Semaphore permits) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int matched = 0;
            for (int next = in.read(); next >= 0; next = in.read()) {
                matched = next == ANSWER.charAt(matched) ? matched + 1 : 0;
                if (matched == ANSWER.length()) {
                    permits.release();
                    matched = 0;
                }
            }
        } catch (IOException e) {
            // the connection has ended
        }
    }

    @Override
    public void close() {
        over = true;
        writer.interrupt();
    }
}
