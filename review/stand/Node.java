import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An intake node: answers as its case says, one request at a time on a connection. */
final class Node implements AutoCloseable {

    /** What a node does with a request whose last byte has come. */
    interface Work {
        /** Returns the body of the answer 200, or null for a request that is never answered. */
        String serve(Http.Message request) throws Exception;
    }

    final String name;
    final int port;
    private final ServerSocket listener;
    private final Work work;
    /** While true, the node takes connections and what its system holds, and does nothing else. */
    volatile boolean hangs;

    Node(String name, Work work) throws IOException {
        this.name = name;
        this.work = work;
        listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        port = listener.getLocalPort();
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                start(() -> serve(socket));
            } catch (IOException e) {
                return; // the case is over
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                awaitNoHang();
                Http.Message request = Http.read(in);
                if (request == null) {
                    return;
                }
                awaitNoHang();
                String body = work.serve(request);
                if (body == null) {
                    in.read(); // until the sidecar gives up
                    return;
                }
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + bytes.length + "\r\n\r\n";
                socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
                socket.getOutputStream().flush();
            }
        } catch (Exception e) {
            // the sidecar has ended the connection
        }
    }

    private void awaitNoHang() throws InterruptedException {
        while (hangs) {
            Thread.sleep(5);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
