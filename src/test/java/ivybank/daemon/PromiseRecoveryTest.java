package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.discovery.Timing;
import ivybank.memory.MessageMemory;
import ivybank.operator.OperatorFile;
import ivybank.testing.FakeServer;
import ivybank.testing.LateListener;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the promises of a sidecar on sockets, across restarts. */
@Timeout(60)
class PromiseRecoveryTest {

    private static final int LONG_ANSWER_BYTES = 60_000;

    private record Response(int status, String body) {}

    @TempDir
    Path dir;

    private final List<AutoCloseable> toClose = new ArrayList<>();
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final AtomicInteger runs = new AtomicInteger();
    private Sidecar sidecar;
    private InetSocketAddress address;
    private int callCount;

    @AfterEach
    void close() throws Exception {
        if (sidecar != null) {
            sidecar.drain();
        }
        for (AutoCloseable each : toClose) {
            each.close();
        }
    }

    /** What messages of the sidecars may take. */
    private final MessageMemory memory = MessageMemory.unlimited();

    private InetSocketAddress node(FakeServer.Script script) throws IOException {
        FakeServer node = new FakeServer(script);
        toClose.add(node);
        return node.address();
    }

    private void start(InetSocketAddress node) throws Exception {
        Path file = Files.writeString(dir.resolve("config.json"), """
                {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"sockets":256},
                 "known":{"seq":3,"whole":true,"hosts":[{"host":"h","dial":"127.0.0.1:%d","site":"a","class":"k","block":1,
                  "health":"Ready","share":1.0,"born_ms":0}]},
                 "settings":{"instances":1,"tickMs":5,"lanes":[
                  {"name":"read","aimMs":1500,"hardLimitMs":6000,"idempotency":"retryable","worth":1},
                  {"name":"submit","aimMs":1500,"hardLimitMs":6000,"idempotency":"fragile","worth":5}],
                  "limits":{"maxAttempts":6,"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterMs":1500,
                   "connectTimeoutMs":250,"connIdleMs":60000},
                  "report":{"via":"inline","fields":[]},"failureDomains":["a"],"kinds":["k"]}}
                """.formatted(node.getPort()));
        Path operator = Files.writeString(
                dir.resolve("operator.toml"),
                "[store]\nfolder = \"" + dir.resolve("store")
                        + "\"\nfirst_start = \"make\"\n[promises]\nidentity = \"X-Event\"\n");
        Clock clock = Clock.system();
        Map<String, String> environment = Map.of("EDGE_CONFIG", file.toString());
        sidecar = new Sidecar(
                Config.load(environment),
                new ConfigFile(environment),
                new Log(new PrintStream(logOutput, true, StandardCharsets.UTF_8), clock),
                clock,
                new DrainTimes(10, 20, 200),
                Timing.standard(false, 500),
                OperatorFile.read(operator).store(),
                null,
                ProcessMemory.withBudgets(memory));
        address = sidecar.start();
    }

    private Response submit(String event, int budgetMs) throws IOException {
        HttpURLConnection call = (HttpURLConnection) URI.create("http://127.0.0.1:" + address.getPort() + "/submit")
                .toURL()
                .openConnection();
        call.setRequestMethod("POST");
        call.setDoOutput(true);
        call.setRequestProperty("X-Call-Id", "c" + ++callCount);
        call.setRequestProperty("X-Budget-Ms", String.valueOf(budgetMs));
        if (event != null) {
            call.setRequestProperty("X-Event", event);
        }
        call.getOutputStream().write("{}".getBytes(StandardCharsets.US_ASCII));
        int status = call.getResponseCode();
        var body = status < 400 ? call.getInputStream() : call.getErrorStream();
        return new Response(
                status, body == null ? "" : new String(body.readAllBytes(), StandardCharsets.UTF_8).strip());
    }

    private void serveAll(FakeServer.Connection connection) throws IOException {
        while (connection.read() != null) {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n#" + runs.incrementAndGet());
        }
    }

