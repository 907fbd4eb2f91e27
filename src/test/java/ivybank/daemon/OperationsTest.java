package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.peers.PeerFleet;
import ivybank.peers.PeerSettings;
import ivybank.testing.FakeServer;
import ivybank.testing.SharedListener;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the program as separate processes with calls to their admin endpoints; two processes share the clients'
 * listening socket.
 */
@Timeout(60)
class OperationsTest {

    @TempDir
    Path dir;

    private final List<AutoCloseable> toClose = new ArrayList<>();
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private SharedListener platform;
    private int port;
    private int asked;

    /** A discovery that returns a list, then each line that it is given. */
    private final class DiscoveryStub {
        final BlockingQueue<String> later = new LinkedBlockingQueue<>();
        final FakeServer server;

        DiscoveryStub(String... hosts) throws IOException {
            String list = "{\"seq\":1,\"whole\":true,\"hosts\":[" + String.join(",", hosts) + "]}";
            server = serve(new FakeServer(connection -> {
                for (String call = connection.read(); call != null; call = connection.read()) {
                    if (!call.contains("stream=1")) {
                        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                        continue;
                    }
                    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    for (String line = ""; ; line = later.poll(500, TimeUnit.MILLISECONDS)) {
                        String text = line == null || line.isEmpty() ? "\n" : line + "\n";
                        connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                    }
                }
            }));
        }
    }

    private FakeServer serve(FakeServer server) {
        toClose.add(server);
        return server;
    }

    private static String host(String name, FakeServer server, String health, long bornMs) {
        return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:"
                + server.address().getPort() + "\",\"site\":\"a\",\"class\":\"k\"," + "\"block\":1,\"health\":\""
                + health + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
    }

    private void startPlatform() throws IOException {
        platform = new SharedListener(dir.resolve("platform.log"));
        toClose.add(platform);
        port = platform.port();
    }

    /** Additional environment variables of each process, as shell assignments. */
    private String extraEnvironment = "";

    /** One process of the sidecar. */
    private final class SidecarProcess {
        final int adminPort;
        final long pid;

        SidecarProcess(DiscoveryStub discovery) throws IOException, InterruptedException {
            this(discovery, true);
        }

        SidecarProcess(DiscoveryStub discovery, boolean untilItServes) throws IOException, InterruptedException {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                adminPort = free.getLocalPort();
            }
            Path config = Files.writeString(dir.resolve("config-" + adminPort + ".json"), """
                    {"name":"n0","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"ff0e5a0000000001",
                     "control":"127.0.0.1:%d","limits":{"sockets":256},
                     "settings":{"instances":1,"tickMs":5,"tenants":[],
                      "lanes":[{"name":"read","aimMs":1500,"hardLimitMs":6000,"idempotency":"retryable","worth":1}],
                      "limits":{"maxAttempts":6,"cancel":true,"secondCopies":true,"retryAfter":true,
                                "maxRetryAfterMs":1500,"connectTimeoutMs":250,"connIdleMs":60000},
                      "report":{"via":"inline","fields":[]},"failureDomains":["a"],"kinds":["k"]}}
                    """.formatted(
                            port, discovery.server.address().getPort(), adminPort));
            String command = "TMPDIR='" + dir + "' EDGE_INHERITED_FD=0 EDGE_CONFIG='" + config + "' " + extraEnvironment
                    + "exec '"
                    + Path.of(System.getProperty("java.home"), "bin", "java") + "' -XX:TieredStopAtLevel=1 -cp '"
                    + System.getProperty("java.class.path") + "' ivybank.Main serve > '"
                    + dir.resolve(adminPort + ".log")
                    + "' 2>&1 9>&-";
            pid = platform.start(command);
            ProcessHandle process = ProcessHandle.of(pid).orElseThrow();
            toClose.add(process::destroyForcibly);
            while (untilItServes && !ok("GET", "/status", "")) {
                assertTrue(process.isAlive(), "the process has ended");
                Thread.sleep(20);
            }
        }

