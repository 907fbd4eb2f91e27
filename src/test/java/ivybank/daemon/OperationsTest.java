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

/** The program as processes of its own, with operators at its door: two of them share the clients' socket. */
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

    /** A discovery that gives a list, then each line that it is handed. */
    private final class Roster {
        final BlockingQueue<String> later = new LinkedBlockingQueue<>();
        final FakeServer server;

        Roster(String... hosts) throws IOException {
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

    /** Further settings in the environment of each process. */
    private String more = "";

    /** One process of the sidecar. */
    private final class Started {
        final int door;
        final long pid;

        Started(Roster roster) throws IOException, InterruptedException {
            this(roster, true);
        }

        Started(Roster roster, boolean untilItServes) throws IOException, InterruptedException {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                door = free.getLocalPort();
            }
            Path config = Files.writeString(dir.resolve("config-" + door + ".json"), """
                    {"name":"n0","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"ff0e5a0000000001",
                     "control":"127.0.0.1:%d","limits":{"sockets":256},
                     "settings":{"instances":1,"tickMs":5,"tenants":[],
                      "lanes":[{"name":"read","aimMs":1500,"hardLimitMs":6000,"idempotency":"retryable","worth":1}],
                      "limits":{"maxAttempts":6,"cancel":true,"secondCopies":true,"retryAfter":true,
                                "maxRetryAfterMs":1500,"connectTimeoutMs":250,"connIdleMs":60000},
                      "report":{"via":"inline","fields":[]},"failureDomains":["a"],"kinds":["k"]}}
                    """.formatted(
                            port, roster.server.address().getPort(), door));
            String command = "TMPDIR='" + dir + "' EDGE_INHERITED_FD=0 EDGE_CONFIG='" + config + "' " + more + "exec '"
                    + Path.of(System.getProperty("java.home"), "bin", "java") + "' -XX:TieredStopAtLevel=1 -cp '"
                    + System.getProperty("java.class.path") + "' ivybank.Main serve > '" + dir.resolve(door + ".log")
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
                            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + door + path))
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

        int out(String node) throws IOException, InterruptedException {
            return call("PUT", "/maintenance/enter", "{\"host\":\"" + node + "\"}");
        }

        int back(String node) throws IOException, InterruptedException {
            return call("PUT", "/maintenance/exit", "{\"host\":\"" + node + "\"}");
        }
    }

    /** One request on a connection of its own; what it says. */
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
    void aNodeThatIsOutGetsNothingWhateverTheListSaysAndOverAnUpgradeUntilItIsCalledBack() throws Exception {
        FakeServer a = serve(node("a..."));
        FakeServer b = serve(node("b..."));
        Roster roster = new Roster(host("a", a, "Ready", 0), host("b", b, "Ready", 0));
        startPlatform();
        Started first = new Started(roster);
        assertEquals(404, first.out("nobody"));
        assertEquals(404, first.back("nobody"));
        assertEquals(400, first.call("PUT", "/maintenance/enter", "{"));
        assertEquals(400, first.call("PUT", "/maintenance/enter", "{\"node\":\"a\"}"));
        assertEquals(405, first.call("GET", "/maintenance/enter", "{\"host\":\"a\"}"));
        assertEquals(404, first.call("GET", "/other", ""));
        assertEquals(200, first.out("a"));
        assertEquals(200, first.out("a"), "one that is out already");
        roster.later.add("{\"seq\":2,\"whole\":false,\"hosts\":[" + host("a", a, "Gone", 0) + "]}");
        roster.later.add(
                "{\"seq\":3,\"whole\":false,\"hosts\":[" + host("a", a, "Ready", System.currentTimeMillis()) + "]}");
        assertAllFrom("b...");
        Started second = new Started(roster);
        kill(first.pid, "TERM");
        ProcessHandle.of(first.pid).ifPresent(process -> process.onExit().join());
        assertAllFrom("b...");
        assertEquals(200, second.back("a"));
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
    void anOrderToTheProcessThatTakesOverHoldsInTheOldOne() throws Exception {
        FakeServer a = serve(node("a..."));
        FakeServer b = serve(node("b..."));
        Roster roster = new Roster(host("a", a, "Ready", 0), host("b", b, "Ready", 0));
        startPlatform();
        new Started(roster);
        try (Socket toFirst = connect()) {
            assertTrue(ask(toFirst, "read").contains(" 200 "));
            Started second = new Started(roster);
            assertEquals(200, second.out("a"));
            // Within the grace: the processes look each 100 ms.
            Thread.sleep(500);
            for (int i = 0; i < 40; i++) {
                assertTrue(ask(toFirst, "read").endsWith("b..."));
            }
        }
    }

    @Test
    void noRequestEndsAtTheDoorWhileOneProcessTakesOverFromTheOther() throws Exception {
        FakeServer a = serve(node("a..."));
        Roster roster = new Roster(host("a", a, "Ready", 0));
        startPlatform();
        Started first = new Started(roster);
        Socket kept = connect();
        toClose.add(kept);
        assertTrue(ask(kept, "read").contains(" 200 "));
        Started second = new Started(roster);
        assertTrue(says(second, "another process of this sidecar is here"), "when it began to serve");
        kill(first.pid, "TERM");
        while (ProcessHandle.of(first.pid).isPresent()) {
            assertTrue(ask().contains(" 200 "));
            if (kept != null) { // its next answer sends it to the other process
                String answer = ask(kept, "read");
                assertTrue(answer.contains(" 200 "), answer);
                kept = answer.contains("connection: close") ? null : kept;
            }
        }
        while (!says(second, "no other process of this sidecar is here any more")) {
            Thread.sleep(20);
        }
        assertNull(kept, "the old process ended while it held a connection");
        assertTrue(ask().contains(" 200 "));
    }

    @Test
    void theProcessThatTakesOverBeginsWithWhatTheOldOneHasLearnedAlsoWhereAnotherFileIsSpoilt() throws Exception {
        FakeServer a = serve(node("a..."));
        Roster roster = new Roster(host("a", a, "Ready", 0));
        startPlatform();
        Files.write(dir.resolve("ivybank-1.memory"), new byte[] {1, 2, 3});
        Started first = new Started(roster);
        assertTrue(says(first, "ivybank-1.memory is of no use, and removed"));
        assertFalse(says(first, "taking over what"));
        assertTrue(ask().contains(" 200 "));
        Started killed = new Started(roster, false);
        while (!says(first, "another process of this sidecar is here")) {
            Thread.sleep(5);
        }
        kill(killed.pid, "KILL"); // before its yes: the old one goes on as if nothing were
        while (!says(first, "no other process of this sidecar is here any more")) {
            Thread.sleep(5);
        }
        assertTrue(ask().contains(" 200 "));
        Started second = new Started(roster);
        assertTrue(says(second, "taking over what another process has learned of 1 nodes"));
        kill(first.pid, "KILL"); // in the middle of writing, perhaps
        while (ProcessHandle.of(first.pid).isPresent()) {
            Thread.sleep(5);
        }
        Started third = new Started(roster);
        assertTrue(says(third, "taking over what another process has learned of 1 nodes"));
        assertTrue(ask().contains(" 200 "));
    }

    @Test
    void overAnUpgradeTheOthersSeeOneSidecarThatNeverLeaves() throws Exception {
        FakeServer a = serve(node("a..."));
        Roster roster = new Roster(host("a", a, "Ready", 0));
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
        more = "EDGE_OPERATOR='"
                + Files.writeString(
                        dir.resolve("operator.toml"),
                        "[peers]\nkey_file = \"" + key + "\"\nlisten = \"127.0.0.1:"
                                + addresses.get(0).getPort() + "\"\naddresses = [" + list + "]\n")
                + "' ";
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        toClose.add(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly());
        Clock clock = Clock.system();
        ByteArrayOutputStream seen = new ByteArrayOutputStream();
        PeerFleet other = new PeerFleet(
                new PeerSettings(key, "ivybank", "", "", List.of(), null),
                "other",
                addresses.get(1),
                addresses,
                1,
                2,
                group.next(),
                clock,
                new Log(new PrintStream(seen, true, StandardCharsets.UTF_8), clock),
                count -> {});
        other.open(false);
        startPlatform();
        Started first = new Started(roster);
        awaitSaid(seen, "seat 0, life ");
        Started second = new Started(roster);
        while (!says(first, "another process of this sidecar speaks for it")) {
            Thread.sleep(5);
        }
        awaitSaid(seen, "has a new life");
        kill(first.pid, "TERM");
        while (ProcessHandle.of(first.pid).isPresent()) {
            Thread.sleep(5);
        }
        Started killed = new Started(roster, false); // and one that ends before it serves
        while (!says(second, "another process of this sidecar speaks for it")) {
            Thread.sleep(5);
        }
        kill(killed.pid, "KILL");
        while (!says(second, "this process speaks for the sidecar again")) {
            Thread.sleep(5);
        }
        Thread.sleep(3000); // as long as it takes to give one up
        String said = seen.toString(StandardCharsets.UTF_8);
        assertFalse(said.contains("given up") || said.contains("has left"), said);
        assertTrue(other.asked().toCompletableFuture().get().contains("\"peers\":1"), said);
    }

    private static void awaitSaid(ByteArrayOutputStream log, String what) throws InterruptedException {
        while (!log.toString(StandardCharsets.UTF_8).contains(what)) {
            Thread.sleep(5);
        }
    }

    private boolean says(Started process, String line) throws IOException {
        return Files.readString(dir.resolve(process.door + ".log")).contains(line);
    }

    @Test
    void aDrainedSidecarIsNotReadyLetsGoOfItsClientsAndTakesThemAgain() throws Exception {
        FakeServer a = serve(node("a..."));
        startPlatform();
        Started sidecar = new Started(new Roster(host("a", a, "Ready", 0)));
        Socket idle = connect();
        toClose.add(idle);
        assertTrue(ask(idle, "health/ready").contains(" 200 "));
        assertEquals(200, sidecar.call("PUT", "/standby", ""));
        long since = System.nanoTime();
        assertTrue(ask().contains(" 200 "), "it still serves");
        assertTrue(ask(idle, "health/ready").contains(" 503 "));
        assertEquals(-1, idle.getInputStream().read(), "an idle connection is closed");
        assertTrue(System.nanoTime() - since < TimeUnit.SECONDS.toNanos(4));
        assertTrue(sidecar.ok("GET", "/status", ""), "the process runs on");
        assertEquals(200, sidecar.call("PUT", "/active", ""));
        try (Socket again = connect()) {
            assertTrue(ask(again, "health/ready").contains(" 200 "));
            String answer = ask(again, "read");
            assertTrue(answer.contains(" 200 ") && !answer.contains("connection: close"), answer);
        }
    }

    @Test
    void callersThatNeverFinishKeepNobodyWaiting() throws Exception {
        FakeServer a = serve(node("a..."));
        startPlatform();
        Started sidecar = new Started(new Roster(host("a", a, "Ready", 0)));
        for (int i = 0; i < 40; i++) {
            Socket mute = new Socket(InetAddress.getLoopbackAddress(), sidecar.door);
            toClose.add(mute);
            mute.getOutputStream()
                    .write("PUT /maintenance/enter HTTP/1.1\r\nContent-Length: 9\r\n\r\n{"
                            .getBytes(StandardCharsets.US_ASCII));
        }
        assertEquals(200, sidecar.out("a"));
        assertEquals(200, sidecar.back("a"));
    }

    @Test
    void anInheritedDescriptorThatIsNoListeningSocketEndsTheStartWithOneLine() throws Exception {
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
        String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(1, process.waitFor());
        assertTrue(said.contains("EDGE_INHERITED_FD is 0: it must be 0, and that a listening TCP socket"), said);
        assertFalse(said.contains("Exception"), said);
    }
}