    @Test
    void anAcknowledgementSurvivesARestartAndTheRequestIsNotSentAgain() throws Exception {
        InetSocketAddress node = node(this::serveAll);
        start(node);
        assertEquals(new Response(200, "#1"), submit("quake-7", 3000));
        assertEquals(new Response(200, "#1"), submit("quake-7", 3000));
        assertEquals(new Response(200, "#2"), submit("quake-8", 3000));
        assertEquals(new Response(200, "#3"), submit(null, 3000));
        assertEquals(new Response(200, "#4"), submit(null, 3000), "a request without an identity is not deduplicated");
        sidecar.drain();
        start(node);
        assertTrue(
                logOutput.toString(StandardCharsets.UTF_8).contains("promises: 2 acked and 0 in doubt from before"),
                logOutput.toString(StandardCharsets.UTF_8));
        assertEquals(new Response(200, "#1"), submit("quake-7", 3000));
        assertEquals(4, runs.get());
        String folder = dir.resolve("store").toString();
        assertEquals(1, ivybank.cli.Ivybank.run(new String[] {"store", "verify", folder}), "the store is in use");
        sidecar.drain();
        sidecar = null;
        assertEquals(0, ivybank.cli.Ivybank.run(new String[] {"store", "verify", folder}));
        assertEquals(0, ivybank.cli.Ivybank.run(new String[] {"store", "inspect", folder}));
        assertEquals(0, ivybank.cli.Ivybank.run(new String[] {"store", "compact", folder}));
        assertEquals(0, ivybank.cli.Ivybank.run(new String[] {"store", "verify", folder}));
        Path segment;
        try (var files = Files.list(dir.resolve("store"))) {
            segment = files.filter(file -> file.getFileName().toString().startsWith("segment-"))
                    .max(java.util.Comparator.comparingLong(
                            file -> file.toFile().length()))
                    .orElseThrow();
        }
        byte[] bytes = Files.readAllBytes(segment);
        bytes[40] ^= 1;
        Files.write(segment, bytes);
        assertEquals(1, ivybank.cli.Ivybank.run(new String[] {"store", "verify", folder}), "the store is corrupt");
        assertEquals(2, ivybank.cli.Ivybank.run(new String[] {"store", "verify", folder + "/none"}));
    }

    @Test
    void aRequestThatMayHaveRunStaysInDoubtAcrossARestart() throws Exception {
        InetSocketAddress node = node(connection -> {
            connection.read();
            runs.incrementAndGet();
            connection.socket.close();
        });
        start(node);
        assertEquals(502, submit("quake-7", 3000).status());
        assertEquals(new Response(409, "it may have run, and is not sent again: in doubt"), submit("quake-7", 3000));
        sidecar.drain();
        start(node);
        assertTrue(logOutput.toString(StandardCharsets.UTF_8).contains("promises: 0 acked and 1 in doubt from before"));
        assertEquals(409, submit("quake-7", 3000).status());
        assertEquals(1, runs.get());
        sidecar.drain();
        String folder = dir.resolve("store").toString();
        assertEquals(0, ivybank.cli.Ivybank.run(new String[] {"promises", "list", "--in-doubt", folder}));
        assertEquals(1, ivybank.cli.Ivybank.run(new String[] {"promises", "clear", folder, "submit", "quake-8"}));
        assertEquals(0, ivybank.cli.Ivybank.run(new String[] {"promises", "clear", folder, "submit", "quake-7"}));
        start(node);
        assertEquals(502, submit("quake-7", 3000).status());
        assertEquals(2, runs.get(), "a cleared request counts as new");
    }

    @Test
    void aRequestThatProvablyHasNotRunIsSentAsNew() throws Exception {
        AtomicInteger rejections = new AtomicInteger();
        InetSocketAddress node = node(connection -> {
            while (connection.read() != null) {
                connection.write(
                        rejections.getAndIncrement() < 8
                                ? "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
                                : "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n#" + runs.incrementAndGet());
            }
        });
        start(node);
        Response first = submit("quake-7", 3000);
        assertEquals(503, first.status());
        Response next = first;
        while (next.status() == 503) {
            next = submit("quake-7", 3000);
        }
        assertEquals(new Response(200, "#1"), next);
    }