        int call(String method, String path, String body) throws IOException, InterruptedException {
            return http.send(
                            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + adminPort + path))
                                    .timeout(Duration.ofSeconds(5))
                                    .method(method, BodyPublishers.ofString(body))
                                    .build(),
                            BodyHandlers.ofString())
                    .statusCode();
        }

        boolean ok(String method, String path, String body) throws InterruptedException {
            try {
                return call(method, path, body) == 200;
            } catch (IOException e) {
                return false; // not up yet
            }
        }

        int enterMaintenance(String node) throws IOException, InterruptedException {
            return call("PUT", "/maintenance/enter", "{\"host\":\"" + node + "\"}");
        }

        int exitMaintenance(String node) throws IOException, InterruptedException {
            return call("PUT", "/maintenance/exit", "{\"host\":\"" + node + "\"}");
        }
    }

    /** Sends one request on a connection of its own and returns the answer. */
    private String ask() throws IOException {
        try (Socket socket = connect()) {
            return ask(socket, "read");
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(10_000);
        return socket;
    }

    private String ask(Socket socket, String path) throws IOException {
        socket.getOutputStream()
                .write(("GET /" + path + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: c" + ++asked
                                + "\r\nX-Budget-Ms: 5000\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                return null;
            }
            text.append((char) next);
        }
        int at = text.indexOf("content-length: ") + 16;
        int length = Integer.parseInt(text.substring(at, text.indexOf("\r", at)));
        return text + new String(socket.getInputStream().readNBytes(length), StandardCharsets.US_ASCII);
    }

    private static FakeServer node(String body) throws IOException {
        return FakeServer.answering(FakeServer.OK.replace("body", body));
    }

    @AfterEach
    void stop() throws Exception {
        for (int i = toClose.size() - 1; i >= 0; i--) {
            toClose.get(i).close();
        }
    }

    @Test
    void aNodeInMaintenanceGetsNoRequestsAcrossAnUpgradeUntilItLeaves() throws Exception {
        FakeServer a = serve(node("a..."));
        FakeServer b = serve(node("b..."));
        DiscoveryStub discovery = new DiscoveryStub(host("a", a, "Ready", 0), host("b", b, "Ready", 0));
        startPlatform();
        SidecarProcess first = new SidecarProcess(discovery);
        assertEquals(404, first.enterMaintenance("nobody"));
        assertEquals(404, first.exitMaintenance("nobody"));
        assertEquals(400, first.call("PUT", "/maintenance/enter", "{"));
        assertEquals(400, first.call("PUT", "/maintenance/enter", "{\"node\":\"a\"}"));
        assertEquals(405, first.call("GET", "/maintenance/enter", "{\"host\":\"a\"}"));
        assertEquals(404, first.call("GET", "/other", ""));
        assertEquals(200, first.enterMaintenance("a"));
        assertEquals(200, first.enterMaintenance("a"), "a node that is already in maintenance");
        discovery.later.add("{\"seq\":2,\"whole\":false,\"hosts\":[" + host("a", a, "Gone", 0) + "]}");
        discovery.later.add(
                "{\"seq\":3,\"whole\":false,\"hosts\":[" + host("a", a, "Ready", System.currentTimeMillis()) + "]}");
        assertAllFrom("b...");
        SidecarProcess second = new SidecarProcess(discovery);
        kill(first.pid, "TERM");
        ProcessHandle.of(first.pid).ifPresent(process -> process.onExit().join());
        assertAllFrom("b...");
        assertEquals(200, second.exitMaintenance("a"));
        while (!ask().endsWith("a...")) {
            Thread.sleep(5);
        }
    }

    private void assertAllFrom(String body) throws Exception {
        for (int i = 0; i < 60; i++) {
            String answer = ask();
            assertTrue(answer.endsWith(body), answer);
        }
    }

    private static void kill(long pid, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(pid)).start().waitFor();
    }

    @Test
    void anOrderToTheNewProcessAppliesToTheOldOne() throws Exception {
        FakeServer a = serve(node("a..."));
        FakeServer b = serve(node("b..."));
        DiscoveryStub discovery = new DiscoveryStub(host("a", a, "Ready", 0), host("b", b, "Ready", 0));
        startPlatform();
        new SidecarProcess(discovery);
        try (Socket toFirst = connect()) {
            assertTrue(ask(toFirst, "read").contains(" 200 "));
            SidecarProcess second = new SidecarProcess(discovery);
            assertEquals(200, second.enterMaintenance("a"));
            // Within the drain grace, in which each process polls the file several times.
            Thread.sleep(500);
            for (int i = 0; i < 40; i++) {
                assertTrue(ask(toFirst, "read").endsWith("b..."));
            }
        }
    }

    @Test
    void noRequestIsLostWhileOneProcessTakesOverFromTheOther() throws Exception {
        FakeServer a = serve(node("a..."));
        DiscoveryStub discovery = new DiscoveryStub(host("a", a, "Ready", 0));
        startPlatform();
        SidecarProcess first = new SidecarProcess(discovery);
        Socket kept = connect();
        toClose.add(kept);
        assertTrue(ask(kept, "read").contains(" 200 "));
        SidecarProcess second = new SidecarProcess(discovery);
        assertTrue(logContains(second, "another process of this sidecar is here"), "logged before it serves");
        kill(first.pid, "TERM");
        while (ProcessHandle.of(first.pid).isPresent()) {
            assertTrue(ask().contains(" 200 "));
            if (kept != null) { // closed with its next answer, so that the client reconnects
                String answer = ask(kept, "read");
                assertTrue(answer.contains(" 200 "), answer);
                kept = answer.contains("connection: close") ? null : kept;
            }
        }
        while (!logContains(second, "no other process of this sidecar is here any more")) {
            Thread.sleep(20);
        }
        assertNull(kept, "the old process ended while it held a connection");
        assertTrue(ask().contains(" 200 "));
    }

    @Test
    void theNewProcessInheritsLearnedStateEvenNextToACorruptFile() throws Exception {
        FakeServer a = serve(node("a..."));
        DiscoveryStub discovery = new DiscoveryStub(host("a", a, "Ready", 0));
        startPlatform();
        Files.write(dir.resolve("ivybank-1.memory"), new byte[] {1, 2, 3});
        SidecarProcess first = new SidecarProcess(discovery);
        assertTrue(logContains(first, "ivybank-1.memory is of no use, and removed"));
        assertFalse(logContains(first, "taking over what"));
        assertTrue(ask().contains(" 200 "));
        SidecarProcess killed = new SidecarProcess(discovery, false);
        while (!logContains(first, "another process of this sidecar is here")) {
            Thread.sleep(5);
        }
        kill(killed.pid, "KILL"); // before it is ready: the old process continues unaffected
        while (!logContains(first, "no other process of this sidecar is here any more")) {
            Thread.sleep(5);
        }
        assertTrue(ask().contains(" 200 "));
        SidecarProcess second = new SidecarProcess(discovery);
        assertTrue(logContains(second, "taking over what another process has learned of 1 nodes"));
        kill(first.pid, "KILL"); // possibly during a write
        while (ProcessHandle.of(first.pid).isPresent()) {
            Thread.sleep(5);
        }
        SidecarProcess third = new SidecarProcess(discovery);
        assertTrue(logContains(third, "taking over what another process has learned of 1 nodes"));
        assertTrue(ask().contains(" 200 "));
    }

    @Test
    void duringAnUpgradePeersSeeOneSidecarThatNeverLeaves() throws Exception {
        FakeServer a = serve(node("a..."));
        DiscoveryStub discovery = new DiscoveryStub(host("a", a, "Ready", 0));
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                addresses.add((InetSocketAddress) free.getLocalSocketAddress());
            }
        }
        Path key = Files.writeString(dir.resolve("key"), "00112233445566778899aabbccddeeff");
        String list = addresses.stream()
                .map(each -> "\"127.0.0.1:" + each.getPort() + "\"")
                .collect(Collectors.joining(", "));
        extraEnvironment = "EDGE_OPERATOR='"
                + Files.writeString(
                        dir.resolve("operator.toml"),
                        "[peers]\nkey_file = \"" + key + "\"\nlisten = \"127.0.0.1:"
                                + addresses.get(0).getPort() + "\"\naddresses = [" + list + "]\n")
                + "' ";
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        toClose.add(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly());
        Clock clock = Clock.system();
        ByteArrayOutputStream otherLog = new ByteArrayOutputStream();
        PeerFleet other = new PeerFleet(
                new PeerSettings(key, "ivybank", "", "", List.of(), null),
                "other",
                addresses.get(1),
                addresses,
                1,
                2,
                group.next(),
                clock,
                new Log(new PrintStream(otherLog, true, StandardCharsets.UTF_8), clock),
                count -> {});
        other.open(false);
        startPlatform();
        SidecarProcess first = new SidecarProcess(discovery);
        awaitLogged(otherLog, "seat 0, life ");
        SidecarProcess second = new SidecarProcess(discovery);
        while (!logContains(first, "another process of this sidecar speaks for it")) {
            Thread.sleep(5);
        }
        awaitLogged(otherLog, "has a new life");
        kill(first.pid, "TERM");
        while (ProcessHandle.of(first.pid).isPresent()) {
            Thread.sleep(5);
        }
        SidecarProcess killed = new SidecarProcess(discovery, false); // a process that ends before it serves
        while (!logContains(second, "another process of this sidecar speaks for it")) {
            Thread.sleep(5);
        }
        kill(killed.pid, "KILL");
        while (!logContains(second, "this process speaks for the sidecar again")) {
            Thread.sleep(5);
        }
        Thread.sleep(3000); // as long as it takes to declare a member dead
        String output = otherLog.toString(StandardCharsets.UTF_8);
        assertFalse(output.contains("given up") || output.contains("has left"), output);
        assertTrue(other.asked().toCompletableFuture().get().contains("\"peers\":1"), output);
    }

    private static void awaitLogged(ByteArrayOutputStream log, String what) throws InterruptedException {
        while (!log.toString(StandardCharsets.UTF_8).contains(what)) {
            Thread.sleep(5);
        }
    }

    private boolean logContains(SidecarProcess process, String line) throws IOException {
        return Files.readString(dir.resolve(process.adminPort + ".log")).contains(line);
    }

    @Test
    void aSidecarOnStandbyIsNotReadyReleasesItsClientsAndAcceptsThemAgain() throws Exception {
        FakeServer a = serve(node("a..."));
        startPlatform();
        SidecarProcess sidecar = new SidecarProcess(new DiscoveryStub(host("a", a, "Ready", 0)));
        Socket idle = connect();
        toClose.add(idle);
        assertTrue(ask(idle, "health/ready").contains(" 200 "));
        assertEquals(200, sidecar.call("PUT", "/standby", ""));
        long since = System.nanoTime();
        assertTrue(ask().contains(" 200 "), "the sidecar still serves");
        assertTrue(ask(idle, "health/ready").contains(" 503 "));
        assertEquals(-1, idle.getInputStream().read(), "an idle connection is not closed");
        assertTrue(System.nanoTime() - since < TimeUnit.SECONDS.toNanos(4));
        assertTrue(sidecar.ok("GET", "/status", ""), "the process does not run any more");
        assertEquals(200, sidecar.call("PUT", "/active", ""));
        try (Socket again = connect()) {
            assertTrue(ask(again, "health/ready").contains(" 200 "));
            String answer = ask(again, "read");
            assertTrue(answer.contains(" 200 ") && !answer.contains("connection: close"), answer);
        }
    }

    // Guards against a process that begins the time of a standby anew when it starts, and holds recent requests longer.
    @Test
    void aStandbyKeepsItsTimeInAProcessThatStartsLater() throws Exception {
        FakeServer a = serve(node("a..."));
        DiscoveryStub discovery = new DiscoveryStub(host("a", a, "Ready", 0));
        startPlatform();
        SidecarProcess first = new SidecarProcess(discovery);
        assertEquals(200, first.call("PUT", "/standby", ""));
        Thread.sleep(1900); // requests that come later are refused
        SidecarProcess second = new SidecarProcess(discovery);
        kill(first.pid, "KILL");
        ProcessHandle.of(first.pid).ifPresent(process -> process.onExit().join());
        String late = ask();
        assertTrue(late.contains(" 503 "), late);
        assertEquals(200, second.call("PUT", "/active", ""));
        assertTrue(ask().contains(" 200 "));
    }

    @Test
    void unfinishedAdminCallsDoNotBlockOthers() throws Exception {
        FakeServer a = serve(node("a..."));
        startPlatform();
        SidecarProcess sidecar = new SidecarProcess(new DiscoveryStub(host("a", a, "Ready", 0)));
        for (int i = 0; i < 40; i++) {
            Socket unfinished = new Socket(InetAddress.getLoopbackAddress(), sidecar.adminPort);
            toClose.add(unfinished);
            unfinished
                    .getOutputStream()
                    .write("PUT /maintenance/enter HTTP/1.1\r\nContent-Length: 9\r\n\r\n{"
                            .getBytes(StandardCharsets.US_ASCII));
        }
        assertEquals(200, sidecar.enterMaintenance("a"));
        assertEquals(200, sidecar.exitMaintenance("a"));
    }

    @Test
    void anInheritedDescriptorThatIsNotAListenerFailsTheStartInOneLine() throws Exception {
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "ivybank.Main",
                        "serve")
                .redirectErrorStream(true);
        builder.environment().put("EDGE_INHERITED_FD", "0");
        builder.environment().put("EDGE_CONFIG", "deploy/archive.json");
        Process process = builder.start();
        toClose.add(process::destroyForcibly);
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(1, process.waitFor());
        assertTrue(output.contains("EDGE_INHERITED_FD is 0: it must be 0, and that a listening TCP socket"), output);
        assertFalse(output.contains("Exception"), output);
    }
}
