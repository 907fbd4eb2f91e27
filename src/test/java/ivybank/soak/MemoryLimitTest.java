package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.soak.PacedClients.Kind;
import ivybank.testing.DeployedOptions;
import ivybank.testing.SyscallFaults;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** A sidecar with the options and limits of the deployment, and hundreds of clients that write or read slowly. */
@Timeout(60)
class MemoryLimitTest {

    private static final int UPSTREAMS = 4;
    /** The limits of usual days, and the least memory of the operators' pages with the descriptors of usual days. */
    private static final int USUAL_MB = 128;

    private static final int LEAST_MB = 96;
    /** What an upgrade has for both processes: the most of usual days. */
    private static final int UPGRADE_MB = 192;
    /** Within this time each process knows of the other. */
    private static final long SHARED_AFTER_MS = 500;

    private static final int DESCRIPTORS = 1024;
    private static final int USUAL_CLIENTS = 300;
    private static final int MANY_CLIENTS = 450;
    private static final long PLAY_MS = 6000;
    private static final int SMALL_CLIENTS = 8;

    @TempDir
    Path folder;

    static Stream<Arguments> loads() {
        List<List<Kind>> loads = List.of(
                List.of(Kind.SHORT_FIELDS),
                List.of(Kind.HALF_BODY),
                List.of(Kind.SLOW_BODY),
                List.of(Kind.SLOW_READER),
                List.of(Kind.values()));
        return loads.stream()
                .flatMap(kinds -> Stream.of(
                        Arguments.of(kinds, USUAL_MB, USUAL_CLIENTS), Arguments.of(kinds, LEAST_MB, MANY_CLIENTS)));
    }

    // Guards against a process that is killed over its memory limit by clients that write or read slowly.
    @ParameterizedTest
    @MethodSource("loads")
    void slowClientsDoNotTakeTheProcessOverItsLimit(List<Kind> kinds, int memoryMb, int clients) throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, LongAnswers::serve);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar =
                        FaultySidecar.startAsDeployed(folder, agent.server, upstreams, memoryMb, DESCRIPTORS);
                ResidentPeak peak = new ResidentPeak(List.of(sidecar.pid()));
                PacedClients slow = new PacedClients(sidecar.port(), clients, kinds);
                AskingClients small = new AskingClients(sidecar.port(), SMALL_CLIENTS)) {
            Thread.sleep(PLAY_MS);
            System.out.println("memory limit " + kinds + ", " + clients + " clients, " + memoryMb + " MB: peak "
                    + peak.mebibytes() + " MiB, " + small.answered() + " small requests answered, " + small.served()
                    + " served, lost " + small.lost() + ", " + slow.ended() + " slow connections ended");
            assertTrue(sidecar.isAlive(), () -> "it has ended: " + log(sidecar));
            assertEquals(List.of(), small.lost(), () -> log(sidecar));
            assertTrue(peak.mebibytes() <= memoryMb, () -> peak.mebibytes() + " MiB\n" + log(sidecar));
        }
    }

    // Guards against two processes of an upgrade that each keep the whole limit.
    @Test
    void slowClientsDoNotTakeTwoProcessesOverTheLimitTogether() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, LongAnswers::serve);
                Agent agent = new Agent(upstreams);
                SharedListenerProcesses processes = new SharedListenerProcesses(
                        folder, agent, upstreams, UPGRADE_MB, DESCRIPTORS, DeployedOptions.read())) {
            long before = processes.start(new SyscallFaults(folder.resolve("faults-0")));
            try (PacedClients slow = new PacedClients(processes.port(), USUAL_CLIENTS, List.of(Kind.values()));
                    AskingClients small = new AskingClients(processes.port(), SMALL_CLIENTS)) {
                Thread.sleep(PLAY_MS / 2);
                long next = processes.start(new SyscallFaults(folder.resolve("faults-1")));
                Thread.sleep(SHARED_AFTER_MS);
                try (ResidentPeak peak = new ResidentPeak(List.of(before, next))) {
                    Thread.sleep(PLAY_MS);
                    System.out.println("memory limit, two processes, " + UPGRADE_MB + " MB: peak " + peak.mebibytes()
                            + " MiB, " + small.answered() + " small requests answered, " + small.served()
                            + " served, lost " + small.lost() + ", " + slow.ended() + " slow connections ended");
                    assertEquals(List.of(), small.lost());
                    assertTrue(peak.mebibytes() <= UPGRADE_MB, () -> peak.mebibytes() + " MiB");
                }
            }
        }
    }

    private static String log(FaultySidecar sidecar) {
        try {
            return Files.readString(sidecar.log());
        } catch (IOException e) {
            return e.toString();
        }
    }
}
