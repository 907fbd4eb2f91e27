package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.SyscallFaults;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
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
    private static final long KILLED_AFTER_MS = 3700;
    private static final long APART_MS = 1000;
    private static final double STORM_MS = 60_000;
    private static final int LEAST_ANSWERS = 500;

    @TempDir
    Path folder;

    static LongStream seeds() {
        String[] bounds = SEEDS.split("-");
        return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[bounds.length - 1]));
    }

    // Guards against a request that is lost between two processes of one sidecar while system calls fail in both.
    @ParameterizedTest
    @MethodSource("seeds")
    void everyRequestIsAnsweredOverUpgradesWhileCallsFail(long seed) throws Exception {
        List<SyscallFaults> faults =
                List.of(new SyscallFaults(folder.resolve("faults-0")), new SyscallFaults(folder.resolve("faults-1")));
        try (Upstreams upstreams = new Upstreams(UPSTREAMS);
                Agent agent = new Agent(upstreams);
                SharedListenerProcesses processes = new SharedListenerProcesses(folder, agent, upstreams);
                SyscallStorm storm = new SyscallStorm(seed, faults, STORM_MS)) {
            long current = processes.start(faults.get(0));
            try (AskingClients clients = new AskingClients(processes.port(), CLIENTS)) {
                storm.start();
                for (int upgrade = 1; upgrade <= UPGRADES; upgrade++) {
                    Thread.sleep(APART_MS);
                    long next = processes.start(faults.get(upgrade % faults.size()));
                    processes.end(current, KILLED_AFTER_MS);
                    current = next;
                }
                Thread.sleep(APART_MS);
                System.out.println("upgrade soak seed " + seed + ": " + clients.answered() + " answered, lost "
                        + clients.lost() + ", failed calls " + storm.hits());
                assertEquals(List.of(), clients.lost(), () -> "seed " + seed + "\n" + storm.log());
                assertTrue(clients.answered() > LEAST_ANSWERS, clients.answered() + " answered");
                assertEquals(List.of(), processes.violations());
            }
        }
    }
}
