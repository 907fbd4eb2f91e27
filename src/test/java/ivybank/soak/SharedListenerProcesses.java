package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.SharedListener;
import ivybank.testing.ShortNight;
import ivybank.testing.SyscallFaults;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Processes of one sidecar that share a listening socket, as during an upgrade. */
final class SharedListenerProcesses implements AutoCloseable {

    private static final long READY_MS = 30_000;
    private static final int HTTP_OK = 200;

    private final Path folder;
    private final Agent agent;
    private final Upstreams upstreams;
    private final SharedListener listener;
    private final int memoryMb;
    private final int sockets;
    private final String runtimeOptions;
    private String arguments = "";
    private final List<Long> started = new ArrayList<>();
    private final List<Path> logs = new ArrayList<>();

    /** @param folder takes configurations and logs */
    SharedListenerProcesses(Path folder, Agent agent, Upstreams upstreams) throws IOException {
        this(folder, agent, upstreams, FaultySidecar.MEMORY_MB, FaultySidecar.SOCKETS, "");
    }

    /**
     * The same with limits in the settings.
     *
     * @param runtimeOptions options of the Java runtime
     */
    SharedListenerProcesses(
            Path folder, Agent agent, Upstreams upstreams, int memoryMb, int sockets, String runtimeOptions)
            throws IOException {
        this.memoryMb = memoryMb;
        this.sockets = sockets;
        this.runtimeOptions = runtimeOptions;
        this.folder = folder;
        this.agent = agent;
        this.upstreams = upstreams;
        this.listener = new SharedListener(folder.resolve("platform.log"));
    }

    /** Has the processes that are started from now on keep promises in one store, by the header Idempotency-Key. */
    void useStore() throws IOException {
        useOperatorFile(Files.writeString(
                folder.resolve("operator.toml"),
                "[store]\nfolder = \"" + folder.resolve("store") + "\"\nfirst_start = \"make\"\n"));
    }

    /** Has the processes that are started from now on read this operator file. */
    void useOperatorFile(Path file) {
        arguments = " --operator '" + file + "'";
    }

    /** Returns where clients connect. */
    int port() {
        return listener.port();
    }

    /** Starts a process, waits until it serves, and returns its ID. */
    long start(SyscallFaults faults) throws Exception {
        int admin = FaultySidecar.freePort();
        int number = started.size();
        Path config = Files.writeString(
                folder.resolve("config-" + number + ".json"),
                FaultySidecar.config(listener.port(), agent.server, upstreams, memoryMb, sockets)
                        .replaceFirst("\"limits\":", "\"control\":\"127.0.0.1:" + admin + "\",\"limits\":"));
        Path log = folder.resolve("process-" + number + ".log");
        logs.add(log);
        long pid = listener.start("ulimit -n " + sockets + " && export TMPDIR='" + folder
                + "' EDGE_INHERITED_FD=0 EDGE_CONFIG='" + config + "' " + faults.environment() + "&& "
                + ShortNight.program(runtimeOptions) + "serve" + arguments + " > '" + log + "' 2>&1");
        started.add(pid);
        awaitServing(pid, admin, log);
        return pid;
    }

    private static void awaitServing(long pid, int admin, Path log) throws Exception {
        long untilNanos = System.nanoTime() + READY_MS * 1_000_000;
        while (!serves(admin)) {
            assertTrue(ProcessHandle.of(pid).isPresent(), () -> "the process has ended: " + text(log));
            assertTrue(System.nanoTime() < untilNanos, () -> "it was not ready in time: " + text(log));
            Thread.sleep(20);
        }
    }

    private static String text(Path log) {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static boolean serves(int admin) {
        try {
            HttpURLConnection call = (HttpURLConnection)
                    URI.create("http://127.0.0.1:" + admin + "/status").toURL().openConnection();
            call.setConnectTimeout(1000);
            call.setReadTimeout(1000);
            boolean serves = call.getResponseCode() == HTTP_OK;
            call.disconnect();
            return serves;
        } catch (IOException e) {
            return false; // not up yet, or a call of its own has failed
        }
    }

    /** Sends SIGTERM to a process, and SIGKILL after a delay if it is still running. */
    void end(long pid, long killDelayMs) throws Exception {
        terminate(pid);
        Thread.sleep(killDelayMs);
        ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
    }

    /** Sends SIGTERM to a process. */
    static void terminate(long pid) throws Exception {
        new ProcessBuilder("kill", "-TERM", String.valueOf(pid)).start().waitFor();
    }

    /** Returns the log of the process that was started last but for this many. */
    String log(int before) {
        return text(logs.get(logs.size() - 1 - before));
    }

    /** Returns the lines of all logs on violations that the guard prevented, and on faults of the program. */
    List<String> violations() throws IOException {
        List<String> found = new ArrayList<>();
        for (Path log : logs) {
            Files.readAllLines(log).stream()
                    .filter(line -> line.startsWith("guard: ") || line.contains("fault of this program"))
                    .forEach(found::add);
        }
        return found;
    }

    @Override
    public void close() {
        started.forEach(pid -> ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly));
        listener.close();
    }
}
