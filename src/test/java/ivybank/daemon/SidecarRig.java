package ivybank.daemon;

import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.discovery.Timing;
import ivybank.memory.MessageMemory;
import ivybank.testing.FakeServer;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/** A complete sidecar on loopback for one test, with settings of the test. */
final class SidecarRig implements Closeable {

    /** The settings that can differ between tests. */
    static final class Options {
        boolean cancel = true;
        boolean secondCopies;
        int connectTimeoutMs = 5000;
        int deadlineMs = 6000;
        double drainGraceMs = 500;
        InetSocketAddress listen = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        String extraClasses = "";
        PrintStream logLines = new PrintStream(OutputStream.nullOutputStream());
        Clock clock = Clock.system();
        MessageMemory memory = MessageMemory.unlimited();
        DrainTimes drainTimes = new DrainTimes(0, 0, 10_000);
    }

    final InetSocketAddress address;
    final Sidecar sidecar;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final List<Closeable> toClose = new ArrayList<>();

    SidecarRig(Path dir, InetSocketAddress discovery, String known, Options options) throws IOException {
        Map<String, String> environment = Map.of(
                "EDGE_CONFIG",
                Files.writeString(dir.resolve("config.json"), """
                {"name":"n0","listen":"%s","discovery":"%s","seed":"ff0e5a0000000001",
                 "limits":{"sockets":1024},"known":{"seq":3,"whole":true,"hosts":[%s]},
                 "settings":{"instances":1,"tickMs":5,"tenants":[],"contract":{"drainGraceMs":%s},
                  "lanes":[{"name":"read","aimMs":%d,"hardLimitMs":%d,"idempotency":"retryable","worth":1},
                           {"name":"submit","aimMs":%d,"hardLimitMs":%d,"idempotency":"fragile","worth":5}%s],
                  "limits":{"maxAttempts":6,"cancel":%s,"secondCopies":%s,"retryAfter":true,
                            "maxRetryAfterMs":1500,"connectTimeoutMs":%d,"connIdleMs":60000},
                  "failureDomains":["a"],"kinds":["k"]}}
                """.formatted(
                                        text(options.listen),
                                        text(discovery),
                                        known,
                                        options.drainGraceMs,
                                        options.deadlineMs,
                                        options.deadlineMs,
                                        options.deadlineMs,
                                        options.deadlineMs,
                                        options.extraClasses,
                                        options.cancel,
                                        options.secondCopies,
                                        options.connectTimeoutMs))
                        .toString());
        Clock clock = options.clock;
        Config config = Config.load(environment);
        sidecar = new Sidecar(
                config,
                new ConfigFile(environment),
                new Log(options.logLines, clock),
                clock,
                options.drainTimes,
                Timing.standard(false, config.drainGraceMs()),
                null,
                null,
                ProcessMemory.withBudgets(options.memory));
        address = sidecar.start();
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    static String host(String name, InetSocketAddress address, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + text(address)
                + "\",\"site\":\"a\",\"class\":\"k\",\"block\":1,\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":0}";
    }

    static String list(long seq, String hosts) {
        return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + hosts + "]}";
    }

    static void answerList(FakeServer.Connection connection, String list) throws IOException {
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
    }

    static String read(String id) {
        return "GET /read?obj=1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: 6000\r\n\r\n";
    }

    static String submit(String id, int bytes) {
        return "POST /submit HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: 6000\r\nContent-Length: "
                + bytes + "\r\n\r\n";
    }

    /** Reads one answer with head and body; returns null at the end of the connection. */
    static String readAnswer(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String text = "";
        while (!text.contains("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            bytes.write(next);
            text = bytes.toString(StandardCharsets.ISO_8859_1);
        }
        int at = text.toLowerCase(Locale.ROOT).indexOf("content-length:");
        int length =
                Integer.parseInt(text.substring(at + 15, text.indexOf('\r', at)).trim());
        return text + new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    Client client() throws IOException {
        Client client = new Client(address);
        toClose.add(client);
        return client;
    }

    @Override
    public void close() throws IOException {
        for (Closeable each : toClose) {
            each.close();
        }
        drain();
    }

    /** Shuts the sidecar down, at most once. */
    void drain() {
        if (ended.compareAndSet(false, true)) {
            sidecar.drain();
        }
    }

    /** A client with one connection. */
    static final class Client implements Closeable {
        final Socket socket;

        Client(InetSocketAddress address) throws IOException {
            socket = new Socket();
            socket.setReceiveBufferSize(4096);
            socket.connect(address);
            socket.setSoTimeout(10_000);
        }

        Client write(String text) throws IOException {
            return write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        Client write(byte[] bytes) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
            return this;
        }

        /** Reads one answer; returns null at the end of the connection. */
        String read() throws IOException {
            return readAnswer(socket.getInputStream());
        }

        /** Closes the connection with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Closes the connection, with a reset or in order. */
        void disconnect(boolean reset) throws IOException {
            if (reset) {
                reset();
            } else {
                close();
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }

        void closeQuietly() {
            try {
                close();
            } catch (IOException e) {
                // The socket is closed nevertheless.
            }
        }
    }
}
