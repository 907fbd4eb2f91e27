package ivybank.supervision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import ivybank.common.Clock;
import ivybank.common.Log;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Chains of steps that go on after a step that throws, is lost or never ends. */
@Timeout(30)
class SupervisionTest {

    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
    private final Clock clock = Clock.system();
    private final Log log = new Log(new PrintStream(OutputStream.nullOutputStream()), clock);

    @AfterEach
    void end() {
        executor.shutdownNow();
    }

    /** A chain that is overdue until it is started again, and fails to be started the first times. */
    private final class LostChain implements SupervisedTask {
        final AtomicInteger tries = new AtomicInteger();
        final CountDownLatch restarted = new CountDownLatch(1);
        private volatile double dueMs = clock.nowMs();

        @Override
        public String name() {
            return "lost";
        }

        @Override
        public String state() {
            return "waiting";
        }

        @Override
        public double dueMs() {
            return dueMs;
        }

        @Override
        public void restart() {
            if (tries.incrementAndGet() < 3) {
                throw new IllegalStateException("not yet");
            }
            dueMs = NEVER;
            restarted.countDown();
        }
    }

    @Test
    void aRunThatThrowsIsFollowedByTheNext() throws Exception {
        CountDownLatch runs = new CountDownLatch(5);
        PeriodicTask task = PeriodicTask.start("task", executor, clock, log, 5, () -> {
            runs.countDown();
            if (runs.getCount() % 2 == 0) {
                throw new IllegalStateException("a fault");
            }
            throw new AssertionError("a worse one");
        });
        assertTrue(runs.await(10, TimeUnit.SECONDS));
        task.stop();
        assertEquals(SupervisedTask.NEVER, task.dueMs());
    }

    @Test
    void whatIsOverdueIsStartedAgainUntilThatSucceeds() throws Exception {
        LostChain chain = new LostChain();
        Watchdog watchdog = new Watchdog(executor, clock, log);
        executor.submit(() -> {
                    watchdog.watch(chain);
                    watchdog.start();
                })
                .get();
        assertTrue(chain.restarted.await(10, TimeUnit.SECONDS));
        assertEquals(3, chain.tries.get());
    }

    /** Netty's own future of such a channel is never completed. */
    @Test
    void theEndOfAChannelThatWasNeverMadeIsToldOnceAndOnTheEventLoop() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            EventLoop loop = group.next();
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            Bootstrap failing = new Bootstrap()
                    .group(loop)
                    .handler(new ChannelInboundHandlerAdapter())
                    .channelFactory(() -> {
                        throw new ChannelException("no descriptor");
                    });
            OutboundConnection connection = loop.submit(() -> OutboundConnection.open(
                            failing, loop, new InetSocketAddress("127.0.0.1", 1), new OutboundConnection.Listener() {
                                @Override
                                public void up(Channel channel) {
                                    told.add("up");
                                }

                                @Override
                                public void failed(Throwable cause, boolean local) {
                                    told.add("failed " + local + " " + loop.inEventLoop());
                                }

                                @Override
                                public void closed() {
                                    told.add("closed");
                                }
                            }))
                    .get();
            assertEquals("failed true true", told.poll(10, TimeUnit.SECONDS));
            loop.submit(() -> connection.abandon("again")).get();
            assertTrue(connection.isClosed());
            assertEquals(0, told.size());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(5, TimeUnit.SECONDS);
        }
    }

    @Test
    void whatAStartNeedsIsTriedAgainUnlessNoTimeMendsIt() throws Exception {
        AtomicInteger tries = new AtomicInteger();
        assertEquals("done", StartRetry.call("a start", log, e -> false, () -> {
            if (tries.incrementAndGet() < 3) {
                throw new IOException("No space left on device");
            }
            return "done";
        }));
        assertEquals(3, tries.get());
        IOException lasting = assertThrows(
                IOException.class,
                () -> StartRetry.call("a start", log, e -> true, () -> {
                    throw new IOException("damaged");
                }));
        assertEquals("damaged", lasting.getMessage());
        assertFalse(StartRetry.isAddressInUse(lasting));
    }
}