    /**
     * Two clients send the same request, and both disconnect while its node is not reached yet: the request is
     * cancelled when the last client has disconnected.
     */
    @Test
    void aRequestIsNotForwardedWhenAllItsClientsHaveLeft() throws Exception {
        try (LateListener node = new LateListener()) {
            start(node.address());
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                Socket client = new Socket(address.getAddress(), address.getPort());
                clients.add(client);
                client.getOutputStream()
                        .write(("POST /submit HTTP/1.1\r\nHost: x\r\nX-Call-Id: j" + i
                                        + "\r\nX-Budget-Ms: 6000\r\nX-Event: same\r\nContent-Length: 2\r\n\r\n{}")
                                .getBytes(StandardCharsets.US_ASCII));
                while (sidecar.requestsInProgress() == 0) {
                    Thread.sleep(2);
                }
                Thread.sleep(50); // the second client joins the request
            }
            for (Socket client : clients) { // the client that sent first disconnects first
                client.close();
            }
            Thread.sleep(300);
            assertEquals(0, sidecar.requestsInProgress());
            node.letIn();
            Socket accepted = node.next(2000);
            if (accepted != null) {
                accepted.setSoTimeout(300);
                assertThrows(IOException.class, () -> {
                    if (accepted.getInputStream().read() < 0) {
                        throw new IOException("closed without data");
                    }
                });
            }
        }
    }

    @Test
    void anIdenticalRequestInProgressIsJoinedAndRunsOnce() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch proceed = new CountDownLatch(1);
        InetSocketAddress node = node(connection -> {
            connection.read();
            started.countDown();
            proceed.await();
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n#" + runs.incrementAndGet());
            connection.read();
        });
        start(node);
        List<Response> responses = new ArrayList<>();
        Thread first = new Thread(() -> {
            try {
                responses.add(submit("quake-7", 5000));
            } catch (IOException e) {
                responses.add(new Response(0, e.toString()));
            }
        });
        first.start();
        started.await();
        assertEquals(504, submit("quake-7", 200).status(), "its own deadline is earlier");
        proceed.countDown();
        assertEquals(new Response(200, "#1"), submit("quake-7", 3000));
        first.join();
        assertEquals(List.of(new Response(200, "#1")), responses);
        assertEquals(1, runs.get());
    }

    @Test
    void twoSidecarsCannotUseTheSameStore() throws Exception {
        start(node(this::serveAll));
        Sidecar running = sidecar;
        IOException e = org.junit.jupiter.api.Assertions.assertThrows(
                IOException.class, () -> start(new InetSocketAddress("127.0.0.1", 1)));
        assertTrue(e.getMessage().contains("is held by another process"), e.getMessage());
        sidecar = running;
    }

    // Guards against answers that are kept beyond the limit on memory since they have to be recorded.
    @Test
    void anAnswerThatThereIsNoMemoryForIsInDoubtAndNotKept() throws Exception {
        String body = "x".repeat(LONG_ANSWER_BYTES);
        start(node(connection -> {
            while (connection.read() != null) {
                runs.incrementAndGet();
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            }
        }));
        memory.setLimits(0, Long.MAX_VALUE / 2);
        assertEquals(502, submit("quake-9", 3000).status());
        sidecar.requestsInProgress(); // answered on the event loop, whose changes are seen from here on
        assertTrue(memory.heap().reservedBytes() < LONG_ANSWER_BYTES, memory.toString());
        assertEquals(409, submit("quake-9", 3000).status());
        assertEquals(1, runs.get());
    }

    // Guards against a restart that ends because the process before, which is ending, holds the store for a moment
    // longer.
    @Test
    void aRestartWaitsForTheProcessBeforeThatIsEnding() throws Exception {
        InetSocketAddress node = node(this::serveAll);
        start(node);
        assertEquals(new Response(200, "#1"), submit("quake-8", 3000));
        Sidecar before = sidecar;
        Thread end = new Thread(() -> {
            try {
                Thread.sleep(700);
                before.drain();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        end.start();
        start(node);
        end.join();
        assertEquals(new Response(200, "#1"), submit("quake-8", 3000));
    }
}
