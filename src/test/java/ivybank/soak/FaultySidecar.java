package ivybank.soak;

import ivybank.testing.DeployedOptions;
import ivybank.testing.FakeServer;
import ivybank.testing.ShortNight;
import ivybank.testing.SyscallFaults;
import ivybank.testing.SyscallFaults.Call;
import ivybank.testing.SyscallFaults.Errno;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

/** One sidecar as a process of its own, whose system calls a test can make fail. */
final class FaultySidecar implements AutoCloseable {

    private static final long READY_MS = 20_000;
    static final int SOCKETS = 384;
    /** Among the words of a node in the line of a second, which begins with its name. */
    private static final int HELD = 2;

    /** The limits of a process: on its file descriptors, and by options of the Java runtime beside its heap. */
    private record Limits(int sockets, String runtimeOptions) {}

    private static final int DEPLOYED_SOCKETS = 1024;
    static final int MEMORY_MB = 160;

    final SyscallFaults faults;
    final Path folder;
    private final int port;
    private final Process process;
    private final ProcessSignals signals = new ProcessSignals();

    /** Makes a pipe full and leaves it so: the process that is started next writes to it. */
    private static final String FULL_PIPE =
            "p=\"$TMPDIR/log.pipe\" && mkfifo \"$p\" && exec 3<>\"$p\" && head -c 65536 /dev/zero >&3 && exec >&3 2>&3 && ";

