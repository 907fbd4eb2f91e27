package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.soak.FaultySidecar.Agent;
import ivybank.soak.FaultySidecar.Upstreams;
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
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Upgrades in series, with two processes on one listening socket for a while, under system calls that fail at random in both. Clients
 * ask on for as long as their connections stay open; each old process is killed at the page's earliest. {@code -Dupgrade.seeds=1-9}
 * plays other seeds than that of the build.
 */
@Timeout(300)
class UpgradeSoakTest {

    private static final String SEEDS = System.getProperty("upgrade.seeds", "1-1");
    private static final int UPGRADES = 3;
    private static final int UPSTREAMS = 4;
    private static final int CLIENTS = 8;
    private static final long READY_MS = 30_000;
    private static final long KILLED_AFTER_MS = 3700;
    private static final long APART_MS = 1000;
    private static final double STORM_MS = 60_000;
    private static final int LEAST_ANSWERS = 500;
    private static final int HTTP_OK = 200;

    @TempDir
    Path folder;

    private final List<Long> started = new ArrayList<>();
    private final List<Path> logs = new ArrayList<>();

    static LongStream seeds() {
        String[] bounds = SEEDS.split("-");
        return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[bounds.length - 1]));
    }

    @AfterEach
    void end() {
        started.forEach(pid -> ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly));
    }

    // Guards against a request that is lost between two processes of one sidecar while system calls fail in both.
    @ParameterizedTest
    @MethodSource("seeds")
    void everyRequestIsAnsweredOverUpgradesWhileCallsFail(long seed) throws Exception {
        List<SyscallFaults> faults =
                List.of(new SyscallFaults(folder.resolve("faults-0")), new SyscallFaults(folder.resolve("faults-1")));
        try (Upstreams upstreams = new Upstreams(UPSTREAMS);
                Agent agent = new Agent(upstreams);
                SharedListener listener = new SharedListener(folder.resolve("platform.log"));
                SyscallStorm storm = new SyscallStorm(seed, faults, STORM_MS)) {
            long current = start(listener, agent, upstreams, faults.get(0));
            try (AskingClients clients = new AskingClients(listener.port(), CLIENTS)) {
                storm.start();
                for (int upgrade = 1; upgrade <= UPGRADES; upgrade++) {
                    Thread.sleep(APART_MS);
                    long next = start(listener, agent, upstreams, faults.get(upgrade % faults.size()));
                    endOld(current);
                    current = next;
                }
                Thread.sleep(APART_MS);
                System.out.println("upgrade soak seed " + seed + ": " + clients.answered() + " answered, lost "
                        + clients.lost() + ", failed calls " + storm.hits());
                assertEquals(List.of(), clients.lost(), () -> "seed " + seed + "\n" + storm.log());
                assertTrue(clients.answered() > LEAST_ANSWERS, clients.answered() + " answered");
                assertEquals(List.of(), violations());
            }
        }
    }

    private long start(SharedListener listener, Agent agent, Upstreams upstreams, SyscallFaults faults)
            throws Exception {
        int admin = FaultySidecar.freePort();
        int number = started.size();
        Path config = Files.writeString(
                folder.resolve("config-" + number + ".json"),
                FaultySidecar.config(listener.port(), agent.server, upstreams)
                        .replaceFirst("\"limits\":", "\"control\":\"127.0.0.1:" + admin + "\",\"limits\":"));
        Path log = folder.resolve("process-" + number + ".log");
        logs.add(log);
        long pid = listener.start("ulimit -n " + FaultySidecar.SOCKETS + " && export TMPDIR='" + folder
                + "' EDGE_INHERITED_FD=0 EDGE_CONFIG='" + config + "' " + faults.environment() + "&& "
                + ShortNight.program("") + "serve > '" + log + "' 2>&1");
        started.add(pid);
        awaitServing(pid, admin, log);
        return pid;
    }

    private static void awaitServing(long pid, int admin, Path log) throws Exception {
        long untilNanos = System.nanoTime() + READY_MS * 1_000_000;
        while (!serves(admin)) {
            assertTrue(ProcessHandle.of(pid).isPresent(), () -> "the process has ended, see " + log);
            assertTrue(System.nanoTime() < untilNanos, "it was not ready in time");
            Thread.sleep(20);
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

    private static void endOld(long pid) throws Exception {
        new ProcessBuilder("kill", "-TERM", String.valueOf(pid)).start().waitFor();
        Thread.sleep(KILLED_AFTER_MS);
        ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
    }

    private List<String> violations() throws IOException {
        List<String> found = new ArrayList<>();
        for (Path log : logs) {
            Files.readAllLines(log).stream()
                    .filter(line -> line.startsWith("guard: ") || line.contains("fault of this program"))
                    .forEach(found::add);
        }
        return found;
    }
}
