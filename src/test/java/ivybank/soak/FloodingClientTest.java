package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.FakeServer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** One client sends at full speed on one connection while others ask as usual. */
@Timeout(60)
class FloodingClientTest {

    private static final int UPSTREAMS = 4;
    private static final int CLIENTS = 8;
    private static final int NODE_MS = 10;
    private static final long FLOOD_MS = 5000;
    private static final long AFTER_MS = 2000;
    private static final long BEFORE_END_MS = 1000;
    /** The longest deadline, 3 s at most, and 0.7 s. */
    private static final long KILLED_AFTER_MS = 3700;

    private static final int MEMORY_MB = 128;
    private static final int DESCRIPTORS = 1024;
    /** Of a hundred requests of the others, so many are served: those of usual nodes on a calm day. */
    private static final int LEAST_SERVED_PERCENT = 95;

    /** One connection may take half of the event loop's time, so the others are at least half as fast as without it. */
    private static final double LEAST_SPEED = 0.5;

    @TempDir
    Path folder;

    private static void serve(FakeServer.Connection connection) throws IOException, InterruptedException {
        while (connection.read() != null) {
            Thread.sleep(NODE_MS);
            connection.write(FakeServer.OK);
        }
    }

    // Guards against one client's flood that takes the event loop, and teaches the sidecar that its nodes are full.
    @ParameterizedTest
    @EnumSource(Flood.Kind.class)
    void othersAreServedBesideOneClientAtFullSpeed(Flood.Kind kind) throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, FloodingClientTest::serve);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar =
                        FaultySidecar.startAsDeployed(folder, agent.server, upstreams, MEMORY_MB, DESCRIPTORS);
                ResidentPeak peak = new ResidentPeak(List.of(sidecar.pid()));
                AskingClients others = new AskingClients(sidecar.port(), CLIENTS)) {
            try (Flood flood = new Flood(sidecar.port(), kind)) {
                Thread.sleep(FLOOD_MS);
                System.out.println("flood " + kind + ": " + flood.sent() + " bytes sent");
            }
            int answered = others.answered();
            int served = others.served();
            Thread.sleep(AFTER_MS);
            int answeredAfter = others.answered() - answered;
            int servedAfter = others.served() - served;
            System.out.println("flood " + kind + ": others " + served + " served of " + answered + ", after it "
                    + servedAfter + " of " + answeredAfter + ", lost " + others.lost() + ", peak " + peak.mebibytes()
                    + " MiB");
            assertEquals(List.of(), others.lost());
            assertTrue(
                    answered * AFTER_MS >= LEAST_SPEED * answeredAfter * FLOOD_MS,
                    answered + " answered beside it, " + answeredAfter + " in " + AFTER_MS + " ms after it");
            assertTrue(100 * served >= LEAST_SERVED_PERCENT * answered, served + " served of " + answered);
            assertTrue(100 * servedAfter >= LEAST_SERVED_PERCENT * answeredAfter, servedAfter + " after the flood");
            assertTrue(peak.mebibytes() <= MEMORY_MB, peak.mebibytes() + " MiB");
        }
    }

    // Guards against a client that goes on sending and keeps a process from ending before it is killed.
    @ParameterizedTest
    @EnumSource(Flood.Kind.class)
    void theProcessEndsBeforeItIsKilledWhateverOneClientSends(Flood.Kind kind) throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, FloodingClientTest::serve);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar =
                        FaultySidecar.startAsDeployed(folder, agent.server, upstreams, MEMORY_MB, DESCRIPTORS);
                Flood flood = new Flood(sidecar.port(), kind)) {
            Thread.sleep(BEFORE_END_MS);
            sidecar.terminate();
            Thread.sleep(KILLED_AFTER_MS);
            assertFalse(sidecar.isAlive(), "it has not ended after " + KILLED_AFTER_MS + " ms, " + flood.sent());
        }
    }
}
