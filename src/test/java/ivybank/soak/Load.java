package ivybank.soak;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients of one sidecar, each with one request at a time on a connection that it keeps for a while. */
final class Load implements AutoCloseable {

    private static final int REQUESTS_ON_A_CONNECTION = 20;

    private final FaultySidecar sidecar;
    private final long betweenMs;
    private final AtomicBoolean over = new AtomicBoolean();
    private static final String SERVED = "HTTP/1.1 200";

    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();

    /** @param betweenMs what each client waits between an answer and its next request, in milliseconds */
    Load(FaultySidecar sidecar, int clients, long betweenMs) {
        this.sidecar = sidecar;
        this.betweenMs = betweenMs;
        for (int i = 0; i < clients; i++) {
            int client = i;
            Thread thread = new Thread(() -> ask(client));
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** Requests that were served so far, and not refused or failed. */
    int served() {
        return served.get();
    }

    /** Requests that were answered so far. */
    int answered() {
        return answered.get();
    }

    private void ask(int client) {
        for (int i = 0; !over.get(); i++) {
            try (Socket socket = sidecar.connect()) {
                for (int again = 0; again < REQUESTS_ON_A_CONNECTION && !over.get(); again++) {
                    request(socket, client + "-" + i + "-" + again);
                    Thread.sleep(betweenMs);
                }
            } catch (IOException e) {
                // What becomes of clients is judged elsewhere.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void request(Socket socket, String id) throws IOException {
        socket.getOutputStream().write(FaultySidecar.request(id));
        byte[] bytes = new byte[1024];
        int count = socket.getInputStream().read(bytes);
        if (count > 0) {
            answered.incrementAndGet();
        }
        if (count >= SERVED.length() && new String(bytes, 0, count, StandardCharsets.US_ASCII).startsWith(SERVED)) {
            served.incrementAndGet();
        }
    }

    @Override
    public void close() {
        over.set(true);
    }
}
