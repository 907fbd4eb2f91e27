package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.daemon.SidecarRig.Client;
import ivybank.testing.FakeServer;
import ivybank.testing.LateListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A waiting request whose client has disconnected is not forwarded 0.1 s later, whatever it waits for and whether or
 * not the settings allow cancellation. Each kind of wait is forced: nodes hold, accept, answer and reject when the test
 * says so.
 */
@Timeout(30)
class DisconnectedClientTest {

    /** The time after which no part of the request may reach a node. */
    private static final int BOUND_MS = 100;

    private static final long MAX_POLL_MS = 5;
    /** The time after which a node has read what was sent to it. */
    private static final int DELIVERY_MS = 300;

    @TempDir
    Path dir;

    private SidecarRig rig(String hosts, boolean cancel) throws IOException {
        SidecarRig.Options options = new SidecarRig.Options();
        options.cancel = cancel;
        return new SidecarRig(dir, FakeServer.nobody(), hosts, options);
    }

    private static String host(String name, InetSocketAddress address) {
        return SidecarRig.host(name, address, "Ready");
    }

    /** Accepts the pending connections, and checks that nothing is sent on them. */
    private static void assertNothingIsForwarded(LateListener node) throws IOException {
        node.letIn();
        for (Socket accepted = node.next(4000); accepted != null; accepted = node.next(200)) {
            accepted.setSoTimeout(BOUND_MS);
            try {
                assertEquals(-1, accepted.getInputStream().read(), "something was forwarded");
            } catch (SocketTimeoutException e) {
                // The connection is idle: nothing was sent.
            }
        }
    }

    /** Waits until the sidecar has polled its sockets so often that it has read everything written to it. */
    static void awaitPasses(SidecarRig rig) throws IOException {
        Client other = rig.client();
        for (int i = 0; i < 200; i++) { // each answer takes at least one pass
            assertNotNull(
                    other.write("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").read());
        }
    }

    /** Waits for the bound, not counting time in which the sidecar or this test had no core. */
    private static void awaitBound(SidecarRig rig) throws InterruptedException {
        long untilNanos = TimeUnit.MILLISECONDS.toNanos(BOUND_MS);
        for (long countedNanos = 0; countedNanos < untilNanos; ) {
            countedNanos += pollOnce(rig).nanos();
        }
    }

    /** The number of requests in progress, and the counted time since the previous poll. */
    private record Poll(int inProgress, long nanos) {}

