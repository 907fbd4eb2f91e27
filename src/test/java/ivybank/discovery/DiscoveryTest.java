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

/** What a sidecar that starts again asks of one discovery for all. */
class DiscoveryTest {

    private static final String WATCH = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String NOTHING = "{\"seq\":%d,\"whole\":false,\"hosts\":[]}\n";
    private static final String LIST =
            "{\"seq\":%d,\"whole\":true,\"hosts\":[{\"host\":\"b\",\"dial\":\"127.0.0.1:1\",\"health\":\"Ready\"}]}\n";
    private static final HostUpdate KNOWN =
            new HostUpdate(41, true, List.of(new HostUpdate.Entry("a", null, Status.READY, 0, "", "", 0, 1)));

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<HostUpdate> heard = new LinkedBlockingQueue<>();
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
                        heard::add,
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
    void aKnownListIsGoneOnFromInOneCall() throws Exception {
        server = new FakeServer(connection -> {
            connection.read();
            connection.write(WATCH + chunk(NOTHING.formatted(43)));
            connection.read();
        });
        follow(KNOWN.resumeFrom(true));
        assertTrue(server.nextRequest().startsWith("GET /registry/instances?stream=1&index=41 "));
        assertEquals(43, heard.poll(5, TimeUnit.SECONDS).seq());
        assertTrue(server.requests.isEmpty(), "one call is all it costs");
    }

    @Test
    void aWholeListThatAnswersTheWatchIsTaken() throws Exception {
        server = new FakeServer(connection -> {
            connection.read();
            connection.write(WATCH + chunk(LIST.formatted(7)));
            connection.read();
        });
        follow(41);
        HostUpdate update = heard.poll(5, TimeUnit.SECONDS);
        assertTrue(update.whole());
        assertEquals(7, update.seq());
    }

    @Test
    void aDiscoveryThatIsBehindTheKnownListIsAskedForItsOwn() throws Exception {
        server = new FakeServer(connection -> {
            for (String asked = connection.read(); asked != null; asked = connection.read()) {
                if (asked.contains("stream=1")) {
                    connection.write(WATCH + chunk(NOTHING.formatted(3)));
                } else {
                    list(connection, LIST.formatted(3));
                }
            }
        });
        follow(41);
        assertTrue(server.nextRequest().contains("index=41 "));
        assertTrue(server.nextRequest().startsWith("GET /registry/instances HTTP/1.1"));
        assertEquals(3, heard.poll(5, TimeUnit.SECONDS).seq());
        assertTrue(server.nextRequest().contains("index=3 "));
    }

    @Test
    void whereNothingIsKnownOrNobodyWaitsInTurnTheWholeListComesFirst() throws Exception {
        assertEquals(41, KNOWN.resumeFrom(true));
        assertEquals(-1, KNOWN.resumeFrom(false));
        assertEquals(-1, HostUpdate.EMPTY.resumeFrom(true));
        assertEquals(-1, new HostUpdate(41, false, KNOWN.entries()).resumeFrom(true), "a part of a list is no list");
        server = new FakeServer(connection -> connection.read());
        follow(HostUpdate.EMPTY.resumeFrom(true));
        assertTrue(server.nextRequest().startsWith("GET /registry/instances HTTP/1.1"));
    }
}
