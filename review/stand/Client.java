import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** One connection of the application to its sidecar. */
final class Client implements AutoCloseable {

    private static final AtomicLong CALLS = new AtomicLong();
    final Socket socket = new Socket();
    final InputStream in;

    Client(int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** A new call id, as the protocol page wants it for each request. */
    static String newCallId() {
        return String.format("%016x", 0x5000000000000000L + CALLS.incrementAndGet());
    }

    /** Returns a request without a body. */
    static byte[] get(String target, String fields, int budgetMs) {
        return request("GET", target, fields, budgetMs, null);
    }

    /** Returns a request with a body. */
    static byte[] post(String target, String fields, int budgetMs, String body) {
        return request("POST", target, fields, budgetMs, body);
    }

    private static byte[] request(String method, String target, String fields, int budgetMs, String body) {
        return (method + " " + target + " HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: " + newCallId()
                        + "\r\nX-Caller: acme\r\nX-Budget-Ms: " + budgetMs + "\r\n" + fields
                        + (body == null ? "\r\n" : "Content-Length: " + body.length() + "\r\n\r\n" + body))
                .getBytes(StandardCharsets.UTF_8);
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** Sends a request and waits for its answer; fails if the connection ends without one. */
    Http.Message call(byte[] request, int waitMs) throws IOException {
        send(request);
        return answer(waitMs);
    }

    Http.Message answer(int waitMs) throws IOException {
        socket.setSoTimeout(waitMs);
        Http.Message answer = Http.read(in);
        if (answer == null) {
            throw new IOException("the connection ended without an answer");
        }
        return answer;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
