package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.daemon.SidecarRig.Client;
import ivybank.testing.FakeServer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A client that sends many requests ahead on one connection: what is kept of them, what is refused, and where it ends. */
@Timeout(30)
class FloodingClientTest {

    @TempDir
    Path dir;

    private SidecarRig rig(FakeServer node) throws IOException {
        SidecarRig.Options options = new SidecarRig.Options();
        options.cancel = true;
        return new SidecarRig(dir, FakeServer.nobody(), SidecarRig.host("s-1", node.address(), "Ready"), options);
    }

    /** A client with a request at the node and so many behind it, all of which the sidecar has read. */
    private static Client flood(SidecarRig rig, FakeServer node, int requests) throws Exception {
        Client client = rig.client().write(SidecarRig.read("first"));
        assertNotNull(node.nextRequest());
        StringBuilder many = new StringBuilder();
        for (int i = 0; i < requests; i++) {
            many.append(SidecarRig.read("m" + i));
        }
        client.write(many.toString());
        DepartedClientTest.awaitPasses(rig);
        return client;
    }

    @Test
    void whatIsMoreThanMayWaitIsRefusedInItsTurn() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        FakeServer node = FakeServer.holding(go, FakeServer.OK);
        try (node;
                SidecarRig rig = rig(node)) {
            Client client = flood(rig, node, 100);
            go.countDown();
            int served = 0;
            boolean refused = false;
            for (int i = 0; i < 101; i++) {
                String answer = client.read();
                boolean ok = answer.startsWith("HTTP/1.1 200");
                assertTrue(
                        ok
                                || answer.startsWith("HTTP/1.1 503")
                                        && answer.toLowerCase(Locale.ROOT).contains("retry-after: 1.5"),
                        answer);
                assertTrue(!(ok && refused), "each in its turn");
                refused |= !ok;
                served += ok ? 1 : 0;
            }
            assertEquals(65, served);
            assertTrue(client.write(SidecarRig.read("then")).read().endsWith("body"), "and it goes on");
        }
    }

    /** Beyond a thousand nothing is looked at any more: the last refusal ends the connection, and the rest is read for its end alone. */
    @Test
    void whoSendsWithoutEndIsRefusedAThousandTimesAndThenClosed() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        FakeServer node = FakeServer.holding(go, FakeServer.OK);
        try (node;
                SidecarRig rig = rig(node)) {
            Client client = flood(rig, node, 3000);
            go.countDown();
            int served = 0;
            int refused = 0;
            String last = null;
            for (String answer = client.read(); answer != null; answer = client.read()) {
                served += answer.startsWith("HTTP/1.1 200") ? 1 : 0;
                refused += answer.startsWith("HTTP/1.1 503") ? 1 : 0;
                last = answer.toLowerCase(Locale.ROOT);
            }
            assertEquals(65, served);
            assertEquals(1025, refused);
            assertTrue(last.contains("connection: close") && last.contains("retry-after: 1.5"), last);
        }
    }
}
