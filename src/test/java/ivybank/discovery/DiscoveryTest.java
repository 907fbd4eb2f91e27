package ivybank.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.policy.Balancer.Status;
import ivybank.testing.FakeServer;
import ivybank.testing.FakeServer.Connection;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests what a restarted sidecar requests from a discovery service shared by all sidecars. */
class DiscoveryTest {

    private static final String WATCH = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String NO_CHANGES = "{\"seq\":%d,\"whole\":false,\"hosts\":[]}\n";
    private static final String LIST =
            "{\"seq\":%d,\"whole\":true,\"hosts\":[{\"host\":\"b\",\"dial\":\"127.0.0.1:1\",\"health\":\"Ready\"}]}\n";
    private static final NodeListUpdate KNOWN =
            new NodeListUpdate(41, true, List.of(new NodeListUpdate.Entry("a", null, Status.READY, 0, "", "", 0, 1)));

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<NodeListUpdate> received = new LinkedBlockingQueue<>();
    private FakeServer server;

    @AfterEach
    void close() throws Exception {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private void follow(long from) {
        Clock clock = Clock.system();
        new Discovery(
                        group.next(),
                        new Bootstrap().channel(NioSocketChannel.class),
                        server.address(),
                        () -> null,
                        from,
                        Timing.standard(true, 500),
                        received::add,
                        clock,
                        new Log(new PrintStream(OutputStream.nullOutputStream()), clock))
                .start();
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
    }

    private static void list(Connection connection, String line) throws java.io.IOException {
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + line.length() + "\r\n\r\n" + line);
    }

    @Test
    void aKnownListIsResumedWithOneCall() throws Exception {
        server = new FakeServer(connection -> {
            connection.read();
            connection.write(WATCH + chunk(NO_CHANGES.formatted(43)));
            connection.read();
        });
        follow(KNOWN.resumeFrom(true));
        assertTrue(server.nextRequest().startsWith("GET /registry/instances?stream=1&index=41 "));
        assertEquals(43, received.poll(5, TimeUnit.SECONDS).seq());
        assertTrue(server.requests.isEmpty(), "one call is enough");
    }

    @Test
    void aWholeListInAnswerToAWatchIsApplied() throws Exception {
        server = new FakeServer(connection -> {
            connection.read();
            connection.write(WATCH + chunk(LIST.formatted(7)));
            connection.read();
        });
        follow(41);
        NodeListUpdate update = received.poll(5, TimeUnit.SECONDS);
        assertTrue(update.whole());
        assertEquals(7, update.seq());
    }

    @Test
    void aDiscoveryThatIsBehindTheKnownListIsCalledForItsOwn() throws Exception {
        server = new FakeServer(connection -> {
            for (String request = connection.read(); request != null; request = connection.read()) {
                if (request.contains("stream=1")) {
                    connection.write(WATCH + chunk(NO_CHANGES.formatted(3)));
                } else {
                    list(connection, LIST.formatted(3));
                }
            }
        });
        follow(41);
        assertTrue(server.nextRequest().contains("index=41 "));
        assertTrue(server.nextRequest().startsWith("GET /registry/instances HTTP/1.1"));
        assertEquals(3, received.poll(5, TimeUnit.SECONDS).seq());
        assertTrue(server.nextRequest().contains("index=3 "));
    }

    @Test
    void withoutAKnownListOrASharedServiceTheWholeListIsRequestedFirst() throws Exception {
        assertEquals(41, KNOWN.resumeFrom(true));
        assertEquals(-1, KNOWN.resumeFrom(false));
        assertEquals(-1, NodeListUpdate.EMPTY.resumeFrom(true));
        assertEquals(
                -1, new NodeListUpdate(41, false, KNOWN.entries()).resumeFrom(true), "a partial list can't be resumed");
        server = new FakeServer(connection -> connection.read());
        follow(NodeListUpdate.EMPTY.resumeFrom(true));
        assertTrue(server.nextRequest().startsWith("GET /registry/instances HTTP/1.1"));
    }
}