    /**
     * Polls once, after 1 ms. The sidecar answers in its next pass, so that time beyond {@link #MAX_POLL_MS} is time in
     * which this machine had no core for the sidecar or for this test; it is not counted.
     */
    private static Poll pollOnce(SidecarRig rig) throws InterruptedException {
        long fromNanos = System.nanoTime();
        Thread.sleep(1);
        int inProgress = rig.sidecar.requestsInProgress();
        return new Poll(
                inProgress, Math.min(System.nanoTime() - fromNanos, TimeUnit.MILLISECONDS.toNanos(MAX_POLL_MS)));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whileAConnectionIsOpened(boolean cancel) throws Exception {
        try (LateListener node = new LateListener();
                SidecarRig rig = rig(host("s-1", node.address()), cancel)) {
            rig.client().write(SidecarRig.submit("a", 5) + "hello").close();
            Client resets = rig.client();
            resets.write(SidecarRig.read("b")).reset();
            Client disconnectsAfterLastByte = rig.client().write(SidecarRig.submit("c", 5) + "hell");
            awaitPasses(rig);
            disconnectsAfterLastByte.write("o").close();
            awaitBound(rig);
            assertNothingIsForwarded(node);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aBurstThatDisconnectsAtOnce(boolean cancel) throws Exception {
        try (LateListener node = new LateListener();
                SidecarRig rig = rig(host("s-1", node.address()), cancel)) {
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                clients.add(rig.client().write(SidecarRig.read("b" + i)));
            }
            for (Client each : clients) {
                each.socket.shutdownOutput(); // the end of the connection directly follows the request
            }
            awaitBound(rig);
            assertNothingIsForwarded(node);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void withMorePipelinedRequestsThanAreQueued(boolean cancel) throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        FakeServer node = FakeServer.holding(left, FakeServer.OK);
        try (node;
                SidecarRig rig = rig(host("s-1", node.address()), cancel)) {
            StringBuilder pipelined = new StringBuilder();
            for (int i = 0; i < 3000; i++) {
                pipelined.append(SidecarRig.read("m" + i));
            }
            Client client = rig.client().write(SidecarRig.read("first"));
            assertNotNull(node.nextRequest());
            client.write(pipelined.toString()).close();
            awaitBound(rig);
            left.countDown();
            assertNull(node.requests.poll(500, TimeUnit.MILLISECONDS), "a pipelined request was forwarded");
        }
    }

    /** Returns the time in milliseconds until the sidecar has no request in progress; see {@link #pollOnce}. */
    private static long awaitNoneInProgress(SidecarRig rig) throws InterruptedException {
        long countedNanos = 0;
        for (Poll poll = pollOnce(rig); poll.inProgress() > 0; poll = pollOnce(rig)) {
            countedNanos += poll.nanos();
        }
        return TimeUnit.NANOSECONDS.toMillis(countedNanos);
    }

    /** Sockets buffer megabytes before the client's end. The best try counts, because this machine may be busy. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void withFullSocketBuffersBehindIt(boolean readable) throws Exception {
        FakeServer node = new FakeServer(connection -> {
            while (connection.read() != null) { // reads requests and answers none
            }
        });
        byte[] bufferedBytes = readable
                ? SidecarRig.read("m").repeat(300_000).getBytes(StandardCharsets.ISO_8859_1)
                : new byte[30_000_000];
        try (node;
                SidecarRig rig = rig(host("s-1", node.address()), false)) {
            long bestMs = Long.MAX_VALUE;
            for (int play = 0; play < 8 && bestMs > BOUND_MS; play++) {
                try (SocketChannel client = SocketChannel.open()) {
                    client.setOption(StandardSocketOptions.SO_SNDBUF, 64 << 20); // as much as the system allows
                    client.connect(rig.address);
                    client.write(ByteBuffer.wrap(
                            (SidecarRig.submit("a" + play, 5) + "hello").getBytes(StandardCharsets.ISO_8859_1)));
                    assertNotNull(node.nextRequest());
                    if (!readable) {
                        client.write(
                                ByteBuffer.wrap("\u0001\u0002 no HTTP\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1)));
                    }
                    client.configureBlocking(false);
                    ByteBuffer rest = ByteBuffer.wrap(bufferedBytes);
                    long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(200);
                    while (rest.hasRemaining() && System.nanoTime() < untilNanos) {
                        client.write(rest);
                    }
                }
                bestMs = Math.min(bestMs, awaitNoneInProgress(rig));
            }
            assertTrue(bestMs <= BOUND_MS, "the disconnect was detected after " + bestMs + " ms");
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void withMalformedDataBehindIt(boolean cancel) throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        FakeServer node = FakeServer.holding(
                left, FakeServer.REJECTED); // proves that the request has not run, so that it can go to another node
        try (node;
                SidecarRig rig = rig(host("s-1", node.address()) + "," + host("s-2", node.address()), cancel)) {
            Client client = rig.client().write(SidecarRig.submit("a", 5) + "hello");
            assertNotNull(node.nextRequest());
            client.write("\u0001\u0002 no HTTP\r\n\r\n")
                    .write(new byte[600_000])
                    .close();
            awaitBound(rig);
            left.countDown();
            assertNull(node.requests.poll(500, TimeUnit.MILLISECONDS), "the request was sent again");
        }
    }

    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void whileItsAttemptIsRejected(boolean cancel, boolean reset) throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        FakeServer node = FakeServer.holding(left, FakeServer.REJECTED);
        try (node;
                SidecarRig rig = rig(host("s-1", node.address()) + "," + host("s-2", node.address()), cancel)) {
            Client client = rig.client().write(SidecarRig.submit("a", 5) + "hello");
            assertNotNull(node.nextRequest());
            client.disconnect(reset);
            awaitBound(rig);
            left.countDown();
            assertNull(node.requests.poll(500, TimeUnit.MILLISECONDS), "the request was sent again");
        }
    }

    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void whileItWaitsForCapacityAtANode(boolean cancel, boolean reset) throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        FakeServer node = FakeServer.holding(left, FakeServer.OK);
        try (node;
                SidecarRig rig = rig(host("s-1", node.address()), cancel)) {
            Map<String, Client> clients = new HashMap<>();
            for (int i = 0; i < 40; i++) {
                clients.put("r" + i, rig.client().write(SidecarRig.read("r" + i)));
            }
            while (rig.sidecar.requestsInProgress() < clients.size()) {
                Thread.sleep(1);
            }
            awaitPasses(rig);
            Thread.sleep(DELIVERY_MS);
            int sent = node.requests.size();
            node.requests.forEach(request -> clients.remove(request.replaceAll("(?s).*Call-Id: (\\S+).*", "$1")));
            assertTrue(clients.size() >= 10, "too few requests wait: " + clients.size());
            for (Client waits : clients.values()) {
                waits.disconnect(reset);
            }
            awaitBound(rig);
            left.countDown();
            while (rig.sidecar.requestsInProgress() > 0) {
                Thread.sleep(1);
            }
            Thread.sleep(DELIVERY_MS);
            assertEquals(sent, node.requests.size(), "a waiting request was forwarded");
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whileTheClientReadsNoAnswers(boolean cancel) throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + "x".repeat(1_000_000);
        FakeServer node = new FakeServer(connection -> {
            for (String request = connection.read(); request != null; request = connection.read()) {
                connection.write(answer);
            }
        });
        try (node;
                SidecarRig rig = rig(host("s-1", node.address()), cancel)) {
            Client client = rig.client();
            StringBuilder pipelined = new StringBuilder();
            for (int i = 0; i < 40; i++) { // their answers exceed the socket buffers by far
                pipelined.append(SidecarRig.read("m" + i));
            }
            client.write(pipelined.toString());
            int before = -1;
            while (before != node.requests.size() || before == 0) { // until the transfer has stopped
                before = node.requests.size();
                Thread.sleep(400);
            }
            client.socket.shutdownOutput();
            awaitBound(rig);
            int sent = node.requests.size();
            client.socket.setSoTimeout(500);
            try { // the answers can be sent again
                client.socket.getInputStream().readNBytes(30_000_000);
            } catch (IOException e) {
                // The sidecar has closed the connection.
            }
            assertEquals(sent, node.requests.size(), "a waiting request was forwarded");
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whileNoNodeReadsItsLongBody(boolean cancel) throws Exception {
        for (int bytes : new int[] {200_000, 3_000_000}) {
            try (LateListener node = new LateListener();
                    SidecarRig rig = rig(host("s-1", node.address()), cancel)) {
                Client client = rig.client();
                Thread writer = new Thread(() -> {
                    try {
                        client.write(SidecarRig.submit("long", bytes)).write(new byte[Math.min(bytes, 400_000)]);
                        client.close();
                    } catch (IOException e) {
                        // The sidecar reads no more of it.
                    }
                });
                writer.start();
                writer.join(TimeUnit.SECONDS.toMillis(2));
                awaitBound(rig);
                assertNothingIsForwarded(node);
            }
        }
    }

    /**
     * More of a body than is read ahead is buffered in the socket, followed by the end of the client's connection: its
     * last byte is not forwarded.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whileTheRestOfItsLongBodyIsBufferedInTheSocket(boolean cancel) throws Exception {
        int bytes = 1_000_000;
        try (LateListener node = new LateListener();
                SidecarRig rig = rig(host("s-1", node.address()), cancel)) {
            Client client = rig.client().write(SidecarRig.submit("long", bytes)).write(new byte[bytes]);
            client.socket.shutdownOutput();
            awaitBound(rig);
            node.letIn();
            Socket accepted = node.next(4000);
            if (accepted != null) {
                accepted.setSoTimeout(1000);
                int receivedBytes = 0;
                byte[] part = new byte[65_536];
                try {
                    for (int count = accepted.getInputStream().read(part);
                            count >= 0;
                            count = accepted.getInputStream().read(part)) {
                        receivedBytes += count;
                    }
                } catch (IOException e) {
                    // A reset or a timeout: the body is incomplete.
                }
                assertTrue(receivedBytes < bytes, "the complete body was forwarded");
            }
        }
    }

    @Test
    void aClientThatStaysIsServed() throws Exception {
        try (LateListener node = new LateListener();
                SidecarRig rig = rig(host("s-1", node.address()), false)) {
            Client client = rig.client().write(SidecarRig.read("stays"));
            node.letIn();
            Socket accepted = node.next(4000);
            accepted.getInputStream().read(new byte[2000]);
            accepted.getOutputStream().write(FakeServer.OK.getBytes(StandardCharsets.ISO_8859_1));
            assertTrue(client.read().endsWith("body"));
        }
    }

    /** A node gets the budget that is left when its request is sent, not when its connection was started. */
    @Test
    void aRequestThatWaitedForItsConnectionForwardsTheRemainingBudget() throws Exception {
        try (LateListener node = new LateListener();
                SidecarRig rig = rig(host("s-1", node.address()), false)) {
            rig.client().write(SidecarRig.read("waits"));
            while (rig.sidecar.requestsInProgress() == 0) {
                Thread.sleep(1);
            }
            long waitsNanos = System.nanoTime();
            Thread.sleep(DELIVERY_MS);
            long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - waitsNanos);
            node.letIn();
            Socket accepted = node.next(4000);
            byte[] request = new byte[2000];
            int count = accepted.getInputStream().read(request);
            String head = new String(request, 0, count, StandardCharsets.ISO_8859_1);
            int forwardedBudgetMs = Integer.parseInt(head.replaceAll("(?s).*X-Budget-Ms: (\\d+)\r\n.*", "$1"));
            assertTrue(
                    forwardedBudgetMs > 0 && forwardedBudgetMs <= 6000 - waitedMs,
                    forwardedBudgetMs + " ms forwarded after " + waitedMs + " of 6000 ms");
        }
    }
}
