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

/** A node that resets connections as soon as it has accepted them, before it reads, as one does that is killed just then. */
@Timeout(60)
class NodeKilledAfterAcceptTest {

    private static final int REQUESTS = 100;
    private static final int BODY_BYTES = 8;
    private static final Pattern CALL_ID = Pattern.compile("x-call-id: (\\S+)", Pattern.CASE_INSENSITIVE);

    @TempDir
    Path dir;

    /** Resets each connection; every other one only after a whole request has been read from it. */
    private static FakeServer killed() throws IOException {
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
    void anUnsafeRequestIsReadByOneNodeOnceAtMostAndAnswered() throws Exception {
        FakeServer killed = killed();
        FakeServer good = FakeServer.answering(FakeServer.OK);
        try (killed;
                good;
                SidecarRig rig = rig(killed, good)) {
            for (int i = 0; i < REQUESTS; i++) {
                String head = SidecarRig.submit("u" + i, BODY_BYTES);
                assertAnswered(rig.client().write(head + "x".repeat(BODY_BYTES)).read(), head);
            }
            Map<String, Integer> times = timesRead(killed, good);
            assertTrue(!killed.accepted.isEmpty() && !times.isEmpty(), "the node that is killed was not met");
            times.forEach((id, read) -> assertEquals(1, read, id));
        }
    }

    @Test
    void aSafeRequestIsServedByAnotherNode() throws Exception {
        FakeServer killed = killed();
        FakeServer good = FakeServer.answering(FakeServer.OK);
        try (killed;
                good;
                SidecarRig rig = rig(killed, good)) {
            int served = 0;
            for (int i = 0; i < REQUESTS; i++) {
                String answer = rig.client().write(SidecarRig.read("s" + i)).read();
                assertAnswered(answer, "s" + i);
                served += answer.startsWith("HTTP/1.1 200") ? 1 : 0;
            }
            assertTrue(!killed.accepted.isEmpty(), "the node that is killed was not met");
            assertEquals(REQUESTS, served);
        }
    }
}
