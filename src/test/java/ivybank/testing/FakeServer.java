package ivybank.testing;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A server on loopback whose every connection plays a script; it keeps what it was sent. */
public final class FakeServer implements AutoCloseable {

    /** What one connection does. */
    public interface Script {
        void play(Connection connection) throws IOException, InterruptedException;
    }

    /** One accepted connection. */
    public static final class Connection {
        public final Socket socket;
        private final InputStream in;
        private final OutputStream out;
        public final BlockingQueue<String> requests;

        public Connection(Socket socket, BlockingQueue<String> requests) throws IOException {
            this.socket = socket;
            this.in = socket.getInputStream();
            this.out = socket.getOutputStream();
            this.requests = requests;
        }

        /** Reads one request, head and body; null at the end of the connection. */
        public String read() throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            String text = "";
            while (!text.contains("\r\n\r\n")) {
                int next = in.read();
                if (next < 0) {
                    return null;
                }
                bytes.write(next);
                text = bytes.toString(StandardCharsets.ISO_8859_1);
            }
            int length = 0;
            for (String line : text.split("\r\n")) {
                if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                    length = Integer.parseInt(
                            line.substring(line.indexOf(':') + 1).trim());
                }
            }
            text += new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
            requests.add(text);
            return text;
        }

        public void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Breaks the connection so that the peer sees a reset. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    public static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    public static final String REJECTED = "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";

    public final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    public final List<Socket> accepted = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;

    public FakeServer(Script script) throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                accepted.add(socket);
                daemon(() -> script.play(new Connection(socket, requests)));
            }
        });
    }

    /** Answers each request in this way. */
    public static FakeServer answering(String answer) throws IOException {
        return new FakeServer(connection -> {
            while (connection.read() != null) {
                connection.write(answer);
            }
        });
    }

    /** An address on loopback where nobody listens. */
    public static InetSocketAddress nobody() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    public String nextRequest() throws InterruptedException {
        return requests.poll(5, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : accepted) {
            socket.close();
        }
    }

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private static void daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The other side has ended it, or the test is over.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** A server that answers nothing before it may, and all in this way then. */
    public static FakeServer holding(CountDownLatch go, String answer) throws IOException {
        return new FakeServer(connection -> {
            while (connection.read() != null) {
                go.await();
                connection.write(answer);
            }
        });
    }
}
