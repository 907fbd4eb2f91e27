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

/** Tests the selector registration after polling a channel. */
@Timeout(20)
class RetryingSocketChannelTest {

    private static final long FAILURE_TIMEOUT_MS = 1000;
    private static final long CONNECT_TIMEOUT_MS = 200;

    /** A channel that exposes its interest set. */
    private static final class TestChannel extends RetryingSocketChannel {

        TestChannel() {
            super(FAILURE_TIMEOUT_MS);
        }

        int interestOps() {
            SelectionKey key = registration().attachment();
            return key.interestOps();
        }
    }

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CompletableFuture<Boolean> connected = new CompletableFuture<>();
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

    // A connected socket whose OP_CONNECT is left set would be reported by the selector in each pass and keep the event
    // loop busy.
    @Test
    void aConnectionEstablishedDuringPollClearsItsConnectInterest() throws Exception {
        TestChannel channel = new TestChannel();
        CompletableFuture<Integer> interest = new CompletableFuture<>();
        loop.execute(() -> {
            connect(channel);
            loop.execute(() -> interest.complete(interestAfterPolling(channel)));
        });
        assertTrue(connected.get(10, TimeUnit.SECONDS), "the connection is established");
        assertEquals(SelectionKey.OP_READ, interest.get(10, TimeUnit.SECONDS));
    }

    private void connect(TestChannel channel) {
        new Bootstrap()
                .group(loop)
                .channelFactory(() -> channel)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(server.getLocalSocketAddress())
                .addListener(future -> connected.complete(future.isSuccess()));
    }

    /** Polls directly after the connect on the event loop, before the selector has reported anything. */
    private static int interestAfterPolling(TestChannel channel) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONNECT_TIMEOUT_MS);
        while (!channel.isActive() && System.nanoTime() < deadlineNanos) {
            channel.poll();
        }
        return channel.interestOps();
    }
}
