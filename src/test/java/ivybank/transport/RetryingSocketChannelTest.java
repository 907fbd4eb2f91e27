package ivybank.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.SelectionKey;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What polling a channel leaves behind at the selector. */
@Timeout(20)
class RetryingSocketChannelTest {

    private static final long LONGEST_FAILURE_MS = 1000;
    private static final long CONNECT_MS = 200;

    /** A channel that tells what it waits for. */
    private static final class TestChannel extends RetryingSocketChannel {

        TestChannel() {
            super(LONGEST_FAILURE_MS);
        }

        int interest() {
            SelectionKey key = registration().attachment();
            return key.interestOps();
        }
    }

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CompletableFuture<Boolean> up = new CompletableFuture<>();
    private ServerSocket server;

    @BeforeEach
    void listen() throws Exception {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void end() throws Exception {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    // Guards against a busy event loop: the selector reports a connected socket again and again while OP_CONNECT is
    // left set.
    @Test
    void aConnectionThatPollingFindsUpNoLongerWaitsToConnect() throws Exception {
        TestChannel channel = new TestChannel();
        CompletableFuture<Integer> interest = new CompletableFuture<>();
        loop.execute(() -> {
            connect(channel);
            loop.execute(() -> interest.complete(interestOncePolled(channel)));
        });
        assertTrue(up.get(10, TimeUnit.SECONDS), "it comes up");
        assertEquals(SelectionKey.OP_READ, interest.get(10, TimeUnit.SECONDS));
    }

    private void connect(TestChannel channel) {
        new Bootstrap()
                .group(loop)
                .channelFactory(() -> channel)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(server.getLocalSocketAddress())
                .addListener(connected -> up.complete(connected.isSuccess()));
    }

    /** Runs right behind the connect on the event loop, so that the selector has told nothing yet. */
    private static int interestOncePolled(TestChannel channel) {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONNECT_MS);
        while (!channel.isActive() && System.nanoTime() < untilNanos) {
            channel.poll();
        }
        return channel.interest();
    }
}
