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
 * A request whose client has left while it waited is not sent on 0.1 s later, whatever it waits for and whether or not the
 * settings allow calling off. Each wait is made: nodes hold, let in, answer and turn away at an event of the test.
 */
@Timeout(30)
class DepartedClientTest {

    /** After this nothing of it reaches a node. */
    private static final int BOUND_MS = 100;

    private static final long LONGEST_LOOK_MS = 5;
    /** By then a node has read what was sent to it. */
    private static final int SENT_MS = 300;

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

    /** Lets in what waits for a connection, and sees to it that nothing comes on it. */
    private static void assertNothingIsSent(LateListener node) throws IOException {
        node.letIn();
        for (Socket late = node.next(4000); late != null; late = node.next(200)) {
            late.setSoTimeout(BOUND_MS);
            try {
                assertEquals(-1, late.getInputStream().read(), "something was sent on");
            } catch (SocketTimeoutException e) {
                // It stands idle: nothing was sent.
            }
        }
    }

    /** Until the sidecar has looked at its sockets so often that it has read what was written to it. */
    static void awaitPasses(SidecarRig rig) throws IOException {
        Client other = rig.client();
        for (int i = 0; i < 200; i++) { // each answer takes a pass at least
            assertNotNull(
                    other.write("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").read());
        }
    }

    /** Until the bound has gone by, without the time for which this machine had no core for the sidecar or for this test. */
    private static void awaitBound(SidecarRig rig) throws InterruptedException {
        long untilNanos = TimeUnit.MILLISECONDS.toNanos(BOUND_MS);
        for (long countedNanos = 0; countedNanos < untilNanos; ) {
            countedNanos += oneLook(rig).nanos();
        }
    }

    /** What the sidecar said when it was asked how many requests it has in hand, and the time since the look before. */
    private record Look(int inHand, long nanos) {}

