package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** More clients than a sidecar accepts connect while it ends. */
@Timeout(60)
class ShutdownCrowdTest {

    private static final int UPSTREAMS = 4;
    private static final int CLIENTS = 100;
    /** More than are accepted. */
    private static final int SILENT = 260;
    /** New connections go on coming for 0.2 to 0.4 s after SIGTERM. */
    private static final long CONNECT_AFTER_MS = 300;

    private static final int CONNECT_WITHIN_MS = 50;
    private static final int FOR_GOOD_MS = 1_000_000;
    /** SIGKILL comes 3.7 s after SIGTERM at the earliest. */
    private static final long KILLED_AFTER_MS = 3700;

    @TempDir
    Path folder;

    // Guards against clients in the backlog that are reset since the listener closes while no more connections are
    // accepted.
    @Test
    void clientsInTheBacklogAreAnsweredThoughAllConnectionsAreTakenAtShutdown() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams)) {
            sidecar.terminate();
            Thread.sleep(CONNECT_AFTER_MS);
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < SILENT; i++) {
                silent.add(sidecar.connect());
            }
            try (RestingClients clients = new RestingClients(
                    sidecar.port(), CLIENTS, RestingClients.once(1, CLIENTS, CONNECT_WITHIN_MS, FOR_GOOD_MS))) {
                Thread.sleep(KILLED_AFTER_MS - CONNECT_AFTER_MS);
                assertEquals(List.of(), clients.lost());
                assertEquals(CLIENTS, clients.answered());
            }
            for (Socket each : silent) {
                each.close();
            }
        }
    }
}
