package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.daemon.SidecarRig.Client;
import ivybank.memory.MessageMemory;
import ivybank.testing.FakeServer;
import ivybank.testing.LateListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests that long bodies take no more memory than they may, and return it whatever becomes of their requests. */
@Timeout(30)
class LongBodyMemoryTest {

    private static final long MEBIBYTE = 1 << 20;
    /** What the sidecar reads from one connection at once, with what its parts take beside their bytes. */
    private static final long ONE_READ_BYTES = 2 * 16 * 1024;

    /** Longer than what is kept whole, and short enough to be read ahead. */
    private static final int BODY_BYTES = 300_000;
    /** More than all socket buffers on the way to a node hold together. */
    private static final int ENDLESS_BODY_BYTES = 24 << 20;

    private static final int BUDGET_MS = 1000;
    private static final int LATE_ANSWER_MS = 500;
    private static final int DRAIN_MS = 500;

    @TempDir
    Path dir;

    private final SidecarRig.Options options = new SidecarRig.Options();

    private SidecarRig rig(long directLimitBytes, InetSocketAddress node) throws IOException {
        options.drainTimes = new DrainTimes(0, 0, DRAIN_MS);
        options.memory = new MessageMemory(64 * MEBIBYTE, directLimitBytes);
        return new SidecarRig(dir, FakeServer.nobody(), SidecarRig.host("s-1", node, "Ready"), options);
    }

    private static byte[] longRequest(String id, int bodyBytes) {
        String head = SidecarRig.submit(id, bodyBytes).replace("Budget-Ms: 6000", "Budget-Ms: " + BUDGET_MS);
        return (head + "x".repeat(bodyBytes)).getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns the bytes that are reserved for long bodies. */
    private long reservedBytes(SidecarRig rig) {
        rig.sidecar.requestsInProgress(); // answered on the event loop, whose changes are seen from here on
        return options.memory.direct().reservedBytes();
    }

    private void awaitNothingReserved(SidecarRig rig, String what) throws InterruptedException {
        long endNanos = System.nanoTime() + 3_000_000_000L;
        while (reservedBytes(rig) > 0 && System.nanoTime() < endNanos) {
            Thread.sleep(5);
        }
        assertEquals(0, reservedBytes(rig), "bytes still held " + what);
    }

    /** Waits until a body is held whole, with no attempt that takes it. */
    private void awaitReadAhead(SidecarRig rig) throws InterruptedException {
        long before = 0;
        for (long held = reservedBytes(rig); held < BODY_BYTES / 2 || held > before; held = reservedBytes(rig)) {
            before = held;
            Thread.sleep(50);
        }
    }

    // Guards against refused requests that keep their buffers until no memory is left and nothing is answered any more.
    @Test
    void aLongRequestThatIsAnsweredBeforeAnAttemptTakesItsBodyReturnsItsMemory() throws Exception {
        try (LateListener node = new LateListener();
                SidecarRig rig = rig(64 * MEBIBYTE, node.address())) {
            Client client = rig.client();
            client.write(longRequest("a", BODY_BYTES));
            awaitReadAhead(rig);
            assertTrue(client.read().startsWith("HTTP/1.1 50"));
            awaitNothingReserved(rig, "after the answer");
        }
    }

    // Guards against buffers that are lost with each client that leaves while its whole request waits for a connection.
    @Test
    void aLongRequestWhoseClientLeavesBeforeAnAttemptTakesItsBodyReturnsItsMemory() throws Exception {
        try (LateListener node = new LateListener();
                SidecarRig rig = rig(64 * MEBIBYTE, node.address())) {
            Client client = rig.client();
            client.write(longRequest("a", BODY_BYTES));
            awaitReadAhead(rig);
            client.close();
            awaitNothingReserved(rig, "after the client has left");
        }
    }

    // Guards against bodies that wait for an attempt and together take more memory than there is; each is answered in
    // time.
    @Test
    void bodiesThatNobodyTakesAreNotReadOnWhereMemoryIsScarce() throws Exception {
        int clients = 30;
        try (LateListener node = new LateListener();
                SidecarRig rig = rig(MEBIBYTE, node.address())) {
            List<Client> waiting = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                waiting.add(rig.client());
            }
            long fromNanos = System.nanoTime();
            for (int i = 0; i < clients; i++) {
                waiting.get(i).write(longRequest("a" + i, BODY_BYTES));
            }
            assertBounded(rig, MEBIBYTE + clients * ONE_READ_BYTES, BUDGET_MS / 2);
            for (Client client : waiting) {
                assertTrue(client.read().startsWith("HTTP/1.1 50"));
            }
            long tookMs = (System.nanoTime() - fromNanos) / 1_000_000;
            assertTrue(tookMs < BUDGET_MS + LATE_ANSWER_MS, "answered after " + tookMs + " ms");
            awaitNothingReserved(rig, "after the answers");
        }
    }

    // Guards against uploads to nodes that do not read, whose unsent parts together take more memory than there is.
    @Test
    void uploadsToNodesThatDoNotReadAreNotReadOnWhereMemoryIsUsedUp() throws Exception {
        int clients = 12;
        FakeServer node = new FakeServer(connection -> Thread.sleep(20_000));
        try (node;
                SidecarRig rig = rig(MEBIBYTE / 2, node.address())) {
            for (int i = 0; i < clients; i++) {
                Client client = rig.client();
                byte[] request = longRequest("a" + i, ENDLESS_BODY_BYTES);
                Thread writer = new Thread(() -> {
                    try {
                        client.write(request);
                    } catch (IOException e) {
                        // The request is answered before its end.
                    }
                });
                writer.setDaemon(true);
                writer.start();
            }
            while (reservedBytes(rig) < MEBIBYTE / 4) { // from there on nothing is read ahead
                Thread.sleep(1);
            }
            assertBounded(rig, MEBIBYTE / 2 + clients * ONE_READ_BYTES, 1000);
        }
    }

    private void assertBounded(SidecarRig rig, long maxBytes, long forMs) throws InterruptedException {
        long endNanos = System.nanoTime() + forMs * 1_000_000;
        long mostBytes = 0;
        while (System.nanoTime() < endNanos) {
            mostBytes = Math.max(mostBytes, reservedBytes(rig));
            Thread.sleep(1);
        }
        assertTrue(mostBytes <= maxBytes, mostBytes + " bytes are held, " + maxBytes + " may be");
    }
}
