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

/** Bodies that are passed on in pieces, through a whole sidecar. */
@Timeout(30)
class LongBodiesTest {

    /** More than the sockets on the way hold together. */
    private static final int LENGTH = 24 << 20;

    private static final byte[] LONG = new byte[LENGTH];

    static {
        new Random(7).nextBytes(LONG);
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
                null);
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

    /** The body that a chunked message has; null where it breaks off. */
    private static byte[] chunks(Socket socket) throws IOException {
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

    private static byte[] fixed(Socket socket) throws IOException {
        return socket.getInputStream().readNBytes(LENGTH);
    }

    @Test
    void aLongAnswerIsReadFromTheNodeNoFasterThanTheClientReadsIt() throws Exception {
        AtomicInteger sent = new AtomicInteger();
        start(new FakeServer(connection -> {
            connection.read();
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n");
            for (int at = 0; at < LENGTH; at += 8192) {
                connection.socket.getOutputStream().write(LONG, at, 8192);
                sent.addAndGet(8192);
            }
        }));
        Socket client = connect();
        write(client, read(""));
        assertTrue(head(client).contains("content-length: " + LENGTH));
        int before = -1;
        while (before != sent.get()) { // until it comes to a halt
            before = sent.get();
            Thread.sleep(300);
        }
        assertTrue(before < LENGTH, "all was read into memory");
        assertArrayEquals(LONG, fixed(client));
        write(client, "GET /health/ready HTTP/1.1\r\n\r\n");
        assertTrue(head(client).contains(" 200 "), "the connection goes on");
    }

    @Test
    void aLongAnswerComesWholeInEachOfItsFormsAndTheClientCanTellWhereItBreaks() throws Exception {
        BlockingQueue<String> forms = new LinkedBlockingQueue<>();
        start(new FakeServer(connection -> {
            while (connection.read() != null) {
                String form = forms.take();
                connection.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                        + (form.startsWith("chunked")
                                ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(LENGTH) + "\r\n"
                                : form.startsWith("close")
                                        ? "Connection: close\r\n\r\n"
                                        : "Content-Length: " + (LENGTH + 1) + "\r\n\r\n"));
                connection.socket.getOutputStream().write(LONG);
                if (form.equals("chunked")) {
                    connection.write("\r\n0\r\nX-Trailer: 1\r\n\r\n");
                } else if (form.endsWith("reset")) {
                    connection.reset();
                } else {
                    connection.socket.close();
                }
            }
        }));
        for (String form : List.of("chunked", "close")) {
            forms.add(form);
            Socket client = connect();
            write(client, read(""));
            assertTrue(head(client).contains("transfer-encoding: chunked"), form);
            assertArrayEquals(LONG, chunks(client), form);
        }
        for (String form : List.of("chunked, cut", "close, reset")) {
            forms.add(form);
            Socket client = connect();
            write(client, read(""));
            assertTrue(head(client).contains("transfer-encoding: chunked"), form);
            assertNull(orNull(() -> chunks(client)), form);
        }
        forms.add("length, cut");
        Socket client = connect();
        write(client, read(""));
        assertTrue(head(client).contains("content-length: " + (LENGTH + 1)));
        byte[] all = orNull(() -> client.getInputStream().readNBytes(LENGTH + 1));
        assertTrue(all == null || all.length <= LENGTH);
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
    void aLongRequestGoesOnAsItComesAndItsTimeCountsFromItsLastByte() throws Exception {
        BlockingQueue<byte[]> bodies = new LinkedBlockingQueue<>();
        start(new FakeServer(connection -> {
            while (true) {
                String head = head(connection.socket);
                if (head == null) {
                    return;
                }
                bodies.add(head.contains("chunked") ? chunks(connection.socket) : fixed(connection.socket));
                connection.write(FakeServer.OK);
            }
        }));
        Socket client = connect();
        write(client, submit(400, "Content-Length: " + LENGTH + "\r\n"));
        OutputStream out = client.getOutputStream();
        out.write(LONG, 0, LENGTH / 2);
        Thread.sleep(800); // twice what the client will wait for the answer
        out.write(LONG, LENGTH / 2, LENGTH - LENGTH / 2);
        assertTrue(head(client).contains(" 200 "));
        assertArrayEquals(LONG, bodies.poll());
        client.getInputStream().skipNBytes(4);
        write(client, submit(2000, "Transfer-Encoding: chunked\r\n") + Integer.toHexString(LENGTH) + "\r\n");
        out.write(LONG);
        write(client, "\r\n0\r\n\r\n");
        assertTrue(head(client).contains(" 200 "), "the next on the same connection");
        assertArrayEquals(LONG, bodies.poll());
    }

    @Test
    void aLongRequestThatANodeBreaksOffHasNotRunAndIsRefusedNotSentAgain() throws Exception {
        AtomicInteger begun = new AtomicInteger();
        FakeServer.Script breaking = connection -> {
            begun.incrementAndGet();
            head(connection.socket);
            connection.socket.getInputStream().readNBytes(200_000);
            connection.reset();
        };
        start(new FakeServer(breaking), new FakeServer(breaking));
        Socket client = connect();
        write(client, submit(5000, "Content-Length: " + LENGTH + "\r\n"));
        client.getOutputStream().write(LONG); // all of it can be written
        String answer = head(client);
        assertTrue(answer.contains(" 503 ") && answer.contains("retry-after"), answer);
        assertEquals(1, begun.get());
        assertEquals(-1, client.getInputStream().read());
    }

    @Test
    void aLongRequestThatItsClientBreaksOffNeverEndsAtTheNode() throws Exception {
        BlockingQueue<Integer> read = new LinkedBlockingQueue<>();
        start(new FakeServer(connection -> {
            head(connection.socket);
            read.add(connection.socket.getInputStream().readNBytes(LENGTH).length);
        }));
        Socket client = connect();
        write(client, submit(5000, "Content-Length: " + LENGTH + "\r\n"));
        client.getOutputStream().write(LONG, 0, LENGTH - 1);
        client.close();
        Integer bytes = read.poll(5, TimeUnit.SECONDS);
        assertNotNull(bytes, "the node still waits");
        assertTrue(bytes < LENGTH);
    }

    @Test
    void aLongRequestThatComesTooSlowlyIsCutOffAndOneOfABadFormIsRefused() throws Exception {
        start(new FakeServer(connection -> {
            head(connection.socket);
            assertFalse(connection.socket.getInputStream().readAllBytes().length == LENGTH);
        }));
        Socket slow = connect();
        write(slow, submit(5000, "Content-Length: " + LENGTH + "\r\n"));
        slow.getOutputStream().write(LONG, 0, 100_000);
        Socket bad = connect();
        write(bad, submit(5000, "Transfer-Encoding: chunked\r\n").replace("Id: s", "Id: t") + "20000\r\n");
        bad.getOutputStream().write(LONG, 0, 0x20000);
        write(bad, "\r\nno chunk\r\n");
        assertTrue(head(bad).contains(" 400 "));
        assertTrue(head(slow).contains(" 408 "));
    }

    @Test
    void aClientThatWaitsForLeaveGetsItAndATargetMayNameTheServer() throws Exception {
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
     * An answer without a length that begins before its request has ended, and is reset while the sidecar still writes: the end
     * is found by the write, not by the read, and is none.
     */
    @Test
    void anAnswerThatIsResetWhileItsRequestIsStillWrittenIsNotWhole() throws Exception {
        start(new FakeServer(connection -> {
            connection.socket.getInputStream().readNBytes(1000);
            connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of it");
            Thread.sleep(400); // until the sockets on the way are full and a write waits
            connection.reset();
        }));
        Socket client = connect();
        Thread writer = new Thread(() -> {
            try {
                write(client, submit(5000, "Content-Length: " + LENGTH + "\r\n"));
                client.getOutputStream().write(LONG);
            } catch (IOException e) {
                // It is answered before its end.
            }
        });
        writer.start();
        String answer = head(client);
        assertFalse(answer.startsWith("HTTP/1.1 200"), answer);
        client.close();
        writer.join();
    }
}
