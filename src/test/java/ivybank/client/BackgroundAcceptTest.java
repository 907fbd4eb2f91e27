package ivybank.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests for how long accepted connections count as having waited. */
class BackgroundAcceptTest {

    private static final int HELD_UP_MS = 200;

    private final DefaultEventLoop loop = new DefaultEventLoop();

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    // Guards against connections that count as new although the accepting thread alone got its core late.
    @Test
    void aConnectionHasWaitedSinceItsRoundWasRequestedHoweverLateTheThreadRuns() throws Exception {
        Executor heldUp = round -> CompletableFuture.delayedExecutor(HELD_UP_MS, TimeUnit.MILLISECONDS)
                .execute(round);
        try (ServerSocketChannel listener = ServerSocketChannel.open()) {
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            listener.configureBlocking(false);
            InetSocketAddress address = (InetSocketAddress) listener.getLocalAddress();
            CompletableFuture<BackgroundAccept.Outcome> completed = new CompletableFuture<>();
            BackgroundAccept accept = new BackgroundAccept(listener, completed::complete, heldUp);
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                loop.execute(() -> accept.start(loop, 1, true));
                BackgroundAccept.Outcome outcome = completed.get(10, TimeUnit.SECONDS);
                assertTrue(client.isConnected());
                assertEquals(1, outcome.connections().size());
                double waitedMs = outcome.connections().get(0).maxWaitedMs();
                assertTrue(waitedMs >= HELD_UP_MS, "waited " + waitedMs + " ms");
                assertTrue(outcome.durationMs() >= HELD_UP_MS, "the round took " + outcome.durationMs() + " ms");
                outcome.connections().get(0).socket().close();
            }
        }
    }
}
