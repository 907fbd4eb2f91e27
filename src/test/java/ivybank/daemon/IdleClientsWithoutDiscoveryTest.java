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
import java.util.Locale;
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

    /**
     * Asks on new connections until one is served, for {@link #ANSWERED_MS} at most. One that is closed unread is followed by
     * another, and so is one that is refused while the crowd is over what is served: such an answer has to be a 503 that says
     * when to come again, and its connection has to end. Anything else fails the test.
     */
    private static String askUntilServed(SidecarRig rig, String id) throws IOException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ANSWERED_MS);
        for (int i = 0; System.nanoTime() < endNanos; i++) {
            try (Client client = rig.client()) {
                String answer = client.write(SidecarRig.read(id + i)).read();
                if (answer != null && answer.startsWith("HTTP/1.1 200")) {
                    return answer;
                }
                assertTrue(answer == null || isRefusal(answer), answer);
                assertTrue(answer == null || isClosedUnread(client.socket), "a refused connection stays open");
            } catch (SocketException e) {
                // It was closed with the request unread.
            }
        }
        throw new IOException("not served within " + ANSWERED_MS + " ms");
    }

    private static boolean isRefusal(String answer) {
        String lowerCase = answer.toLowerCase(Locale.ROOT);
        return answer.startsWith("HTTP/1.1 503") && lowerCase.contains("\r\nretry-after: ");
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
            askUntilServed(rig, "down");
            assertEquals(
                    1, before.requests.size(), "a node has a descriptor left, and nothing was sent for those refused");
            down.set(false);
            assertTrue(called.await(ANSWERED_MS, TimeUnit.MILLISECONDS), "the watch comes back");
            for (int i = 0; after.requests.isEmpty(); i++) { // until the list has been read
                askUntilServed(rig, "up" + i + "-");
            }
            for (Socket idle : crowd) {
                assertTrue(isClosedUnread(idle), "neither served nor closed");
            }
        }
    }
}
