package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.FakeServer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A node resets connections right after it has accepted them, before it reads, like a node that is killed at that
 * moment.
 */
@Timeout(60)
class NodeKilledAfterAcceptTest {

    private static final int REQUESTS = 100;
    private static final int BODY_BYTES = 8;
    private static final Pattern CALL_ID = Pattern.compile("x-call-id: (\\S+)", Pattern.CASE_INSENSITIVE);

    @TempDir
    Path dir;

    /** Starts a node that resets each connection; every other one only after it has read a complete request. */
    private static FakeServer resettingNode() throws IOException {
        AtomicInteger connections = new AtomicInteger();
        return new FakeServer(connection -> {
            if (connections.incrementAndGet() % 2 == 0) {
                connection.read();
            }
            connection.reset();
        });
    }

    private SidecarRig rig(FakeServer... nodes) throws IOException {
        List<String> hosts = new ArrayList<>();
        for (FakeServer node : nodes) {
            hosts.add(SidecarRig.host("s-" + hosts.size(), node.address(), "Ready"));
        }
        return new SidecarRig(dir, FakeServer.nobody(), String.join(",", hosts), new SidecarRig.Options());
    }

    private static Map<String, Integer> timesRead(FakeServer... nodes) {
        Map<String, Integer> times = new HashMap<>();
        for (FakeServer node : nodes) {
            for (String request : node.requests) {
                Matcher id = CALL_ID.matcher(request);
                assertTrue(id.find(), request);
                times.merge(id.group(1), 1, Integer::sum);
            }
        }
        return times;
    }

    private static void assertAnswered(String answer, String request) {
        assertNotNull(answer, request);
        assertTrue(answer.toLowerCase(Locale.ROOT).startsWith("http/1.1 "), answer);
    }

    @Test
    void anUnsafeRequestIsReadAtMostOnceAndAnswered() throws Exception {
        FakeServer resettingNode = resettingNode();
        FakeServer healthyNode = FakeServer.answering(FakeServer.OK);
        try (resettingNode;
                healthyNode;
                SidecarRig rig = rig(resettingNode, healthyNode)) {
            for (int i = 0; i < REQUESTS; i++) {
                String head = SidecarRig.submit("u" + i, BODY_BYTES);
                assertAnswered(rig.client().write(head + "x".repeat(BODY_BYTES)).read(), head);
            }
            Map<String, Integer> times = timesRead(resettingNode, healthyNode);
            assertTrue(!resettingNode.accepted.isEmpty() && !times.isEmpty(), "the resetting node got no connection");
            times.forEach((id, read) -> assertEquals(1, read, id));
        }
    }

    @Test
    void aSafeRequestIsServedByAnotherNode() throws Exception {
        FakeServer resettingNode = resettingNode();
        FakeServer healthyNode = FakeServer.answering(FakeServer.OK);
        try (resettingNode;
                healthyNode;
                SidecarRig rig = rig(resettingNode, healthyNode)) {
            int served = 0;
            for (int i = 0; i < REQUESTS; i++) {
                String answer = rig.client().write(SidecarRig.read("s" + i)).read();
                assertAnswered(answer, "s" + i);
                served += answer.startsWith("HTTP/1.1 200") ? 1 : 0;
            }
            assertTrue(!resettingNode.accepted.isEmpty(), "the resetting node got no connection");
            assertEquals(REQUESTS, served);
        }
    }
}
