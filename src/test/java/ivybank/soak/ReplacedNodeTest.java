package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.FakeServer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A new process comes up at the address of one that has ended, and the list tells of it before it tells of the end. */
@Timeout(60)
class ReplacedNodeTest {

    private static final int CLIENTS = 8;
    private static final long BEFORE_MS = 1500;
    private static final long PLAY_MS = 1500;
    /** A cold node starts at 12 % of its capacity and falls at 2.5 times that: what an equal share of two nodes is not. */
    private static final int MOST_PERCENT = 40;

    @TempDir
    Path folder;

    private final AtomicInteger atReplaced = new AtomicInteger();
    private final AtomicInteger inAll = new AtomicInteger();

    // Guards against a cold process that gets the share of the warm one which it has replaced at its address.
    @Test
    void aNewProcessAtAnOldAddressIsFedAsAColdOne() throws Exception {
        FakeServer.Script counting = connection -> {
            while (connection.read() != null) {
                inAll.incrementAndGet();
                connection.write(FakeServer.OK);
            }
        };
        FakeServer.Script replaced = connection -> {
            while (connection.read() != null) {
                inAll.incrementAndGet();
                atReplaced.incrementAndGet();
                connection.write(FakeServer.OK);
            }
        };
        try (Upstreams upstreams = new Upstreams(List.of(counting, replaced));
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams);
                AskingClients clients = new AskingClients(sidecar.port(), CLIENTS)) {
            Thread.sleep(BEFORE_MS);
            resetConnections(upstreams.servers.get(1));
            upstreams.addAtAddressOf(1, System.currentTimeMillis());
            agent.tell();
            Thread.sleep(BEFORE_MS / 3);
            int all = inAll.get();
            int cold = atReplaced.get();
            Thread.sleep(PLAY_MS);
            int percent = 100 * (atReplaced.get() - cold) / (inAll.get() - all);
            System.out.println("replaced node: " + percent + " % of " + (inAll.get() - all) + " requests");
            assertEquals(List.of(), clients.lost());
            assertTrue(percent <= MOST_PERCENT, percent + " %");
        }
    }

    private static void resetConnections(FakeServer server) throws IOException {
        for (java.net.Socket socket : server.accepted) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
