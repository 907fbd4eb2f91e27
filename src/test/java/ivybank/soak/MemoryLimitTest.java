package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.soak.PacedClients.Kind;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
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

    private static String log(FaultySidecar sidecar) {
        try {
            return Files.readString(sidecar.log());
        } catch (java.io.IOException e) {
            return e.toString();
        }
    }
}
