package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.daemon.SidecarRig.Client;
import ivybank.testing.FakeServer;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Idle clients take all descriptors that clients may have while discovery is down: discovery and nodes have others. */
@Timeout(60)
class CrowdWithoutDiscoveryTest {

    /** More than the sidecar's 1,024 descriptors; of those it accepts at most seven in ten. */
    private static final int CROWD = 1100;

    private static final int ANSWERED_MS = 10_000;

    @TempDir
    Path dir;

    private final AtomicBoolean down = new AtomicBoolean(true);
    private final CountDownLatch called = new CountDownLatch(1);
    private final List<Socket> crowd = new ArrayList<>();

    private FakeServer agent(String list) throws IOException {
        return new FakeServer(connection -> {
            if (down.get()) {
                connection.socket.close();
                return;
            }
            connection.read();
            called.countDown();
            SidecarRig.answerList(connection, SidecarRig.list(9, list));
            connection.read();
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
            connection.read();
        });
    }

    /** Whether the other side ends the connection without a word. */
    private static boolean isClosedUnread(Socket socket) throws IOException {
        socket.setSoTimeout(ANSWERED_MS);
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true; // a reset
        }
    }

    /** Asks on a new connection until one is not closed unread. */
    private static String ask(SidecarRig rig, String id) throws IOException {
        for (int i = 0; i < CROWD; i++) {
            try {
                String answer = rig.client().write(SidecarRig.read(id + i)).read();
                if (answer != null) {
                    return answer;
                }
            } catch (SocketException e) {
                // It was closed with the request unread.
            }
        }
        throw new IOException("closed each time");
    }

    @Test
    void theWatchComesBackAndRequestsAreServed() throws Exception {
        FakeServer before = FakeServer.answering(FakeServer.OK);
        FakeServer after = FakeServer.answering(FakeServer.OK);
        FakeServer agent = agent(SidecarRig.host("s-1", before.address(), "Terminating") + ","
                + SidecarRig.host("s-2", after.address(), "Ready"));
        try (before;
                after;
                agent;
                SidecarRig rig = new SidecarRig(
                        dir,
                        agent.address(),
                        SidecarRig.host("s-1", before.address(), "Ready"),
                        new SidecarRig.Options())) {
            for (int i = 0; i < CROWD; i++) {
                Client idle = rig.client();
                crowd.add(idle.socket);
            }
            assertTrue(ask(rig, "down").startsWith("HTTP/1.1 200"), "a node has a descriptor left");
            assertEquals(1, before.requests.size());
            down.set(false);
            assertTrue(called.await(ANSWERED_MS, TimeUnit.MILLISECONDS), "the watch comes back");
            for (int i = 0; after.requests.isEmpty(); i++) { // until the list has been read
                String served = ask(rig, "up" + i + "-");
                assertTrue(served.startsWith("HTTP/1.1 200"), served);
            }
            for (Socket idle : crowd) {
                assertTrue(isClosedUnread(idle), "neither served nor closed");
            }
        }
    }
}
