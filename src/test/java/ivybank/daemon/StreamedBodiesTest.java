package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.discovery.Timing;
import ivybank.memory.MessageMemory;
import ivybank.testing.FakeServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests long bodies that are streamed through a complete sidecar. */
@Timeout(30)
class StreamedBodiesTest {

    /** More than all socket buffers on the way hold together. */
    private static final int BODY_BYTES = 24 << 20;

    private static final byte[] LONG_BODY = new byte[BODY_BYTES];

    static {
        new Random(7).nextBytes(LONG_BODY);
    }

    @TempDir
    Path dir;

    private final List<AutoCloseable> toClose = new ArrayList<>();
    private Sidecar sidecar;
    private InetSocketAddress address;

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable each : toClose) {
            each.close();
        }
        sidecar.drain();
    }

    private void start(FakeServer... nodes) throws IOException {
        List<String> hosts = new ArrayList<>();
        for (FakeServer node : nodes) {
            toClose.add(node);
            hosts.add(
                    "{\"host\":\"s-" + hosts.size() + "\",\"dial\":\"127.0.0.1:"
                            + node.address().getPort()
                            + "\",\"site\":\"a\",\"class\":\"k\",\"block\":1,\"health\":\"Ready\",\"share\":1.0,\"born_ms\":0}");
        }
        Path config = Files.writeString(
                dir.resolve("config.json"), """
                {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"1","limits":{"sockets":256},
                 "known":{"seq":3,"whole":true,"hosts":[%s]},
                 "settings":{"instances":1,"tickMs":5,"tenants":[],
                  "lanes":[{"name":"read","aimMs":1500,"hardLimitMs":6000,"idempotency":"retryable","worth":1},
                           {"name":"submit","aimMs":1500,"hardLimitMs":6000,"idempotency":"fragile","worth":5}],
                  "limits":{"maxAttempts":6,"cancel":true,"secondCopies":true,"retryAfter":true,
                            "maxRetryAfterMs":1500,"connectTimeoutMs":250,"connIdleMs":60000},
                  "report":{"via":"inline","fields":[]},"failureDomains":["a"],"kinds":["k"]}}
                """.formatted(FakeServer.nobody().getPort(), String.join(",", hosts)));
        Map<String, String> environment = Map.of("EDGE_CONFIG", config.toString());
        Clock clock = Clock.system();
        sidecar = new Sidecar(
                Config.load(environment),
                new ConfigFile(environment),
                new Log(new PrintStream(OutputStream.nullOutputStream()), clock),
                clock,
                new DrainTimes(0, 0, 2000),
                Timing.standard(false, 500),
                null,
                null,
                ProcessMemory.withBudgets(MessageMemory.unlimited()));
        address = sidecar.start();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(10_000);
        toClose.add(socket);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String read(String more) {
        return "GET /read HTTP/1.1\r\nX-Call-Id: r\r\nX-Budget-Ms: 5000\r\n" + more + "\r\n";
    }

    private static String submit(int budgetMs, String framing) {
        return "POST /submit HTTP/1.1\r\nX-Call-Id: s\r\nX-Budget-Ms: " + budgetMs + "\r\n" + framing + "\r\n";
    }

    private static String head(Socket socket) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                return null;
            }
            text.append((char) next);
        }
        return text.toString();
    }

    /** Reads the body of a chunked message; returns null where it is cut off. */
    private static byte[] readChunked(Socket socket) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        InputStream in = socket.getInputStream();
        while (true) {
            StringBuilder size = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    return null;
                }
                size.append((char) next);
            }
            int length = Integer.parseInt(size.toString().trim(), 16);
            body.write(in.readNBytes(length));
            in.skipNBytes(2);
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    private static byte[] readFixed(Socket socket) throws IOException {
        return socket.getInputStream().readNBytes(BODY_BYTES);
    }

    @Test
    void aLongAnswerIsReadNoFasterThanItsClientReads() throws Exception {
        AtomicInteger sent = new AtomicInteger();
        start(new FakeServer(connection -> {
            connection.read();
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
            for (int at = 0; at < BODY_BYTES; at += 8192) {
                connection.socket.getOutputStream().write(LONG_BODY, at, 8192);
                sent.addAndGet(8192);
            }
        }));
        Socket client = connect();
        write(client, read(""));
        assertTrue(head(client).contains("content-length: " + BODY_BYTES));
        int before = -1;
        while (before != sent.get()) { // until the transfer has stopped
            before = sent.get();
            Thread.sleep(300);
        }
        assertTrue(before < BODY_BYTES, "the whole answer was read into memory");
        assertArrayEquals(LONG_BODY, readFixed(client));
        write(client, "GET /health/ready HTTP/1.1\r\n\r\n");
        assertTrue(head(client).contains(" 200 "), "the connection is not usable any more");
    }

    @Test
    void aLongAnswerIsCompleteInEachFramingAndATruncationIsDetectable() throws Exception {
        BlockingQueue<String> framings = new LinkedBlockingQueue<>();
        start(new FakeServer(connection -> {
            while (connection.read() != null) {
                String framing = framings.take();
                connection.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                        + (framing.startsWith("chunked")
                                ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(BODY_BYTES) + "\r\n"
                                : framing.startsWith("close")
                                        ? "Connection: close\r\n\r\n"
                                        : "Content-Length: " + (BODY_BYTES + 1) + "\r\n\r\n"));
                connection.socket.getOutputStream().write(LONG_BODY);
                if (framing.equals("chunked")) {
                    connection.write("\r\n0\r\nX-Trailer: 1\r\n\r\n");
                } else if (framing.endsWith("reset")) {
                    connection.reset();
                } else {
                    connection.socket.close();
                }
            }
        }));
        for (String framing : List.of("chunked", "close")) {
            framings.add(framing);
            Socket client = connect();
            write(client, read(""));
            assertTrue(head(client).contains("transfer-encoding: chunked"), framing);
            assertArrayEquals(LONG_BODY, readChunked(client), framing);
        }
        for (String framing : List.of("chunked, cut", "close, reset")) {
            framings.add(framing);
            Socket client = connect();
            write(client, read(""));
            assertTrue(head(client).contains("transfer-encoding: chunked"), framing);
            assertNull(orNull(() -> readChunked(client)), framing);
        }
        framings.add("length, cut");
        Socket client = connect();
        write(client, read(""));
        assertTrue(head(client).contains("content-length: " + (BODY_BYTES + 1)));
        byte[] received = orNull(() -> client.getInputStream().readNBytes(BODY_BYTES + 1));
        assertTrue(received == null || received.length <= BODY_BYTES);
    }

    private interface Reading {
        byte[] get() throws IOException;
    }

    private static byte[] orNull(Reading reading) {
        try {
            return reading.get();
        } catch (IOException e) {
            return null;
        }
    }

    @Test
    void aLongRequestIsStreamedAndItsTimeCountsFromItsLastByte() throws Exception {
        BlockingQueue<byte[]> bodies = new LinkedBlockingQueue<>();
        start(new FakeServer(connection -> {
            while (true) {
                String head = head(connection.socket);
                if (head == null) {
                    return;
                }
                bodies.add(head.contains("chunked") ? readChunked(connection.socket) : readFixed(connection.socket));
                connection.write(FakeServer.OK);
            }
        }));
        Socket client = connect();
        write(client, submit(400, "Content-Length: " + BODY_BYTES + "\r\n"));
        OutputStream out = client.getOutputStream();
        out.write(LONG_BODY, 0, BODY_BYTES / 2);
        Thread.sleep(800); // twice the time budget of the request
        out.write(LONG_BODY, BODY_BYTES / 2, BODY_BYTES - BODY_BYTES / 2);
        assertTrue(head(client).contains(" 200 "));
        assertArrayEquals(LONG_BODY, bodies.poll());
        client.getInputStream().skipNBytes(4);
        write(client, submit(2000, "Transfer-Encoding: chunked\r\n") + Integer.toHexString(BODY_BYTES) + "\r\n");
        out.write(LONG_BODY);
        write(client, "\r\n0\r\n\r\n");
        assertTrue(head(client).contains(" 200 "), "the next request on the same connection fails");
        assertArrayEquals(LONG_BODY, bodies.poll());
    }

    @Test
    void aLongRequestThatANodeResetsIsRefusedAndNotSentAgain() throws Exception {
        AtomicInteger startedAttempts = new AtomicInteger();
        FakeServer.Script resettingNode = connection -> {
            startedAttempts.incrementAndGet();
            head(connection.socket);
            connection.socket.getInputStream().readNBytes(200_000);
            connection.reset();
        };
        start(new FakeServer(resettingNode), new FakeServer(resettingNode));
        Socket client = connect();
        write(client, submit(5000, "Content-Length: " + BODY_BYTES + "\r\n"));
        client.getOutputStream().write(LONG_BODY); // the complete body can be written
        String answer = head(client);
        assertTrue(answer.contains(" 503 ") && answer.contains("retry-after"), answer);
        assertEquals(1, startedAttempts.get());
        assertEquals(-1, client.getInputStream().read());
    }

    @Test
    void aLongRequestThatItsClientAbortsIsNotCompletedAtTheNode() throws Exception {
        BlockingQueue<Integer> read = new LinkedBlockingQueue<>();
        start(new FakeServer(connection -> {
            head(connection.socket);
            read.add(connection.socket.getInputStream().readNBytes(BODY_BYTES).length);
        }));
        Socket client = connect();
        write(client, submit(5000, "Content-Length: " + BODY_BYTES + "\r\n"));
        client.getOutputStream().write(LONG_BODY, 0, BODY_BYTES - 1);
        client.close();
        Integer bytes = read.poll(5, TimeUnit.SECONDS);
        assertNotNull(bytes, "the node still waits");
        assertTrue(bytes < BODY_BYTES);
    }

    @Test
    void aSlowLongRequestTimesOutAndAMalformedOneIsRefused() throws Exception {
        start(new FakeServer(connection -> {
            head(connection.socket);
            assertFalse(connection.socket.getInputStream().readAllBytes().length == BODY_BYTES);
        }));
        Socket slow = connect();
        write(slow, submit(5000, "Content-Length: " + BODY_BYTES + "\r\n"));
        slow.getOutputStream().write(LONG_BODY, 0, 100_000);
        Socket bad = connect();
        write(bad, submit(5000, "Transfer-Encoding: chunked\r\n").replace("Id: s", "Id: t") + "20000\r\n");
        bad.getOutputStream().write(LONG_BODY, 0, 0x20000);
        write(bad, "\r\nno chunk\r\n");
        assertTrue(head(bad).contains(" 400 "));
        assertTrue(head(slow).contains(" 408 "));
    }

    @Test
    void expectContinueIsAnsweredAndAnAbsoluteTargetIsAccepted() throws Exception {
        FakeServer node = FakeServer.answering(FakeServer.OK);
        start(node);
        Socket client = connect();
        write(client, submit(5000, "Expect: 100-continue\r\nContent-Length: 5\r\n"));
        assertTrue(head(client).contains(" 100 "));
        write(client, "hello");
        assertTrue(head(client).contains(" 200 "));
        assertTrue(node.nextRequest().endsWith("hello"));
        client.getInputStream().skipNBytes(4);
        write(client, read("").replace("GET /read", "GET http://api.internal/read?obj=1"));
        assertTrue(head(client).contains(" 200 "));
        assertTrue(node.nextRequest().startsWith("GET /read?obj=1 HTTP/1.1"));
    }

    /**
     * An answer without a length begins before its request has ended, and its connection is reset while the sidecar
     * still writes. The write finds the reset, not the read, and it must not count as the end of the answer.
     */
    @Test
    void anAnswerThatIsResetWhileItsRequestIsWrittenIsIncomplete() throws Exception {
        start(new FakeServer(connection -> {
            connection.socket.getInputStream().readNBytes(1000);
            connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of it");
            Thread.sleep(400); // until the socket buffers are full and a write is pending
            connection.reset();
        }));
        Socket client = connect();
        Thread writer = new Thread(() -> {
            try {
                write(client, submit(5000, "Content-Length: " + BODY_BYTES + "\r\n"));
                client.getOutputStream().write(LONG_BODY);
            } catch (IOException e) {
                // The request is answered before its end.
            }
        });
        writer.start();
        String answer = head(client);
        assertFalse(answer.startsWith("HTTP/1.1 200"), answer);
        client.close();
        writer.join();
    }
}
