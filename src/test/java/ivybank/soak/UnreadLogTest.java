package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A log that nobody takes. */
@Timeout(60)
class UnreadLogTest {

    private static final int UPSTREAMS = 3;
    private static final int CLIENTS = 4;
    private static final long BETWEEN_REQUESTS_MS = 15;
    private static final long SPAN_MS = 3000;
    /** In that span; a sidecar that stands still answers none. */
    private static final int LEAST_ANSWERS = 100;

    @TempDir
    Path folder;

    // Guards against an event loop that stands in a write to a pipe that is full.
    @Test
    void clientsAreServedWhileThePipeOfTheLogIsFull() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.startWithFullLog(folder, agent.server, upstreams);
                Load load = new Load(sidecar, CLIENTS, BETWEEN_REQUESTS_MS)) {
            Thread.sleep(SPAN_MS);
            int before = load.answered();
            Thread.sleep(SPAN_MS);
            int answered = load.answered() - before;
            assertTrue(answered > LEAST_ANSWERS, answered + " requests were answered");
        }
    }
}