    /**
     * Asks once, after a ms. The sidecar answers in its next pass, so that what goes beyond {@link #LONGEST_LOOK_MS} is time for
     * which this machine had no core for one of the two, and is left out.
     */
    private static Look oneLook(SidecarRig rig) throws InterruptedException {
        long fromNanos = System.nanoTime();
        Thread.sleep(1);
        int inHand = rig.sidecar.requestsInProgress();
        return new Look(
                inHand, Math.min(System.nanoTime() - fromNanos, TimeUnit.MILLISECONDS.toNanos(LONGEST_LOOK_MS)));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whileAConnectionComesUp(boolean cancel) throws Exception {
        try (LateListener node = new LateListener();
                SidecarRig rig = rig(host("s-1", node.address()), cancel)) {
            rig.client().write(SidecarRig.submit("a", 5) + "hello").close();
            Client resets = rig.client();
            resets.write(SidecarRig.read("b")).reset();
            Client leavesWithItsLastByte = rig.client().write(SidecarRig.submit("c", 5) + "hell");
            awaitPasses(rig);
            leavesWithItsLastByte.write("o").close();
            awaitBound(rig);
            assertNothingIsSent(node);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aBurstThatLeavesAtOnce(boolean cancel) throws Exception {
        try (LateListener node = new LateListener();
                SidecarRig rig = rig(host("s-1", node.address()), cancel)) {
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                clients.add(rig.client().write(SidecarRig.read("b" + i)));
            }
            for (Client each : clients) {
                each.socket.shutdownOutput(); // the end stands right behind the request
            }
            awaitBound(rig);
            assertNothingIsSent(node);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void withMoreThanIsKeptBehindIt(boolean cancel) throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        FakeServer node = FakeServer.holding(left, FakeServer.OK);
        try (node;
                SidecarRig rig = rig(host("s-1", node.address()), cancel)) {
            StringBuilder many = new StringBuilder();
            for (int i = 0; i < 3000; i++) {
                many.append(SidecarRig.read("m" + i));
            }
            Client client = rig.client().write(SidecarRig.read("first"));
            assertNotNull(node.nextRequest());
            client.write(many.toString()).close();
            awaitBound(rig);
            left.countDown();
            assertNull(node.requests.poll(500, TimeUnit.MILLISECONDS), "what waited behind it was sent on");
        }
    }

    /** The time until the sidecar has no request in hand, in ms; see {@link #oneLook}. */
    private static long untilNoneIsInHand(SidecarRig rig) throws InterruptedException {
        long countedNanos = 0;
        for (Look look = oneLook(rig); look.inHand() > 0; look = oneLook(rig)) {
            countedNanos += look.nanos();
        }
        return TimeUnit.NANOSECONDS.toMillis(countedNanos);
    }

    /** Sockets hold megabytes, and the client's end stands behind them. The best of some plays counts: this machine may be busy. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void withAsMuchAsTheSocketsHoldBehindIt(boolean readable) throws Exception {
        FakeServer node = new FakeServer(connection -> {
            while (connection.read() != null) { // takes requests and answers none
            }
        });
        byte[] much = readable
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
                    ByteBuffer rest = ByteBuffer.wrap(much);
                    long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(200);
                    while (rest.hasRemaining() && System.nanoTime() < untilNanos) {
                        client.write(rest);
                    }
                }
                bestMs = Math.min(bestMs, untilNoneIsInHand(rig));
            }
            assertTrue(bestMs <= BOUND_MS, "its end was seen after " + bestMs + " ms");
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void withSomethingUnreadableBehindIt(boolean cancel) throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        FakeServer node =
                FakeServer.holding(left, FakeServer.REJECTED); // a proof that it has not run: it may go to another one
        try (node;
                SidecarRig rig = rig(host("s-1", node.address()) + "," + host("s-2", node.address()), cancel)) {
            Client client = rig.client().write(SidecarRig.submit("a", 5) + "hello");
            assertNotNull(node.nextRequest());
            client.write("\u0001\u0002 no HTTP\r\n\r\n")
                    .write(new byte[600_000])
                    .close();
            awaitBound(rig);
            left.countDown();
            assertNull(node.requests.poll(500, TimeUnit.MILLISECONDS), "it was sent again");
        }
    }

    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void whileItsAttemptIsTurnedAway(boolean cancel, boolean reset) throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        FakeServer node = FakeServer.holding(left, FakeServer.REJECTED);
        try (node;
                SidecarRig rig = rig(host("s-1", node.address()) + "," + host("s-2", node.address()), cancel)) {
            Client client = rig.client().write(SidecarRig.submit("a", 5) + "hello");
            assertNotNull(node.nextRequest());
            client.leave(reset);
            awaitBound(rig);
            left.countDown();
            assertNull(node.requests.poll(500, TimeUnit.MILLISECONDS), "it was sent again");
        }
    }

    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void whileItWaitsForRoomAtANode(boolean cancel, boolean reset) throws Exception {
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
            Thread.sleep(SENT_MS);
            int sent = node.requests.size();
            node.requests.forEach(request -> clients.remove(request.replaceAll("(?s).*Call-Id: (\\S+).*", "$1")));
            assertTrue(clients.size() >= 10, "too few wait: " + clients.size());
            for (Client waits : clients.values()) {
                waits.leave(reset);
            }
            awaitBound(rig);
            left.countDown();
            while (rig.sidecar.requestsInProgress() > 0) {
                Thread.sleep(1);
            }
            Thread.sleep(SENT_MS);
            assertEquals(sent, node.requests.size(), "what waited was sent on");
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whileTheClientTakesNoneOfItsAnswers(boolean cancel) throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + "x".repeat(1_000_000);
        FakeServer node = new FakeServer(connection -> {
            for (String request = connection.read(); request != null; request = connection.read()) {
                connection.write(answer);
            }
        });
        try (node;
                SidecarRig rig = rig(host("s-1", node.address()), cancel)) {
            Client client = rig.client();
            StringBuilder many = new StringBuilder();
            for (int i = 0; i < 40; i++) { // their answers are far more than the sockets hold
                many.append(SidecarRig.read("m" + i));
            }
            client.write(many.toString());
            int before = -1;
            while (before != node.requests.size() || before == 0) { // until nothing moves any more
                before = node.requests.size();
                Thread.sleep(400);
            }
            client.socket.shutdownOutput();
            awaitBound(rig);
            int sent = node.requests.size();
            client.socket.setSoTimeout(500);
            try { // now there is room for answers again
                client.socket.getInputStream().readNBytes(30_000_000);
            } catch (IOException e) {
                // The sidecar has ended it.
            }
            assertEquals(sent, node.requests.size(), "what waited was sent on");
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whileNobodyTakesItsLongBody(boolean cancel) throws Exception {
        for (int bytes : new int[] {200_000, 3_000_000}) {
            try (LateListener node = new LateListener();
                    SidecarRig rig = rig(host("s-1", node.address()), cancel)) {
                Client client = rig.client();
                Thread writer = new Thread(() -> {
                    try {
                        client.write(SidecarRig.submit("long", bytes)).write(new byte[Math.min(bytes, 400_000)]);
                        client.close();
                    } catch (IOException e) {
                        // It is taken no further.
                    }
                });
                writer.start();
                writer.join(TimeUnit.SECONDS.toMillis(2));
                awaitBound(rig);
                assertNothingIsSent(node);
            }
        }
    }

    /** More than is read ahead of a body stands in the socket with the client's end behind it: its last byte is not sent on. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whileTheRestOfItsLongBodyStandsInTheSocket(boolean cancel) throws Exception {
        int bytes = 1_000_000;
        try (LateListener node = new LateListener();
                SidecarRig rig = rig(host("s-1", node.address()), cancel)) {
            Client client = rig.client().write(SidecarRig.submit("long", bytes)).write(new byte[bytes]);
            client.socket.shutdownOutput();
            awaitBound(rig);
            node.letIn();
            Socket late = node.next(4000);
            if (late != null) {
                late.setSoTimeout(1000);
                int came = 0;
                byte[] part = new byte[65_536];
                try {
                    for (int count = late.getInputStream().read(part);
                            count >= 0;
                            count = late.getInputStream().read(part)) {
                        came += count;
                    }
                } catch (IOException e) {
                    // A reset, or nothing more: it is not whole.
                }
                assertTrue(came < bytes, "all of it was sent on");
            }
        }
    }

    @Test
    void aClientThatStaysIsServedAllTheSame() throws Exception {
        try (LateListener node = new LateListener();
                SidecarRig rig = rig(host("s-1", node.address()), false)) {
            Client client = rig.client().write(SidecarRig.read("stays"));
            node.letIn();
            Socket late = node.next(4000);
            late.getInputStream().read(new byte[2000]);
            late.getOutputStream().write(FakeServer.OK.getBytes(StandardCharsets.ISO_8859_1));
            assertTrue(client.read().endsWith("body"));
        }
    }

    /** A node is told what is left to the client when its request leaves, not what was when its connection was begun. */
    @Test
    void whatWaitedForItsConnectionTellsWhatIsLeft() throws Exception {
        try (LateListener node = new LateListener();
                SidecarRig rig = rig(host("s-1", node.address()), false)) {
            rig.client().write(SidecarRig.read("waits"));
            while (rig.sidecar.requestsInProgress() == 0) {
                Thread.sleep(1);
            }
            long waitsNanos = System.nanoTime();
            Thread.sleep(SENT_MS);
            long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - waitsNanos);
            node.letIn();
            Socket late = node.next(4000);
            byte[] request = new byte[2000];
            int count = late.getInputStream().read(request);
            String head = new String(request, 0, count, StandardCharsets.ISO_8859_1);
            int toldMs = Integer.parseInt(head.replaceAll("(?s).*X-Budget-Ms: (\\d+)\r\n.*", "$1"));
            assertTrue(toldMs > 0 && toldMs <= 6000 - waitedMs, toldMs + " ms told after " + waitedMs + " of 6000 ms");
        }
    }
}