    /**
     * Starts one.
     *
     * @param limits what the process may take
     * @param before what the shell does first
     * @param arguments behind {@code serve}
     */
    private FaultySidecar(
            Path folder, Path config, int port, Limits limits, SyscallFaults faults, String before, String arguments)
            throws Exception {
        this.folder = folder;
        this.port = port;
        this.faults = faults;
        String line = "ulimit -n " + limits.sockets + " && export TMPDIR='" + folder + "' && " + before + "export "
                + faults.environment() + "&& EDGE_CONFIG='" + config + "' " + ShortNight.program(limits.runtimeOptions)
                + "serve "
                + arguments;
        process = new ProcessBuilder("/bin/sh", "-c", line)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()))
                .start();
    }

    /** A sidecar with one class of safe requests and a drain's grace of 500 ms, ready to serve. */
    static FaultySidecar start(Path folder, FakeServer discovery, Upstreams upstreams) throws Exception {
        return start(folder, discovery, upstreams, 0, "");
    }

    /**
     * The same.
     *
     * @param wallClockAheadMs how far its wall clock is ahead from its start on, in milliseconds
     * @param arguments behind {@code serve}
     */
    static FaultySidecar start(
            Path folder, FakeServer discovery, Upstreams upstreams, long wallClockAheadMs, String arguments)
            throws Exception {
        return start(folder, discovery, upstreams, wallClockAheadMs, "", arguments);
    }

    /** One whose standard output and error are a full pipe that nobody reads. */
    static FaultySidecar startWithFullLog(Path folder, FakeServer discovery, Upstreams upstreams) throws Exception {
        return start(folder, discovery, upstreams, 0, FULL_PIPE, "");
    }

    /** One with the limits of the deployment on descriptors and memory; it ends where its heap is used up. */
    static FaultySidecar startAsDeployed(Path folder, FakeServer discovery, Upstreams upstreams) throws Exception {
        return startAsDeployed(folder, discovery, upstreams, MEMORY_MB, DEPLOYED_SOCKETS);
    }

    /** The same with these limits, which stand in its settings. */
    static FaultySidecar startAsDeployed(
            Path folder, FakeServer discovery, Upstreams upstreams, int memoryMb, int sockets) throws Exception {
        return startAsDeployed(folder, discovery, upstreams, memoryMb, sockets, "");
    }

    /**
     * The same.
     *
     * @param arguments behind {@code serve}
     */
    static FaultySidecar startAsDeployed(
            Path folder, FakeServer discovery, Upstreams upstreams, int memoryMb, int sockets, String arguments)
            throws Exception {
        int port = freePort();
        String config = config(port, discovery, upstreams, memoryMb, sockets);
        Path file = Files.writeString(folder.resolve("config.json"), config);
        FaultySidecar sidecar = new FaultySidecar(
                folder,
                file,
                port,
                new Limits(sockets, DeployedOptions.read()),
                new SyscallFaults(folder.resolve("faults")),
                "",
                arguments);
        sidecar.awaitReady();
        return sidecar;
    }

    private static FaultySidecar start(
            Path folder,
            FakeServer discovery,
            Upstreams upstreams,
            long wallClockAheadMs,
            String before,
            String arguments)
            throws Exception {
        int port = freePort();
        SyscallFaults faults = new SyscallFaults(folder.resolve("faults"));
        faults.wallClockAhead(wallClockAheadMs);
        FaultySidecar sidecar = begin(folder, port, config(port, discovery, upstreams), faults, before, arguments);
        sidecar.awaitReady();
        return sidecar;
    }

    /** One that asks for lists and keeps a store; its folder is full from the start on, so that it does not get ready. */
    static FaultySidecar beginWithFullFolder(Path folder, FakeServer discovery, Upstreams upstreams) throws Exception {
        int port = freePort();
        SyscallFaults faults = new SyscallFaults(folder.resolve("faults"));
        faults.fail(Call.FULL_FOLDER, Errno.ENOSPC, SyscallFaults.ALWAYS);
        Path operator = Files.writeString(
                folder.resolve("operator.toml"),
                "[store]\nfolder = \"" + folder.resolve("store") + "\"\nfirst_start = \"make\"\n");
        String asking = config(port, discovery, upstreams)
                .replace("\"instances\":1", "\"instances\":1,\"membershipMode\":\"ask\"");
        return begin(folder, port, asking, faults, "", "--operator '" + operator + "'");
    }

    private static FaultySidecar begin(
            Path folder, int port, String config, SyscallFaults faults, String before, String arguments)
            throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        return new FaultySidecar(folder, file, port, new Limits(SOCKETS, ""), faults, before, arguments);
    }

    /** The configuration of one that listens at this port. */
    static String config(int port, FakeServer discovery, Upstreams upstreams) {
        return config(port, discovery, upstreams, MEMORY_MB, SOCKETS);
    }

    /** The same with these limits. */
    static String config(int port, FakeServer discovery, Upstreams upstreams, int memoryMb, int sockets) {
        return """
                {"name":"n0","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"ff0e5a0000000001",
                 "limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":%s,
                 "settings":{"instances":1,"tickMs":5,"tenants":[],
                  "contract":{"drainGraceMs":500,"coldFrom":0.12,"coldMs":22000,"overloadFactor":2.5,"fallMs":2000},
                  "lanes":[{"name":"read","aimMs":1500,"hardLimitMs":3000,"idempotency":"retryable","worth":1},
                           {"name":"submit","aimMs":1500,"hardLimitMs":3000,"idempotency":"fragile","worth":5}],
                  "limits":{"maxAttempts":6,"cancel":true,"secondCopies":true,"retryAfter":true,
                            "maxRetryAfterMs":1500,"connectTimeoutMs":250,"connIdleMs":15000},
                  "failureDomains":["a"],"kinds":["k"]}}
                """.formatted(port, discovery.address().getPort(), memoryMb, sockets, upstreams.list());
    }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** A request of the class of safe ones, with 3 s to be answered in. */
    static byte[] request(String callId) {
        return ("GET /read?obj=1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + callId + "\r\nX-Budget-Ms: 3000\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** A request of the class of those that must not be repeated, with 3 s to be answered in. */
    static byte[] unsafeRequest(String callId) {
        return ("POST /submit?obj=1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + callId
                        + "\r\nX-Budget-Ms: 3000\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    void awaitReady() throws Exception {
        long until = System.nanoTime() + READY_MS * 1_000_000;
        while (System.nanoTime() < until) {
            if (!process.isAlive()) {
                throw new IOException("the sidecar has ended: " + Files.readString(log()));
            }
            try (Socket socket = connect()) {
                socket.getOutputStream()
                        .write("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                if (new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith("200")) {
                    return;
                }
            } catch (IOException e) {
                // Nobody listens yet.
            }
            Thread.sleep(20);
        }
        throw new IOException("the sidecar was not ready in time");
    }

    /** Sends it a signal of this name, such as STOP. */
    void signal(String name) throws IOException {
        signals.send(name, process.pid());
    }

    /** Returns whether it is running. */
    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends it SIGTERM. */
    void terminate() {
        process.destroy();
    }

    int port() {
        return port;
    }

    long pid() {
        return process.pid();
    }

    Path log() {
        return folder.resolve("sidecar.log");
    }

    Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2000);
        socket.setSoTimeout(5000);
        return socket;
    }

    /** How many connections to upstreams it counts as open in the last line of its seconds; 0 where none has any. */
    int connectionsHeld() throws IOException {
        int held = 0;
        for (String line : Files.readAllLines(log())) {
            if (line.startsWith("tally ")) {
                held = Arrays.stream(line.split(" "))
                        .filter(word -> word.startsWith("/"))
                        .mapToInt(word -> Integer.parseInt(word.split("[=,]")[HELD]))
                        .sum();
            }
        }
        return held;
    }

    @Override
    public void close() {
        signals.close();
        process.destroyForcibly().onExit().join();
    }
}
