package ivybank.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that each ask on a connection for as long as it stays open, and note each request that gets no answer in time. A request that
 * crosses the end of a connection that was kept is sent once more on a new one, as the protocol has it.
 */
final class AskingClients implements AutoCloseable {

    private static final int BUDGET_MS = 3000;
    /** So much later an answer only earns nothing. */
    private static final int LATE_MS = 500;

    private static final long BETWEEN_MS = 20;

    /** What became of a request on one connection. */
    private enum Outcome {
        ANSWERED,
        /** The connection ended with nothing said. */
        CROSSED,
        LOST
    }

    private final int port;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final List<String> lost = new CopyOnWriteArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean over;

    AskingClients(int port, int count) {
        this.port = port;
        for (int i = 0; i < count; i++) {
            int client = i;
            Thread thread = new Thread(() -> ask(client));
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    int answered() {
        return answered.get();
    }

    /** Requests that were served, and not refused or failed. */
    int served() {
        return served.get();
    }

    /** Requests that got no answer in time, with how. */
    List<String> lost() {
        return lost;
    }

    private void ask(int client) {
        Socket connection = null;
        int asked = 0;
        for (int number = 0; !over; number++) {
            String id = client + "-" + number;
            try {
                boolean kept = connection != null;
                connection = kept ? connection : connect();
                Outcome outcome = request(connection, id);
                if (outcome == Outcome.CROSSED && kept) {
                    connection = connect();
                    outcome = request(connection, id + "-again");
                }
                count(id, outcome, asked++);
                if (outcome != Outcome.ANSWERED || connection.isClosed()) {
                    connection.close();
                    connection = null;
                }
                Thread.sleep(BETWEEN_MS);
            } catch (IOException e) {
                lost.add(id + ": " + e);
                connection = null;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void count(String id, Outcome outcome, int asked) {
        if (outcome == Outcome.ANSWERED) {
            answered.incrementAndGet();
        } else if (!over) {
            lost.add(id + " (" + asked + " before it): " + outcome);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BUDGET_MS);
        socket.setSoTimeout(BUDGET_MS + LATE_MS);
        return socket;
    }

    private Outcome request(Socket connection, String id) {
        StringBuilder head = new StringBuilder();
        try {
            connection.getOutputStream().write(FaultySidecar.request(id));
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = connection.getInputStream().read();
                if (next < 0) {
                    return head.length() == 0 ? Outcome.CROSSED : Outcome.LOST;
                }
                head.append((char) next);
            }
            String fields = head.toString().toLowerCase(Locale.ROOT);
            int at = fields.indexOf("content-length: ") + "content-length: ".length();
            int length = Integer.parseInt(fields.substring(at, fields.indexOf('\r', at)));
            if (connection.getInputStream().readNBytes(length).length < length) {
                return Outcome.LOST;
            }
            if (fields.contains("connection: close")) {
                connection.close();
            }
            served.addAndGet(fields.startsWith("http/1.1 200") ? 1 : 0);
            return Outcome.ANSWERED;
        } catch (SocketTimeoutException e) {
            return Outcome.LOST;
        } catch (IOException e) {
            return head.length() == 0 ? Outcome.CROSSED : Outcome.LOST;
        }
    }

    @Override
    public void close() {
        over = true;
        try {
            for (Thread thread : threads) {
                thread.join(BUDGET_MS + LATE_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
