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

/** Tests tasks that continue after a step that throws, is lost or never ends. */
@Timeout(30)
class SupervisionTest {

    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
    private final Clock clock = Clock.system();
    private final Log log = new Log(new PrintStream(OutputStream.nullOutputStream()), clock);

    @AfterEach
    void end() {
        executor.shutdownNow();
    }

    /** A task that is overdue until it is restarted, and whose first restarts fail. */
    private final class OverdueTask implements SupervisedTask {
        final AtomicInteger attempts = new AtomicInteger();
        final CountDownLatch restarted = new CountDownLatch(1);
        private volatile double dueMs = clock.nowMs();

        @Override
        public String name() {
            return "overdue task";
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
            if (attempts.incrementAndGet() < 3) {
                throw new IllegalStateException("restart fails");
            }
            dueMs = NEVER;
            restarted.countDown();
        }
    }

    @Test
    void periodicTaskContinuesAfterAFailedRun() throws Exception {
        CountDownLatch runs = new CountDownLatch(5);
        PeriodicTask task = PeriodicTask.start("task", executor, clock, log, 5, () -> {
            runs.countDown();
            if (runs.getCount() % 2 == 0) {
                throw new IllegalStateException("expected failure");
            }
            throw new AssertionError("expected error");
        });
        assertTrue(runs.await(10, TimeUnit.SECONDS));
        task.stop();
        assertEquals(SupervisedTask.NEVER, task.dueMs());
    }

    @Test
    void overdueTaskIsRestartedUntilTheRestartSucceeds() throws Exception {
        OverdueTask task = new OverdueTask();
        Watchdog watchdog = new Watchdog(executor, clock, log);
        executor.submit(() -> {
                    watchdog.watch(task);
                    watchdog.start();
                })
                .get();
        assertTrue(task.restarted.await(10, TimeUnit.SECONDS));
        assertEquals(3, task.attempts.get());
    }

    /** Netty never completes the future of such a channel. */
    @Test
    void failureOfAChannelThatWasNeverCreatedIsReportedOnceOnTheEventLoop() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            EventLoop loop = group.next();
            BlockingQueue<String> events = new LinkedBlockingQueue<>();
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
                                    events.add("up");
                                }

                                @Override
                                public void failed(Throwable cause, boolean local) {
                                    events.add("failed " + local + " " + loop.inEventLoop());
                                }

                                @Override
                                public void closed() {
                                    events.add("closed");
                                }
                            }))
                    .get();
            assertEquals("failed true true", events.poll(10, TimeUnit.SECONDS));
            loop.submit(() -> connection.abandon("abandoned twice")).get();
            assertTrue(connection.isClosed());
            assertEquals(0, events.size());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(5, TimeUnit.SECONDS);
        }
    }

    @Test
    void startIsRetriedUnlessTheFailureIsPermanent() throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        assertEquals("done", StartRetry.call("startup", log, e -> false, () -> {
            if (attempts.incrementAndGet() < 3) {
                throw new IOException("No space left on device");
            }
            return "done";
        }));
        assertEquals(3, attempts.get());
        IOException permanent = assertThrows(
                IOException.class,
                () -> StartRetry.call("startup", log, e -> true, () -> {
                    throw new IOException("damaged");
                }));
        assertEquals("damaged", permanent.getMessage());
        assertFalse(StartRetry.isAddressInUse(permanent));
    }
}
