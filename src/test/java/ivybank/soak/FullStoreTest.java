package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.store.FileSystemDisk;
import ivybank.store.Limits;
import ivybank.store.Store;
import ivybank.store.StoreMaintenance;
import ivybank.testing.DeployedOptions;
import ivybank.testing.SyscallFaults;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A sidecar that comes back to a store with as many identities as it may keep. */
@Timeout(120)
class FullStoreTest {

    private static final int UPSTREAMS = 4;
    /** The standard value of {@code most}. */
    private static final int IDENTITIES = 100_000;

    private static final int ANSWER_BYTES = 200;
    private static final Limits STANDARD = new Limits(64L << 20, 1 << 20, 64 << 10, 4 << 20);
    private static final int SMALLER_MEMORY_MB = 96;
    private static final int USUAL_MEMORY_MB = 192;
    private static final int SOCKETS = 1024;
    private static final int CLIENTS = 250;
    private static final int BODY_BYTES = 60_000;
    private static final long TRAFFIC_MS = 10_000;
    private static final int ANSWER_TIMEOUT_MS = 3500;
    /** SIGKILL comes the longest deadline, 3 s, and 0.7 s after SIGTERM. */
    private static final long KILL_MS = 3700;

    private static final byte KIND_ACKED = 2;

    @TempDir
    Path folder;

    private final AtomicInteger served = new AtomicInteger();

    private static String identity(int number) {
        return String.format(Locale.ROOT, "%032x", number * 0x9e3779b97f4a7c15L);
    }

    /** Writes the records of answered requests, in the form of a sidecar that has served them. */
    private Path fill() throws Exception {
        Path store = folder.resolve("store");
        StoreMaintenance.create(FileSystemDisk.lock(store), STANDARD, "n0", () -> "full");
        Semaphore waiting = new Semaphore(500);
        try (Store open = Store.open(FileSystemDisk.lock(store), STANDARD, false, (key, value) -> {}, Thread::new)) {
            for (int i = 0; i < IDENTITIES; i++) {
                waiting.acquire();
                byte[] record = ByteBuffer.allocate(13 + ANSWER_BYTES)
                        .put(KIND_ACKED)
                        .putLong(System.currentTimeMillis())
                        .putShort((short) 200)
                        .putShort((short) 0)
                        .array();
                open.put(
                        ("submit\n" + identity(i)).getBytes(StandardCharsets.UTF_8),
                        record,
                        outcome -> waiting.release());
            }
            waiting.acquire(500);
        }
        return Files.writeString(folder.resolve("operator.toml"), "[store]\nfolder = \"" + store + "\"\n");
    }

    // Guards against a process that ends out of memory, since the identities that it keeps are in no row of its memory.
    @Test
    void longBodiesDoNotEndASidecarWithAFullStore() throws Exception {
        Path operator = fill();
        try (Upstreams upstreams = new Upstreams(UPSTREAMS);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.startAsDeployed(
                        folder, agent.server, upstreams, USUAL_MEMORY_MB, SOCKETS, "--operator '" + operator + "'")) {
            long untilNanos = System.nanoTime() + TRAFFIC_MS * 1_000_000;
            startLongBodies(sidecar.port(), untilNanos);
            while (System.nanoTime() < untilNanos && sidecar.isAlive()) {
                Thread.sleep(50);
            }
            String log = Files.readString(sidecar.log());
            assertTrue(sidecar.isAlive(), log);
            assertTrue(served.get() > 0, "long bodies are served");
            assertTrue(log.contains("identities of the store 100000 x"), log);
            assertTrue(log.contains("100000 acked and 0 in doubt"), log);
            assertEquals(200, status(sidecar.port(), identity(0), 0), "the first answer is on record still");
        }
    }

    // Guards against a start beyond the memory of the settings that nobody hears of.
    @Test
    void whereNotAllIdentitiesFitTheLogSaysHowManyAreKept() throws Exception {
        Path operator = fill();
        try (Upstreams upstreams = new Upstreams(UPSTREAMS);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.startAsDeployed(
                        folder, agent.server, upstreams, SMALLER_MEMORY_MB, SOCKETS, "--operator '" + operator + "'")) {
            String log = Files.readString(sidecar.log());
            assertTrue(log.contains("most = 100000 does not fit into memory"), log);
            assertTrue(log.matches("(?s).*only \\d+ identities are kept.*"), log);
            assertEquals(200, status(sidecar.port(), identity(IDENTITIES - 1), 0), "the latest ones are kept");
        }
    }

    // Guards against two processes of an upgrade that hold a full store, or count it, both at the same time.
    @Test
    void anUpgradeWithAFullStoreStaysWithinTheLimitAndLosesNoRecord() throws Exception {
        Path operator = fill();
        try (Upstreams upstreams = new Upstreams(UPSTREAMS);
                Agent agent = new Agent(upstreams);
                SharedListenerProcesses processes = new SharedListenerProcesses(
                        folder, agent, upstreams, USUAL_MEMORY_MB, SOCKETS, DeployedOptions.read())) {
            processes.useOperatorFile(operator);
            long before = processes.start(new SyscallFaults(folder.resolve("faults-0")));
            startLongBodies(processes.port(), System.nanoTime() + TRAFFIC_MS * 1_000_000);
            Thread.sleep(TRAFFIC_MS / 4);
            long next = processes.start(new SyscallFaults(folder.resolve("faults-1")));
            try (ResidentPeak peak = new ResidentPeak(List.of(before, next))) {
                processes.end(before, KILL_MS);
                Thread.sleep(TRAFFIC_MS / 4);
                System.out.println("upgrade with a full store: peak " + peak.mebibytes() + " MiB, " + served
                        + " long bodies served");
                assertTrue(ProcessHandle.of(next).isPresent(), () -> processes.log(0));
                assertTrue(peak.mebibytes() << 20 <= USUAL_MEMORY_MB * 1_000_000L, () -> peak.mebibytes() + " MiB");
            }
            assertEquals(200, status(processes.port(), identity(0), 0), "the first answer is on record still");
        }
    }

    private void startLongBodies(int port, long untilNanos) {
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            Thread thread = new Thread(() -> sendLongBodies(port, client, untilNanos));
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void sendLongBodies(int port, int client, long untilNanos) {
        for (int number = 0; System.nanoTime() < untilNanos; number++) {
            try {
                served.addAndGet(status(port, client + "-" + number, BODY_BYTES) == 200 ? 1 : 0);
            } catch (IOException e) {
                // Refused while it was sending, or the process has ended, which the test sees.
            }
        }
    }

    private static int status(int port, String identity, int bytes) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(ANSWER_TIMEOUT_MS);
            String head = "POST /submit?obj=1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: call-" + identity
                    + "\r\nX-Budget-Ms: 3000\r\nIdempotency-Key: " + identity + "\r\nContent-Length: " + bytes
                    + "\r\n\r\n";
            socket.getOutputStream().write((head + "x".repeat(bytes)).getBytes(StandardCharsets.US_ASCII));
            return ReceivedAnswer.read(socket).status();
        }
    }
}
