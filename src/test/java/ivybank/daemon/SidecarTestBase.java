package ivybank.daemon;

import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.discovery.Timing;
import ivybank.memory.MessageMemory;
import ivybank.testing.FakeServer;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/** Base class of tests with a complete sidecar between a client, upstreams and discovery, all on loopback. */
abstract class SidecarTestBase {

    static final String HEAD_END = "\r\n\r\n";

    @TempDir
    Path dir;

    final List<AutoCloseable> toClose = new ArrayList<>();
    Sidecar sidecar;
    /** How far the sidecar's clock is ahead of this machine's. */
    final AtomicLong aheadNanos = new AtomicLong();
    /** The time at which the clock is frozen, or 0. */
    final AtomicLong frozenNanos = new AtomicLong();

    final Clock clock = new Clock(
            System.currentTimeMillis(),
            () -> frozenNanos.get() != 0 ? frozenNanos.get() : System.nanoTime() + aheadNanos.get());
    PrintStream logLines = new PrintStream(OutputStream.nullOutputStream());
    DrainTimes drainTimes = new DrainTimes(0, 0, 10_000);
    InetSocketAddress address;
    /** The clients' listening socket if it is inherited, else null. */
    ServerSocketChannel inherited;

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable each : toClose) {
            each.close();
        }
        if (sidecar != null) {
            sidecar.drain();
        }
    }

    void start(InetSocketAddress discovery, String known) throws IOException {
        start(discovery, known, 1024);
    }

    void start(InetSocketAddress discovery, String known, int sockets) throws IOException {
        Map<String, String> environment =
                Map.of("EDGE_CONFIG", config(discovery, known, sockets).toString());
        sidecar = new Sidecar(
                Config.load(environment),
                new ConfigFile(environment),
                new Log(logLines, clock),
                clock,
                drainTimes,
                Timing.standard(false, 500),
                null,
                inherited,
                ProcessMemory.withBudgets(MessageMemory.unlimited()));
        address = sidecar.start();
    }

    Path config(InetSocketAddress discovery, String known, int sockets) throws IOException {
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

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    static String host(String name, InetSocketAddress address, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + text(address) + "\",\"site\":\"a\",\"class\":\"k\","
                + "\"block\":1,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0,\"new\":{\"field\":1}}";
    }

    FakeServer serve(FakeServer server) {
        toClose.add(server);
        return server;
    }

    Client client() throws IOException {
        Client client = new Client(address);
        toClose.add(client);
        return client;
    }

    static final class Client implements AutoCloseable {
        final Socket socket;

        Client(InetSocketAddress address) throws IOException {
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout(10_000);
        }

        void write(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Reads one answer; returns null at the end of the connection. */
        String read() throws IOException {
            return SidecarRig.readAnswer(socket.getInputStream());
        }

        /** Reads like {@link #read}, where the end may also be a reset because written data was not read. */
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

    static String read(int budgetMs) {
        return "GET /read?obj=1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: c\r\nX-Budget-Ms: " + budgetMs + HEAD_END;
    }

    static String submit(int budgetMs) {
        return "POST /submit HTTP/1.1\r\nHost: x\r\nX-Call-Id: s\r\nX-Budget-Ms: " + budgetMs
                + "\r\nContent-Length: 5\r\n\r\nhello";
    }

    static String ready() {
        return "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    }

    static void answerList(FakeServer.Connection connection, int seq, String hosts) throws IOException {
        String list = "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + hosts + "]}";
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + HEAD_END + list);
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /**
     * Starts a discovery that returns this list, then a watch that sends {@code later} once {@code go} is counted down.
     */
    FakeServer discoveryServer(int seq, String hosts, CountDownLatch go, String later) throws IOException {
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

    void awaitAnswerEndingWith(String end) throws Exception {
        while (!client().ask(read(3000)).endsWith(end)) {
            Thread.sleep(10);
        }
    }
}
