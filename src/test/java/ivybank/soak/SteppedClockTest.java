package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A real sidecar whose wall clock was stepped before it started, and an upstream that starts cold. */
@Timeout(60)
class SteppedClockTest {

    private static final int UPSTREAMS = 6;
    private static final long HOUR_MS = 3_600_000;
    private static final long COUNTED_MS = 4000;
    /** Of its even part of all requests: a cold one is sent about 0.5 in its first seconds, a warm one 1 and more. */
    private static final double MOST_PART = 0.8;

    @TempDir
    Path folder;

    @ParameterizedTest
    @ValueSource(longs = {0, HOUR_MS, -HOUR_MS})
    void aColdUpstreamIsSentWhatItBearsWhateverTheClock(long aheadMs) throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams, aheadMs, "");
                Load load = new Load(sidecar, 8, 40)) {
            Thread.sleep(3000);
            int[] before = counts(upstreams);
            upstreams.set(0, "Ready", System.currentTimeMillis());
            agent.tell();
            Thread.sleep(COUNTED_MS);
            int[] after = counts(upstreams);
            int all = 0;
            for (int i = 0; i < UPSTREAMS; i++) {
                all += after[i] - before[i];
            }
            int cold = after[0] - before[0];
            assertTrue(load.answered() > 100, load.answered() + " answers");
            assertTrue(cold > 0, "it is sent something");
            assertTrue(cold < MOST_PART * all / UPSTREAMS, cold + " of " + all + " go to the cold one");
        }
    }

    private static int[] counts(Upstreams upstreams) {
        return upstreams.servers.stream()
                .mapToInt(server -> server.requests.size())
                .toArray();
    }
}
