package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.discovery.Timing;
import ivybank.handover.Learned;
import ivybank.handover.Memory;
import ivybank.handover.MemoryFiles;
import ivybank.testing.FakeServer;
import ivybank.testing.HaltingLines;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A whole sidecar between a client, upstreams and discovery, all on loopback. */
@Timeout(30)
class SidecarTest {

    private static final String LIST_END = "\r\n\r\n";

    @TempDir
    Path dir;

    private final List<AutoCloseable> toClose = new ArrayList<>();
    private Sidecar sidecar;
    /** How far the sidecar's clock is ahead of this machine's. */
    private final AtomicLong aheadNanos = new AtomicLong();
    /** Where it stands still, if it does. */
    private final AtomicLong frozenNanos = new AtomicLong();

    private final Clock clock = new Clock(
            System.currentTimeMillis(),
            () -> frozenNanos.get() != 0 ? frozenNanos.get() : System.nanoTime() + aheadNanos.get());
    private PrintStream lines = new PrintStream(OutputStream.nullOutputStream());
    private Sidecar.DrainTimes drainTimes = new Sidecar.DrainTimes(0, 0, 10_000);
    private InetSocketAddress address;
    /** The clients' socket where the platform keeps it, else null. */
    private ServerSocketChannel inherited;

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable each : toClose) {
            each.close();
        }
        if (sidecar != null) {
            sidecar.drain();
        }
    }

    private void start(InetSocketAddress discovery, String known) throws IOException {
        start(discovery, known, 1024);
    }

    private void start(InetSocketAddress discovery, String known, int sockets) throws IOException {
        Map<String, String> environment =
                Map.of("EDGE_CONFIG", config(discovery, known, sockets).toString());
        sidecar = new Sidecar(
                Config.load(environment),
                new ConfigFile(environment),
                new Log(lines, clock),
                clock,
                drainTimes,
                Timing.standard(false, 500),
                null,
                inherited);
        address = sidecar.start();
    }

    private Path config(InetSocketAddress discovery, String known, int sockets) throws IOException {
        return Files.writeString(dir.resolve("config.json"), """
                {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"ff0e5a0000000001",
                 "limits":{"sockets":%d},"known":{"seq":3,"whole":true,"hosts":[%s]},
                 "settings":{"instances":1,"tickMs":5,"tenants":[],"unheard":{"of":[1,2]},
                  "lanes":[{"name":"read","aimMs":1500,"hardLimitMs":6000,"idempotency":"retryable","worth":1},
                           {"name":"submit","aimMs":5000,"hardLimitMs":6000,"idempotency":"fragile","worth":5}],
                  "limits":{"maxAttempts":6,"cancel":true,"secondCopies":true,"retryAfter":true,
                            "maxRetryAfterMs":1500,"connectTimeoutMs":250,"connIdleMs":60000},
                  "report":{"via":"inline","fields":["rps","cpu"]},"failureDomains":["a"],"kinds":["k"]}}
                """.formatted(text(discovery), sockets, known));
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static String host(String name, InetSocketAddress address, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + text(address) + "\",\"site\":\"a\",\"class\":\"k\","
                + "\"block\":1,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0,\"new\":{\"field\":1}}";
    }

    private FakeServer serve(FakeServer server) {
        toClose.add(server);
        return server;
    }

    private Client client() throws IOException {
        Client client = new Client(address);
        toClose.add(client);
        return client;
    }

    private static final class Client implements AutoCloseable {
        private final Socket socket;

        Client(InetSocketAddress address) throws IOException {
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout(10_000);
        }

        void write(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Reads one answer; null at the end of the connection. */
        String read() throws IOException {
            return SidecarRig.readAnswer(socket.getInputStream());
        }

        /** As {@link #read}, where the end may be a reset, for what was written has not been read. */
        String readOrReset() {
            try {
                return read();
            } catch (IOException e) {
                return null;
            }
        }

        String ask(String text) throws IOException {
            write(text);
            return read();
        }

        int status(String text) throws IOException {
            String answer = ask(text);
            return answer == null ? -1 : Integer.parseInt(answer.substring(9, 12));
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static String read(int budgetMs) {
        return "GET /read?obj=1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: c\r\nX-Budget-Ms: " + budgetMs + LIST_END;
    }

    private static String submit(int budgetMs) {
        return "POST /submit HTTP/1.1\r\nHost: x\r\nX-Call-Id: s\r\nX-Budget-Ms: " + budgetMs
                + "\r\nContent-Length: 5\r\n\r\nhello";
    }

    private static String ready() {
        return "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    }

    @Test
    void startsFromNothingButTheKnownListWhileDiscoveryIsDown() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        Client client = client();
        assertEquals(200, client.status(ready()));
        String answer = client.ask(read(3000));
        assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("body"), answer);
        assertTrue(client.ask(submit(3000)).endsWith("body"));
        assertTrue(upstream.nextRequest().startsWith("GET /read?obj=1 HTTP/1.1"));
        assertTrue(upstream.nextRequest().endsWith("hello"));
    }

    @Test
    void isNotReadyBeforeItHasAList() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        FakeServer discovery = serve(new FakeServer(connection -> {
            connection.read();
            asked.await();
            answerList(connection, 4, host("s-1", upstream.address(), "Ready"));
            connection.read();
            Thread.sleep(10_000);
        }));
        start(discovery.address(), "");
        Client client = client();
        assertEquals(503, client.status(ready()));
        asked.countDown();
        while (client.status(ready()) != 200) {
            Thread.sleep(5);
        }
        assertTrue(client.ask(read(3000)).endsWith("body"));
    }

    private static void answerList(FakeServer.Connection connection, int seq, String hosts) throws IOException {
        String list = "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + hosts + "]}";
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + LIST_END + list);
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    @Test
    void followsTheWatchThroughHalfLinesAndResumesWhereItBroke() throws Exception {
        FakeServer first = serve(FakeServer.answering(FakeServer.OK.replace("body", "one.")));
        FakeServer second = serve(FakeServer.answering(FakeServer.OK.replace("body", "two.")));
        String gone = "{\"seq\":9,\"whole\":false,\"hosts\":[" + host("s-1", first.address(), "Gone") + ","
                + host("s-2", second.address(), "Ready") + "]}\n";
        FakeServer discovery = serve(new FakeServer(connection -> {
            for (String call = connection.read(); call != null; call = connection.read()) {
                if (!call.contains("stream=1")) {
                    answerList(connection, 7, host("s-1", first.address(), "Ready"));
                    continue;
                }
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n"));
                if (call.contains("index=7")) {
                    connection.write(chunk(gone.substring(0, 50)));
                    Thread.sleep(30);
                    connection.write(chunk(gone.substring(50)) + chunk("{\"seq\":10,\"who"));
                    connection.socket.close();
                    return;
                }
            }
        }));
        start(discovery.address(), "");
        assertTrue(discovery.nextRequest().startsWith("GET /registry/instances HTTP/1.1"));
        assertTrue(discovery.nextRequest().contains("?stream=1&index=7 "));
        assertTrue(discovery.nextRequest().contains("?stream=1&index=9 "), "half a line goes with its connection");
        String answer = client().ask(read(3000));
        assertTrue(answer.endsWith("two."), answer);
    }

    @Test
    void leavesAWatchThatIsSilentBeforeWhatItMissesCountsAsTold() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        FakeServer discovery = serve(new FakeServer(connection -> {
            for (String call = connection.read(); call != null; call = connection.read()) {
                if (!call.contains("stream=1")) {
                    answerList(connection, 7, host("s-1", upstream.address(), "Ready"));
                } else {
                    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n"));
                }
            }
        }));
        start(discovery.address(), "");
        assertNotNull(discovery.nextRequest());
        assertTrue(discovery.nextRequest().contains("index=7"));
        assertNotNull(discovery.nextRequest(), "within 5 s");
    }

    @Test
    void asksForTheWholeListAfterALineThatCanNotBeRead() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        FakeServer discovery = serve(new FakeServer(connection -> {
            for (String call = connection.read(); call != null; call = connection.read()) {
                if (!call.contains("stream=1")) {
                    answerList(connection, 7, host("s-1", upstream.address(), "Ready"));
                } else {
                    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("{\"seq\":}\n"));
                }
            }
        }));
        start(discovery.address(), "");
        assertNotNull(discovery.nextRequest());
        assertTrue(discovery.nextRequest().contains("index=7"));
        assertTrue(discovery.nextRequest().startsWith("GET /registry/instances HTTP/1.1"));
    }

    @Test
    void answersBadInputAndGoesOn() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        Client client = client();
        assertEquals(404, client.status("GET /other HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: 100\r\n\r\n"));
        assertEquals(404, client.status("GET /reader HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: 100\r\n\r\n"));
        assertEquals(400, client.status("GET /read HTTP/1.1\r\nX-Budget-Ms: 100\r\n\r\n"));
        assertEquals(400, client.status("GET /read HTTP/1.1\r\nX-Call-Id: c\r\n\r\n"));
        assertEquals(400, client.status("GET /read HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: soon\r\n\r\n"));
        assertEquals(400, client.status("GET /read HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: -5\r\n\r\n"));
        assertEquals(405, client.status("GET /submit HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: 100\r\n\r\n"));
        assertEquals(
                413,
                client().status("POST /submit HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: 100\r\n"
                        + "Content-Length: 40000000\r\n\r\n"),
                "before the body has come");
        assertEquals(
                417,
                client().status("POST /submit HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: 100\r\n"
                        + "Expect: a-miracle\r\nContent-Length: 7\r\n\r\n"));
        for (String head : List.of(
                "X-Budget-Ms: +5",
                "X-Budget-Ms: 1e3",
                "X-Budget-Ms: 99999999999",
                "X-Budget-Ms: 50\r\nX-Budget-Ms: 50",
                "X-Budget-Ms: 50\r\nX-Call-Id: d",
                "X-Budget-Ms: 50\r\nContent-Length: 1" + "\r\nX: ",
                "X-Budget-Ms: 50\r\nIdempotency-Key: a b")) {
            assertEquals(400, client().status("GET /read HTTP/1.1\r\nX-Call-Id: c\r\n" + head + "\r\n\r\nx"), head);
        }
        assertEquals(400, client().status("GET /read HTTP/1.1\r\nX-Call-Id: c d\r\nX-Budget-Ms: 50\r\n\r\n"));
        assertEquals(400, client().status("GET /read?obj=\u00e9 HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: 50\r\n\r\n"));
        assertEquals(400, client().status("\u0001\u0002 no HTTP\r\n\r\n"));
        assertTrue(upstream.requests.isEmpty());
        assertTrue(client.ask(read(3000)).endsWith("body"));
    }

    @Test
    void aRequestThatMayHideAnotherIsRefusedAndNothingBehindItIsRead() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        for (String head : List.of(
                "Content-Length: 5\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked\r\nContent-Length: 5",
                "Content-Length: 5\r\nContent-Length: 5",
                "Content-Length: 5, 5",
                "Content-Length: +5",
                "Content-Length: -5",
                "Content-Length: 0x5",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: identity",
                "Transfer-Encoding: xchunked",
                "Content-Length : 5")) {
            Client client = client();
            client.write("POST /submit HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: 900\r\n" + head + "\r\n\r\n"
                    + "0\r\n\r\n" + read(900));
            String answer = client.read();
            assertTrue(answer.startsWith("HTTP/1.1 400"), head + ": " + answer);
            assertNull(client.readOrReset(), head);
        }
        assertTrue(upstream.requests.isEmpty());
    }

    @Test
    void whatCanNotBeReadIsAnsweredInTurn() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        FakeServer upstream = serve(new FakeServer(connection -> {
            connection.read();
            go.await();
            connection.write(FakeServer.OK);
        }));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        Client client = client();
        client.write(read(3000));
        assertNotNull(upstream.nextRequest());
        client.write("POST /submit HTTP/1.1\r\nContent-Length: 40000000\r\n\r\n");
        assertEquals(409, client().status(read(3000)), "the id is open");
        go.countDown();
        assertTrue(client.read().startsWith("HTTP/1.1 200"));
        assertTrue(client.read().startsWith("HTTP/1.1 413"));
        assertNull(client.readOrReset());
    }

    @Test
    void halfARequestIsAnsweredInTime() throws Exception {
        start(FakeServer.nobody(), host("s-1", FakeServer.nobody(), "Ready"));
        Client halfHead = client();
        halfHead.write("GET /read HTTP/1.1\r\nX-");
        Client halfBody = client();
        halfBody.write("POST /submit HTTP/1.1\r\nContent-Length: 10\r\n\r\nhello");
        Client second = client();
        second.write(ready() + "GET /re");
        assertTrue(second.read().startsWith("HTTP/1.1 200"));
        for (Client client : List.of(halfHead, halfBody, second)) {
            assertTrue(client.read().startsWith("HTTP/1.1 408"));
            assertNull(client.readOrReset());
        }
    }

    @Test
    void followsDiscoveryToANewAddressWhenToldToReadTheConfigurationAgain() throws Exception {
        FakeServer first = serve(FakeServer.answering(FakeServer.OK.replace("body", "one.")));
        FakeServer second = serve(FakeServer.answering(FakeServer.OK.replace("body", "two.")));
        CountDownLatch moved = new CountDownLatch(1);
        FakeServer old = serve(new FakeServer(connection -> {
            connection.read();
            answerList(connection, 90, host("s-1", first.address(), "Ready"));
            connection.read();
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            moved.await();
            connection.write(
                    chunk("{\"seq\":91,\"whole\":true,\"hosts\":[" + host("s-1", first.address(), "Ready") + "]}\n"));
        }));
        start(old.address(), "");
        assertNotNull(old.nextRequest());
        assertNotNull(old.nextRequest());
        Files.writeString(dir.resolve("config.json"), "{ half a fi");
        sidecar.reload();
        assertTrue(client().ask(read(3000)).endsWith("one."), "a bad file changes nothing");
        FakeServer next = serve(new FakeServer(connection -> {
            for (String call = connection.read(); call != null; call = connection.read()) {
                if (call.contains("stream=1")) {
                    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n"));
                } else {
                    answerList(connection, 5, host("s-2", second.address(), "Ready"));
                }
            }
        }));
        config(next.address(), "", 1024);
        sidecar.reload();
        sidecar.reload();
        assertTrue(next.nextRequest().startsWith("GET /registry/instances HTTP/1.1"));
        assertTrue(next.nextRequest().contains("index=5 "));
        moved.countDown();
        assertTrue(client().ask(read(3000)).endsWith("two."));
        assertEquals(1, next.accepted.size());
    }

    /** A discovery that gives this list, then a watch that says {@code later} once {@code go} is counted down. */
    private FakeServer roster(int seq, String hosts, CountDownLatch go, String later) throws IOException {
        return serve(new FakeServer(connection -> {
            for (String call = connection.read(); call != null; call = connection.read()) {
                if (!call.contains("stream=1")) {
                    answerList(connection, seq, hosts);
                    continue;
                }
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n"));
                while (!go.await(200, TimeUnit.MILLISECONDS)) {
                    connection.write(chunk("\n"));
                }
                if (later != null) {
                    connection.write(chunk("{\"seq\":" + (seq + 1) + ",\"whole\":false,\"hosts\":[" + later + "]}\n"));
                }
            }
        }));
    }

    private void awaitAnswer(String end) throws Exception {
        while (!client().ask(read(3000)).endsWith(end)) {
            Thread.sleep(10);
        }
    }

    @Test
    void aConfigurationThatIsHalfReplacedAtTheSignalIsReadOnceItIsWhole() throws Exception {
        FakeServer first = serve(FakeServer.answering(FakeServer.OK.replace("body", "one.")));
        FakeServer second = serve(FakeServer.answering(FakeServer.OK.replace("body", "two.")));
        CountDownLatch never = new CountDownLatch(1);
        FakeServer old = roster(9, host("s-1", first.address(), "Ready"), never, null);
        FakeServer next = roster(5, host("s-2", second.address(), "Ready"), never, null);
        start(old.address(), "");
        awaitAnswer("one.");
        for (String half : List.of("", "{\"name\":\"n0\",\"discovery\":\"" + text(next.address()) + "\",\"sett")) {
            Files.writeString(dir.resolve("config.json"), half);
            sidecar.reload();
            assertTrue(client().ask(read(3000)).endsWith("one."));
        }
        config(next.address(), "", 1024);
        awaitAnswer("two.");
    }

    @Test
    void theLastOfTwoSignalsCounts() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        CountDownLatch never = new CountDownLatch(1);
        FakeServer old = roster(9, host("s-1", upstream.address(), "Ready"), never, null);
        FakeServer between = roster(9, host("s-1", upstream.address(), "Ready"), never, null);
        FakeServer last = roster(9, host("s-1", upstream.address(), "Ready"), never, null);
        start(old.address(), "");
        assertNotNull(old.nextRequest());
        config(between.address(), "", 1024);
        sidecar.reload();
        config(last.address(), "", 1024);
        sidecar.reload();
        assertNotNull(last.nextRequest());
        assertTrue(last.nextRequest().contains("stream=1"));
        assertEquals(200, client().status(read(3000)));
    }

    @Test
    void theOldAddressIsHeardUntilTheNewOneAnswers() throws Exception {
        FakeServer first = serve(FakeServer.answering(FakeServer.OK.replace("body", "one.")));
        FakeServer second = serve(FakeServer.answering(FakeServer.OK.replace("body", "two.")));
        CountDownLatch go = new CountDownLatch(1);
        FakeServer old = roster(
                9,
                host("s-1", first.address(), "Ready"),
                go,
                host("s-1", first.address(), "Gone") + "," + host("s-2", second.address(), "Ready"));
        CountDownLatch speaks = new CountDownLatch(1);
        FakeServer mute = serve(new FakeServer(connection -> {
            connection.read();
            speaks.await();
        }));
        start(old.address(), "");
        awaitAnswer("one.");
        config(mute.address(), "", 1024);
        sidecar.reload();
        assertNotNull(mute.nextRequest());
        go.countDown();
        awaitAnswer("two.");
        assertNotNull(mute.requests.poll(2, TimeUnit.SECONDS), "what accepts and says nothing is soon asked anew");
        speaks.countDown();
    }

    @Test
    void anAddressThatIsNotUpYetIsTriedUntilItIsAndASignalEndsThePause() throws Exception {
        FakeServer first = serve(FakeServer.answering(FakeServer.OK.replace("body", "one.")));
        FakeServer second = serve(FakeServer.answering(FakeServer.OK.replace("body", "two.")));
        start(FakeServer.nobody(), host("s-1", first.address(), "Ready"));
        Thread.sleep(300); // into the longer pauses between tries
        config(FakeServer.nobody(), "", 1024);
        sidecar.reload();
        FakeServer next = roster(5, host("s-2", second.address(), "Ready"), new CountDownLatch(1), null);
        config(next.address(), "", 1024);
        sidecar.reload();
        awaitAnswer("two.");
    }

    @Test
    void anOlderListFromANewAddressBringsNothingBackThatDrainsOrIsGone() throws Exception {
        FakeServer drains = serve(FakeServer.answering(FakeServer.OK.replace("body", "no 1")));
        FakeServer gone = serve(FakeServer.answering(FakeServer.OK.replace("body", "no 2")));
        FakeServer stays = serve(FakeServer.answering(FakeServer.OK));
        FakeServer told = serve(FakeServer.answering(FakeServer.OK.replace("body", "told")));
        String before = host("s-1", drains.address(), "Ready") + "," + host("s-2", gone.address(), "Ready");
        CountDownLatch go = new CountDownLatch(1);
        FakeServer old = roster(
                9,
                before + "," + host("s-3", stays.address(), "Ready"),
                go,
                host("s-1", drains.address(), "Terminating") + "," + host("s-2", gone.address(), "Gone") + ","
                        + host("s-4", told.address(), "Ready"));
        CountDownLatch restarted = new CountDownLatch(1);
        FakeServer next = roster(
                5,
                before + "," + host("s-3", stays.address(), "Ready"),
                restarted,
                host("s-1", drains.address(), "Ready").replace("\"born_ms\":0", "\"born_ms\":5"));
        start(old.address(), "");
        awaitAnswer("no 1");
        go.countDown();
        awaitAnswer("told");
        config(next.address(), "", 1024);
        sidecar.reload();
        assertNotNull(next.nextRequest());
        assertTrue(next.nextRequest().contains("index=5 "));
        drains.requests.clear();
        gone.requests.clear();
        for (int i = 0; i < 40; i++) {
            assertTrue(client().ask(read(3000)).endsWith("body"));
        }
        assertTrue(drains.requests.isEmpty() && gone.requests.isEmpty());
        restarted.countDown();
        awaitAnswer("no 1"); // under the same name, but another process
    }

    /** The real program, whose signals this test can set: started with SIGHUP ignored, by {@code prefix}. */
    private Process startIgnoringHangUp(String prefix, FakeServer roster) throws Exception {
        config(roster.address(), "", 1024);
        ProcessBuilder builder = new ProcessBuilder(
                        "/bin/sh",
                        "-c",
                        "trap '' HUP; " + prefix + " '"
                                + Path.of(System.getProperty("java.home"), "bin", "java")
                                + "' -XX:TieredStopAtLevel=1 -cp '"
                                + System.getProperty("java.class.path") + "' ivybank.Main serve")
                .redirectErrorStream(true)
                .redirectOutput(dir.resolve("out.log").toFile());
        builder.environment().put("EDGE_CONFIG", dir.resolve("config.json").toString());
        Process process = builder.start();
        toClose.add(process::destroyForcibly);
        return process;
    }

    @Test
    void withTheSignalIgnoredByWhoeverStartedItTheDeployedCommandHearsItAllTheSame() throws Exception {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run ="))
                .findFirst()
                .orElseThrow();
        String prefix = run.substring(run.indexOf('"') + 1, run.indexOf(" java "));
        CountDownLatch never = new CountDownLatch(1);
        FakeServer old = roster(9, "", never, null);
        FakeServer next = roster(5, "", never, null);
        Process process = startIgnoringHangUp(prefix, old);
        assertNotNull(old.requests.poll(20, TimeUnit.SECONDS));
        config(next.address(), "", 1024);
        new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid()))
                .start()
                .waitFor();
        assertNotNull(next.nextRequest(), () -> "the old address stays open: " + process);
    }

    @Test
    void whereNoSignalCanComeTheFileIsReadWhenDiscoveryHasClosed() throws Exception {
        FakeServer old = roster(9, "", new CountDownLatch(1), null);
        FakeServer next = roster(5, "", new CountDownLatch(1), null);
        startIgnoringHangUp("exec", old);
        assertNotNull(old.requests.poll(20, TimeUnit.SECONDS));
        assertNotNull(old.nextRequest());
        config(next.address(), "", 1024);
        old.close();
        assertNotNull(next.nextRequest());
        assertTrue(Files.readString(dir.resolve("out.log")).contains("SIGHUP is ignored"));
    }

    @Test
    void whatCameWhileTheEventLoopWasHeldUpIsServedAndItsConnectionNotClosedAsUnused() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        CountDownLatch fail = new CountDownLatch(1);
        FakeServer discovery = serve(new FakeServer(connection -> {
            connection.read();
            answerList(connection, 4, host("s-1", upstream.address(), "Ready"));
            connection.read();
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n"));
            fail.await();
            connection.write("0\r\n\r\n");
            connection.read();
        }));
        CountDownLatch halted = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        lines = HaltingLines.at("the watch has ended", halted, go);
        start(discovery.address(), host("s-1", upstream.address(), "Ready"));
        Client mute = client();
        Client half = client();
        half.write(read(3000).substring(0, 20));
        Client used = client();
        assertEquals(200, used.status(read(3000)));
        fail.countDown();
        halted.await();
        // Meanwhile each sends what is missing, and time goes by until all three seem to be of no use.
        mute.write(read(3000).replace("Id: c", "Id: c1"));
        half.write(read(3000).substring(20).replace("Id: c", "Id: c2"));
        used.write(read(3000).replace("Id: c", "Id: c3"));
        aheadNanos.set(TimeUnit.SECONDS.toNanos(15));
        Thread.sleep(300); // until the next look for unused connections is overdue
        go.countDown();
        assertTrue(used.read().endsWith("body"));
        assertTrue(half.read().endsWith("body"));
        assertTrue(mute.read().endsWith("body"));
    }

    @Test
    void whatComesAfterTheRestHasBeenFailedIsRefusedAtOnce() throws Exception {
        FakeServer upstream = serve(new FakeServer(connection -> {
            while (connection.read() != null) { // takes requests and answers none
            }
        }));
        drainTimes = new Sidecar.DrainTimes(0, 0, 300);
        String hosts = IntStream.range(0, 12)
                .mapToObj(i -> host("s-" + i, upstream.address(), "Ready"))
                .collect(Collectors.joining(","));
        start(FakeServer.nobody(), hosts);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) { // so many that a free connection for each of them is not what refuses it
            clients.add(client());
            clients.get(i)
                    .write(submit(5000).replace("Id: s", "Id: s" + i)
                            + submit(5000).replace("Id: s", "Id: t" + i));
            assertNotNull(upstream.nextRequest());
        }
        CompletableFuture<Void> ended = CompletableFuture.runAsync(sidecar::drain);
        for (Client client : clients) {
            assertTrue(client.read().startsWith("HTTP/1.1 502"));
            assertTrue(client.read().startsWith("HTTP/1.1 503"));
        }
        ended.get(4, TimeUnit.SECONDS);
        sidecar = null;
    }

    @Test
    void aSignalToReadTheConfigurationAgainDoesNotEndTheProcess() throws Exception {
        CountDownLatch told = new CountDownLatch(2);
        assumeTrue(HangupSignal.handle(told::countDown), "these tests run with SIGHUP ignored");
        for (int i = 0; i < 2; i++) {
            long before = told.getCount();
            new ProcessBuilder(
                            "kill",
                            "-HUP",
                            String.valueOf(ProcessHandle.current().pid()))
                    .start()
                    .waitFor();
            while (told.getCount() == before) {
                Thread.sleep(5);
            }
        }
    }

    @Test
    void anUnsafeRequestThatMayHaveRunFailsAndIsNotSentAgain() throws Exception {
        FakeServer upstream = serve(new FakeServer(connection -> {
            connection.read();
            connection.reset();
        }));
        start(
                FakeServer.nobody(),
                host("s-1", upstream.address(), "Ready") + "," + host("s-2", upstream.address(), "Ready"));
        int status = client().status(submit(3000));
        assertTrue(status >= 500 && status != 503, "failed, not refused: " + status);
        assertEquals(1, upstream.requests.size());
    }

    @Test
    void anUnsafeRequestThatWasTurnedAwayGoesToAnotherUpstream() throws Exception {
        FakeServer busy = serve(FakeServer.answering(FakeServer.REJECTED));
        FakeServer free = serve(FakeServer.answering(FakeServer.OK));
        start(FakeServer.nobody(), host("s-1", busy.address(), "Ready") + "," + host("s-2", free.address(), "Ready"));
        Client client = client();
        for (int i = 0; i < 4; i++) {
            assertEquals(200, client.status(submit(3000)));
        }
        assertEquals(4, free.requests.size());
    }

    @Test
    void aRefusalComesAtOnceAndSaysWhenToComeBack() throws Exception {
        start(FakeServer.nobody(), host("s-1", FakeServer.nobody(), "Ready"));
        long startedNs = System.nanoTime();
        String answer = client().ask(submit(6000));
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(answer.toLowerCase(java.util.Locale.ROOT).contains("retry-after: 1.5\r\n"), answer);
        assertTrue(System.nanoTime() - startedNs < TimeUnit.MILLISECONDS.toNanos(3000), "well before its deadline");
    }

    @Test
    void aSilentUpstreamEndsInOneAnswerBeforeTheDeadline() throws Exception {
        FakeServer upstream = serve(new FakeServer(connection -> {
            connection.read();
            Thread.sleep(10_000);
        }));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        long startedNs = System.nanoTime();
        int status = client().status(submit(1500));
        assertTrue(status >= 500 && status != 503, "it may have run: " + status);
        assertTrue(System.nanoTime() - startedNs < TimeUnit.MILLISECONDS.toNanos(3000), "not at its aim");
    }

    @Test
    void aClientThatLeavesCallsItsRequestOff() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        FakeServer upstream = serve(new FakeServer(connection -> {
            connection.read();
            assertNull(connection.read());
            closed.countDown();
        }));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        Client client = client();
        client.write(read(5000));
        assertNotNull(upstream.nextRequest());
        client.close();
        assertTrue(closed.await(2, TimeUnit.SECONDS));
    }

    @Test
    void finishesWhatItHasAndStillServesWhatComesWhenToldToEnd() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        FakeServer upstream = serve(new FakeServer(connection -> {
            for (String next = connection.read(); next != null; next = connection.read()) {
                if (next.contains("hello")) {
                    go.await();
                }
                connection.write(FakeServer.OK);
            }
        }));
        drainTimes = new Sidecar.DrainTimes(1000, 2000, 10_000);
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        Client inHand = client();
        Client kept = client();
        assertEquals(200, kept.status(ready()));
        inHand.write(submit(5000));
        assertNotNull(upstream.nextRequest());
        CompletableFuture<Void> ended = CompletableFuture.runAsync(sidecar::drain);
        Client late = client();
        assertEquals(200, late.status(read(3000)));
        assertThrows(IOException.class, () -> {
            while (true) { // until nobody listens any more
                new Socket(address.getAddress(), address.getPort()).close();
                Thread.sleep(20);
            }
        });
        assertEquals(200, kept.status(read(3000)), "for as long as its connection stays open");
        assertNull(kept.read(), "an idle connection is closed in the end");
        assertNull(late.read());
        assertFalse(ended.isDone());
        go.countDown();
        assertTrue(inHand.read().endsWith("body"));
        ended.get(5, TimeUnit.SECONDS);
        sidecar = null;
    }

    @Test
    void servesAfterTheSignalToEndForAsLongAsItCanAnswer() throws Exception {
        config(FakeServer.nobody(), "", 99);
        Sidecar.DrainTimes times = Sidecar.DrainTimes.longest(Config.load(Map.of(
                        "EDGE_CONFIG",
                        Files.writeString(
                                        dir.resolve("quick.json"),
                                        Files.readString(dir.resolve("config.json"))
                                                .replace("6000", "2400")
                                                .replace("5000", "800")
                                                .replace("1500", "600"))
                                .toString()))
                .settings());
        assertEquals(2400 + 700 - 200, times.failRestMs());
        assertEquals(times.failRestMs() - 240, times.stopServingMs());
    }

    @Test
    void withShortDeadlinesTheListenerClosesWhileWhatItTookLastCanStillBeAnswered() throws Exception {
        config(FakeServer.nobody(), "", 99);
        Sidecar.DrainTimes times = Sidecar.DrainTimes.longest(Config.load(Map.of(
                        "EDGE_CONFIG",
                        Files.writeString(
                                        dir.resolve("short.json"),
                                        Files.readString(dir.resolve("config.json"))
                                                .replace(":6000", ":100")
                                                .replace(":5000", ":100")
                                                .replace(":1500", ":80"))
                                .toString()))
                .settings());
        assertEquals(100 + 700 - 200, times.failRestMs());
        assertTrue(
                times.stopListeningMs() <= times.failRestMs() - 30 && times.stopListeningMs() >= 450, times.toString());
        assertTrue(times.stopServingMs() >= times.stopListeningMs());
    }

    @Test
    void afterTheSignalToEndTheClientKeepsAConnectionFree() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        FakeServer upstream = serve(new FakeServer(connection -> {
            while (connection.read() != null) {
                go.await();
                connection.write(FakeServer.OK);
            }
        }));
        drainTimes = new Sidecar.DrainTimes(0, 6000, 10_000);
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            clients.add(client());
            assertEquals(200, clients.get(i).status(ready()));
        }
        CompletableFuture<Void> ended = CompletableFuture.runAsync(sidecar::drain);
        assertThrows(IOException.class, () -> {
            while (true) { // until it is ending
                new Socket(address.getAddress(), address.getPort()).close();
                Thread.sleep(20);
            }
        });
        clients.get(0).write(submit(5000).replace("Id: s", "Id: s0"));
        clients.get(1).write(submit(5000).replace("Id: s", "Id: s1"));
        assertNotNull(upstream.nextRequest());
        assertNotNull(upstream.nextRequest());
        String refusal = clients.get(2).ask(submit(5000));
        assertTrue(refusal.startsWith("HTTP/1.1 503"), refusal);
        assertTrue(refusal.toLowerCase(java.util.Locale.ROOT).contains("retry-after: 1.5\r\n"), refusal);
        go.countDown();
        assertTrue(clients.get(0).read().endsWith("body"));
        assertTrue(clients.get(1).read().endsWith("body"));
        assertEquals(200, clients.get(2).status(submit(5000)), "its connection stayed open and is of use again");
        assertFalse(ended.isDone());
        ended.get(10, TimeUnit.SECONDS);
        sidecar = null;
    }

    @Test
    void aConnectionThatSaysNothingIsClosedAlsoAfterTheSignalToEnd() throws Exception {
        drainTimes = new Sidecar.DrainTimes(0, 6000, 10_000);
        start(FakeServer.nobody(), host("s-1", FakeServer.nobody(), "Ready"));
        Client kept = client();
        assertEquals(200, kept.status(ready()));
        Client mute = client();
        CompletableFuture<Void> ended = CompletableFuture.runAsync(sidecar::drain);
        assertNull(mute.read());
        assertEquals(200, kept.status(ready()), "long before the end");
        ended.get(10, TimeUnit.SECONDS);
        sidecar = null;
    }

    @Test
    void whatIsOpenWhenItsTimeIsUpIsFailedBeforeTheProcessEnds() throws Exception {
        FakeServer upstream = serve(new FakeServer(connection -> {
            while (connection.read() != null) { // takes requests and answers none
            }
        }));
        drainTimes = new Sidecar.DrainTimes(0, 0, 300);
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        Client inHand = client();
        inHand.write(submit(5000));
        assertNotNull(upstream.nextRequest());
        CompletableFuture<Void> ended = CompletableFuture.runAsync(sidecar::drain);
        assertTrue(inHand.read().startsWith("HTTP/1.1 502"));
        ended.get(4, TimeUnit.SECONDS);
        sidecar = null;
    }

    @Test
    void whatTheDescriptorsDoNotHoldIsRefusedAtOnceAndNotLeftInTheBacklog() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        // Of nine descriptors to give away the client may have six, the last of them only to be refused.
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"), 24 + 9);
        String answer = "";
        Client last = null;
        while (!answer.startsWith("HTTP/1.1 503")) { // an idle connection may have made room meanwhile
            for (int i = 0; i < 6; i++) {
                last = client();
                assertEquals(200, last.status(ready()));
            }
            answer = last.ask(submit(5000));
        }
        assertTrue(answer.toLowerCase(java.util.Locale.ROOT).contains("retry-after: 1.5\r\n"), answer);
        assertNull(last.read());
    }

    @Test
    void connectionsThatAreKeptButNotUsedGiveWayToOthers() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"), 24 + 9);
        for (int i = 0; i < 5; i++) {
            assertEquals(200, client().status(ready()));
        }
        // Six are more than are served; those that asked once go after a while, and the sixth is served.
        Client sixth = client();
        while (sixth.status(read(3000)) != 200) {
            sixth = client();
        }
        assertEquals(200, sixth.status(read(3000)));
    }

    @Test
    void whatAnotherProcessHasInHandLeavesTheClientFewerConnectionsForThisOne(@TempDir Path folder) throws Exception {
        FakeServer upstream = serve(new FakeServer(connection -> {
            connection.read();
            Thread.sleep(20_000);
        }));
        List<String> hosts = IntStream.range(0, 6)
                .mapToObj(i -> host("s-" + i, upstream.address(), "Ready"))
                .toList();
        // A third of 300 are the client's for requests: of these 100, 35 are kept free while another process is here,
        // else 15.
        inherited = ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        start(FakeServer.nobody(), String.join(",", hosts), 300);
        sidecar.handOver(folder);
        MemoryFiles other = new MemoryFiles(folder, 1, said -> {});
        sidecar.company(true);
        leave(other, 55);
        assertRefused(2, 10 + 2);
        leave(other, 50);
        assertRefused(1, 5 + 1);
        sidecar.company(false);
        Thread.sleep(200); // the files are looked at each 50 ms
        assertRefused(0, 5);
    }

    /** What another process leaves while it has so many requests in hand; until it has been read. */
    private void leave(MemoryFiles other, int inHand) throws Exception {
        for (int i = 0; i < 5; i++) {
            other.write(new Memory(
                    System.currentTimeMillis(), inHand, 10, new Learned<>(1, 0, List.of(), Map.of(), Map.of())));
            Thread.sleep(60);
        }
    }

    /** Sends so many requests, of which so many are refused at once; the others stay in hand. */
    private void assertRefused(int refused, int requests) throws Exception {
        List<Client> sent = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            sent.add(client());
            sent.get(i).write(read(5000).replace("Id: c", "Id: c" + toClose.size()));
        }
        for (int i = 0; i < refused; i++) {
            Client next = null;
            while (next == null) {
                for (Client each : sent) {
                    next = each.socket.getInputStream().available() > 0 ? each : next;
                }
            }
            assertTrue(next.read().startsWith("HTTP/1.1 503"));
            sent.remove(next);
        }
        Thread.sleep(100);
        for (Client each : sent) {
            assertEquals(0, each.socket.getInputStream().available(), "more are refused");
        }
    }

    @Test
    void whereEachRequestComesOnANewConnectionTheOldOnesAreClosedWithTheirAnswers() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        // Several nodes, so that none of their connections rests when the next request comes.
        start(
                FakeServer.nobody(),
                IntStream.rangeClosed(1, 8)
                        .mapToObj(i -> host("s-" + i, upstream.address(), "Ready"))
                        .collect(Collectors.joining(",")),
                24 + 40);
        String answer = "";
        for (int i = 0; !answer.toLowerCase(java.util.Locale.ROOT).contains("connection: close"); i++) {
            assertTrue(i < 300, "connections that ask once hold all that there are");
            answer = client().ask(read(3000)); // and keeps it
            Thread.sleep(10);
        }
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
    }

    @Test
    void inACrowdHalfARequestThatStandsGivesWayAndOneThatIsWrittenSlowlyIsServed() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"), 24 + 9);
        Client slow = client();
        List<Client> standing = new ArrayList<>();
        String request = read(3000);
        for (int at = 0; at < request.length(); at += 10) { // for nearly 2 s
            slow.write(request.substring(at, Math.min(request.length(), at + 10)));
            if (standing.size() < 4) {
                Client half = client();
                half.write("GET /read HTT");
                standing.add(half);
            }
            Thread.sleep(200);
        }
        assertTrue(slow.read().startsWith("HTTP/1.1 200"));
        for (Client half : standing) {
            assertTrue(half.read().startsWith("HTTP/1.1 408"));
        }
    }

    @Test
    void aConnectionOnWhichNothingComesIsClosed() throws Exception {
        start(FakeServer.nobody(), host("s-1", FakeServer.nobody(), "Ready"));
        assertNull(client().read());
    }

    @Test
    void aMalformedConfigurationIsOneLine() throws Exception {
        Path file = dir.resolve("bad.json");
        assertThrows(ConfigException.class, () -> Config.load(Map.of()));
        for (String text : List.of(
                "{",
                "{}",
                "{\"settings\":{}}",
                "{\"settings\":{},\"name\":\"n\",\"listen\":\"x\"}",
                Files.readString(config(FakeServer.nobody(), "", 99)).replace("\"hardLimitMs\":6000,", ""),
                Files.readString(config(FakeServer.nobody(), "{}", 99)))) {
            Files.writeString(file, text);
            ConfigException e =
                    assertThrows(ConfigException.class, () -> Config.load(Map.of("EDGE_CONFIG", file.toString())));
            assertEquals(1, e.getMessage().lines().count(), e.getMessage());
        }
    }

    @Test
    void aSettingThatIsOutOfRangeOrOfTheWrongTypeIsOneLineThatNamesIt() throws Exception {
        String good = Files.readString(config(FakeServer.nobody(), "", 99));
        for (String[] change : new String[][] {
            {"\"cancel\":true", "\"cancel\":1", "limits.cancel"},
            {"\"secondCopies\":true", "\"secondCopies\":\"yes\"", "limits.secondCopies"},
            {"\"idempotency\":\"fragile\"", "\"idempotency\":\"unsafe\"", "lanes.1.idempotency"},
            {"\"maxAttempts\":6", "\"maxAttempts\":0", "limits.maxAttempts"},
            {"\"maxAttempts\":6", "\"maxAttempts\":2.5", "limits.maxAttempts"},
            {"\"connectTimeoutMs\":250", "\"connectTimeoutMs\":\"soon\"", "limits.connectTimeoutMs"},
            {"\"connIdleMs\":60000", "\"connIdleMs\":-1", "limits.connIdleMs"},
            {"\"aimMs\":5000", "\"aimMs\":\"x\"", "lanes.1.aimMs"},
            {"\"aimMs\":5000", "\"aimMs\":-5000", "lanes.1.aimMs"},
            {"\"tickMs\":5", "\"tickMs\":\"NaN\"", "tickMs"},
            {"\"sockets\":99", "\"sockets\":\"all\"", "limits.sockets"},
            {"\"instances\":1", "\"instances\":-3", "instances"},
            {"\"tenants\":[]", "\"tenants\":[],\"membershipMode\":\"pull\"", "membershipMode"},
            {"\"tenants\":[]", "\"tenants\":[],\"contract\":{\"drainGraceMs\":0}", "contract.drainGraceMs"}
        }) {
            assertTrue(good.contains(change[0]), change[0]);
            Path file = Files.writeString(dir.resolve("bad.json"), good.replace(change[0], change[1]));
            ConfigException e = assertThrows(
                    ConfigException.class, () -> Config.load(Map.of("EDGE_CONFIG", file.toString())), change[1]);
            assertEquals(1, e.getMessage().lines().count(), e.getMessage());
            assertTrue(e.getMessage().contains(change[2]) && e.getMessage().contains(file.toString()), e.getMessage());
        }
    }

    @Test
    void aClassIsKnownByItsWholeNameAlsoWhereItComesEscaped() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        assertEquals(200, client().status(read(3000).replace("/read?", "/r%65ad?")));
        assertTrue(upstream.nextRequest().startsWith("GET /r%65ad?obj=1 HTTP/1.1"), "it goes on as it came");
        assertEquals(404, client().status(read(3000).replace("/read?", "/rea?")));
        assertEquals(404, client().status(read(3000).replace("/read?", "/read-2?")));
        assertEquals(404, client().status(read(3000).replace("/read?", "/read%2Dx?")));
    }

    @Test
    void theWarmUpGetsThroughTheWholeRequestPath() throws Exception {
        // It once stood still after seven requests, and a fresh sidecar then met its first clients cold.
        assertTrue(Warmup.run(
                Config.load(Map.of(
                                "EDGE_CONFIG",
                                config(FakeServer.nobody(), "", 99).toString()))
                        .settings(),
                8_000));
    }

    @Test
    void theClockCountsOnFromUnixTimeByTheMonotonicClock() {
        long[] nanos = {5_000_000};
        Clock clock = new Clock(1_700_000_000_000L, () -> nanos[0]);
        assertEquals(1_700_000_000_000.0, clock.nowMs());
        nanos[0] += 2_500_000;
        assertEquals(1_700_000_000_002.5, clock.nowMs());
    }
}
