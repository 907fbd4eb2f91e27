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

/**
 * Idle clients use all descriptors that clients can have while discovery is down. Discovery and nodes have descriptors
 * of their own, so that the watch recovers and requests are served.
 */
@Timeout(60)
class IdleClientsWithoutDiscoveryTest {

    /** More than the sidecar's 1,024 descriptors, of which it accepts at most seven in ten for clients. */
    private static final int IDLE_CLIENTS = 1100;

    private static final int ANSWER_TIMEOUT_MS = 10_000;

    @TempDir
    Path dir;

    private final AtomicBoolean discoveryDown = new AtomicBoolean(true);
    private final CountDownLatch called = new CountDownLatch(1);
    private final List<Socket> idleClients = new ArrayList<>();

    private FakeServer agent(String list) throws IOException {
        return new FakeServer(connection -> {
            if (discoveryDown.get()) {
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

    /** Returns whether the other side closes the connection without sending anything. */
    private static boolean isClosedUnread(Socket socket) throws IOException {
        socket.setSoTimeout(ANSWER_TIMEOUT_MS);
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true; // a reset
        }
    }

    /**
     * Sends a request on new connections until one is served, for {@link #ANSWER_TIMEOUT_MS} at most. Retries where a
     * connection is closed unread, and where a request is refused while there are more idle clients than are served:
     * such an answer has to be a 503 with Retry-After, and its connection has to be closed. Anything else fails the
     * test.
     */
    private static String askUntilServed(SidecarRig rig, String id) throws IOException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ANSWER_TIMEOUT_MS);
        for (int i = 0; System.nanoTime() < endNanos; i++) {
            try (Client client = rig.client()) {
                String answer = client.write(SidecarRig.read(id + i)).read();
                if (answer != null && answer.startsWith("HTTP/1.1 200")) {
                    return answer;
                }
                assertTrue(answer == null || isRefusal(answer), answer);
                assertTrue(answer == null || isClosedUnread(client.socket), "a refused connection stays open");
            } catch (SocketException e) {
                // The connection was closed with the request unread.
            }
        }
        throw new IOException("not served within " + ANSWER_TIMEOUT_MS + " ms");
    }

    private static boolean isRefusal(String answer) {
        String lowerCase = answer.toLowerCase(Locale.ROOT);
        return answer.startsWith("HTTP/1.1 503") && lowerCase.contains("\r\nretry-after: ");
    }

    @Test
    void theWatchIsReopenedAndRequestsAreServed() throws Exception {
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
            for (int i = 0; i < IDLE_CLIENTS; i++) {
                Client idle = rig.client();
                idleClients.add(idle.socket);
            }
            askUntilServed(rig, "down");
            assertEquals(
                    1, before.requests.size(), "a descriptor is left for a node, and refused requests were not sent");
            discoveryDown.set(false);
            assertTrue(called.await(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS), "the watch is not reopened");
            for (int i = 0; after.requests.isEmpty(); i++) { // until the list has been applied
                askUntilServed(rig, "up" + i + "-");
            }
            for (Socket idle : idleClients) {
                assertTrue(isClosedUnread(idle), "neither served nor closed");
            }
        }
    }
}
