package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.FakeServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Idle clients use all descriptors of a process with a low system limit; calls to the admin endpoint still succeed. */
@Timeout(60)
class AdminEndpointUnderIdleClientsTest {

    private static final int DESCRIPTORS = 256;
    private static final int IDLE_CLIENTS = 400;
    private static final int CALLS = 20;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final long START_TIMEOUT_MS = 30_000;
    private static final long POLL_INTERVAL_MS = 20;

    @TempDir
    Path dir;

    private final AtomicBoolean discoveryDown = new AtomicBoolean(true);
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<Socket> idleClients = new ArrayList<>();
    private final InetSocketAddress listen = FakeServer.nobody();
    private final InetSocketAddress adminAddress = FakeServer.nobody();
    private Process process;

    AdminEndpointUnderIdleClientsTest() throws IOException {}

    @AfterEach
    void end() throws IOException, InterruptedException {
        for (Socket idle : idleClients) {
            idle.close();
        }
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    private FakeServer agent(String list) throws IOException {
        return new FakeServer(connection -> {
            for (String call = connection.read(); call != null && !discoveryDown.get(); call = connection.read()) {
                if (call.contains("stream=1")) {
                    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
                } else {
                    SidecarRig.answerList(connection, list);
                }
            }
            connection.socket.close();
        });
    }

    private void start(FakeServer agent, FakeServer node) throws IOException, InterruptedException {
        Path config = Files.writeString(dir.resolve("config.json"), """
                {"name":"n0","listen":"%s","discovery":"%s","control":"%s","seed":"ff0e5a0000000001",
                 "limits":{"sockets":%d},"known":{"seq":3,"whole":true,"hosts":[%s]},
                 "settings":{"instances":1,"tickMs":5,"tenants":[],
                  "lanes":[{"name":"read","aimMs":1500,"hardLimitMs":6000,"idempotency":"retryable","worth":1}],
                  "limits":{"maxAttempts":6,"cancel":true,"secondCopies":true,"retryAfter":true,
                            "maxRetryAfterMs":1500,"connectTimeoutMs":250,"connIdleMs":60000},
                  "report":{"via":"inline","fields":[]},"failureDomains":["a"],"kinds":["k"]}}
                """.formatted(
                        SidecarRig.text(listen),
                        SidecarRig.text(agent.address()),
                        SidecarRig.text(adminAddress),
                        DESCRIPTORS,
                        SidecarRig.host("s-1", node.address(), "Ready")));
        ProcessBuilder builder = new ProcessBuilder(
                        "/bin/sh",
                        "-c",
                        "ulimit -n " + DESCRIPTORS + " && exec '"
                                + Path.of(System.getProperty("java.home"), "bin", "java")
                                + "' -XX:TieredStopAtLevel=1 -cp '" + System.getProperty("java.class.path")
                                + "' ivybank.Main serve")
                .redirectErrorStream(true)
                .redirectOutput(dir.resolve("sidecar.log").toFile());
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().remove("TMPDIR");
        process = builder.start();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
        while (!serves()) {
            assertTrue(process.isAlive() && System.nanoTime() < endNanos, log());
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private String log() throws IOException {
        return Files.readString(dir.resolve("sidecar.log"));
    }

    private boolean serves() throws InterruptedException {
        try {
            return call("GET", "/status", "") == 200;
        } catch (IOException e) {
            return false; // not up yet
        }
    }

    private int call(String method, String path, String body) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + SidecarRig.text(adminAddress) + path))
                .timeout(CALL_TIMEOUT)
                .method(method, BodyPublishers.ofString(body))
                .build();
        return http.send(request, BodyHandlers.discarding()).statusCode();
    }

    private void connectIdleClients() throws IOException {
        for (int i = 0; i < IDLE_CLIENTS; i++) {
            Socket idle = new Socket();
            idle.connect(listen);
            idleClients.add(idle);
        }
    }

    @Test
    void adminCallsSucceedWhileDiscoveryIsDownAndAfterItRecovers() throws Exception {
        FakeServer node = FakeServer.answering(FakeServer.OK);
        FakeServer agent = agent(SidecarRig.list(9, SidecarRig.host("s-1", node.address(), "Ready")));
        try (node;
                agent) {
            start(agent, node);
            connectIdleClients();
            for (int i = 0; i < CALLS; i++) {
                assertEquals(200, call("GET", "/status", ""), log());
            }
            assertEquals(200, call("PUT", "/maintenance/enter", "{\"host\":\"s-1\"}"), log());
            discoveryDown.set(false);
            assertEquals(200, call("PUT", "/maintenance/exit", "{\"host\":\"s-1\"}"), log());
            for (int i = 0; i < CALLS; i++) {
                assertEquals(200, call("GET", "/status", ""), log());
            }
            assertTrue(process.isAlive(), log());
        }
    }
}
