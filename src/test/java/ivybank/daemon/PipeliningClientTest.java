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

/**
 * A client pipelines many requests on one connection: tests how many are queued, how many are refused, and when the
 * connection is closed.
 */
@Timeout(30)
class PipeliningClientTest {

    @TempDir
    Path dir;

    private SidecarRig rig(FakeServer node) throws IOException {
        SidecarRig.Options options = new SidecarRig.Options();
        options.cancel = true;
        return new SidecarRig(dir, FakeServer.nobody(), SidecarRig.host("s-1", node.address(), "Ready"), options);
    }

    /**
     * Returns a client with one request at the node and this many pipelined behind it, all of which the sidecar has
     * read.
     */
    private static Client pipeline(SidecarRig rig, FakeServer node, int requests) throws Exception {
        Client client = rig.client().write(SidecarRig.read("first"));
        assertNotNull(node.nextRequest());
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < requests; i++) {
            pipelined.append(SidecarRig.read("m" + i));
        }
        client.write(pipelined.toString());
        DisconnectedClientTest.awaitPasses(rig);
        return client;
    }

    @Test
    void requestsBeyondTheQueueLimitAreRefusedInOrder() throws Exception {
        CountDownLatch proceed = new CountDownLatch(1);
        FakeServer node = FakeServer.holding(proceed, FakeServer.OK);
        try (node;
                SidecarRig rig = rig(node)) {
            Client client = pipeline(rig, node, 100);
            proceed.countDown();
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
                assertTrue(!(ok && refused), "answers are out of order");
                refused |= !ok;
                served += ok ? 1 : 0;
            }
            assertEquals(65, served);
            assertTrue(
                    client.write(SidecarRig.read("then")).read().endsWith("body"),
                    "the connection is not usable any more");
        }
    }

    /**
     * After a thousand refusals no further request is parsed: the last refusal closes the connection, and the rest is
     * read only to detect its end.
     */
    @Test
    void anEndlessPipelineIsRefusedAThousandTimesAndThenClosed() throws Exception {
        CountDownLatch proceed = new CountDownLatch(1);
        FakeServer node = FakeServer.holding(proceed, FakeServer.OK);
        try (node;
                SidecarRig rig = rig(node)) {
            Client client = pipeline(rig, node, 3000);
            proceed.countDown();
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
