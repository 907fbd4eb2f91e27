package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import ivybank.common.Clock;
import ivybank.common.DescriptorBudget;
import ivybank.common.Log;
import ivybank.discovery.Directory;
import ivybank.discovery.NodeListUpdate;
import ivybank.discovery.NodeListUpdate.Entry;
import ivybank.exchange.Answer;
import ivybank.exchange.ClientRequest;
import ivybank.exchange.SendRecord;
import ivybank.policy.Balancer;
import ivybank.policy.Balancer.AttemptEnd;
import ivybank.policy.Balancer.Outcome;
import ivybank.policy.Balancer.Request;
import ivybank.policy.Balancer.Status;
import ivybank.policy.NoOpBalancer;
import ivybank.settings.SettingsParser;
import ivybank.testing.FakeServer;
import ivybank.upstream.LoadReport;
import ivybank.upstream.UpstreamPool;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests attempts that a decision module requests at a problematic moment, with a node on a real socket. */
@Timeout(20)
class RequestDispatcherTest {

    private static final int UNKNOWN_NODE = 99;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock = Clock.system();
    private final Log log = new Log(new PrintStream(OutputStream.nullOutputStream()), clock);
    private final BlockingQueue<AttemptEnd> ends = new LinkedBlockingQueue<>();
    private final BlockingQueue<Request> moduleRequests = new LinkedBlockingQueue<>();
    private FakeServer node;
    private RequestDispatcher dispatcher;
    private Balancer.Actions actions;

    @BeforeEach
    void start() throws Exception {
        node = FakeServer.answering(FakeServer.OK);
        onLoop(() -> {
            UpstreamPool pool = new UpstreamPool(
                    loop,
                    clock,
                    UpstreamPool.Limits.standard(10, 250, 10_000, 0),
                    new DescriptorBudget(20),
                    new LoadReport(List.of()),
                    new Bootstrap().channel(NioSocketChannel.class),
                    log);
            Directory directory = new Directory(List.of("a"), List.of("k"), pool::closeIdle);
            dispatcher = new RequestDispatcher(
                    SettingsParser.parse(
                            "lanes.count=1\nlanes.0.name=submit\nlanes.0.hardLimitMs=6000\nlimits.maxAttempts=6\n"),
                    1,
                    (settings, seed, moduleActions) -> {
                        actions = moduleActions;
                        return new NoOpBalancer() {
                            @Override
                            public void request(double nowMs, Request request) {
                                moduleRequests.add(request);
                            }

                            @Override
                            public void attemptEnded(double nowMs, AttemptEnd end) {
                                ends.add(end);
                            }
                        };
                    },
                    loop,
                    clock,
                    directory,
                    pool,
                    log);
            dispatcher.start(new NodeListUpdate(
                    1, true, List.of(new Entry("s-1", node.address(), Status.READY, 0, "a", "k", 0, 1))));
            return null;
        });
    }

    @AfterEach
    void stop() throws Exception {
        node.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private <T> T onLoop(Callable<T> call) throws Exception {
        return loop.submit(call).get(5, TimeUnit.SECONDS);
    }

    private ClientRequest request(double budgetMs) {
        return new ClientRequest(
                HttpMethod.POST, "/submit", "c1", null, new byte[2], 0, 0, false, clock.nowMs(), budgetMs, null, null);
    }

    /** A record that is stored when the test says so. */
    private static final class DeferredRecord implements SendRecord {
        private final CompletableFuture<Runnable> storeRequest = new CompletableFuture<>();
        private boolean recorded;

        @Override
        public boolean isRecorded() {
            return recorded;
        }

        @Override
        public void record(Runnable done, Runnable failed) {
            storeRequest.complete(() -> {
                recorded = true;
                done.run();
            });
        }

        @Override
        public void attemptStarted() {
            // Not needed.
        }

        @Override
        public void attemptEnded(boolean proved) {
            // Not needed.
        }

        @Override
        public void servedLate(Answer answer) {
            // Not needed.
        }
    }

    @Test
    void aRequestThatWaitsForItsRecordIsNotSentAfterItsClientLeft() throws Exception {
        DeferredRecord record = new DeferredRecord();
        int id = onLoop(() -> {
            int number = dispatcher.handle(request(6000).withSendRecord(record), answer -> {});
            actions.send(number, 0, 0);
            return number;
        });
        Runnable store = record.storeRequest.get(5, TimeUnit.SECONDS);
        onLoop(() -> {
            dispatcher.clientDisconnected(id);
            return null;
        });
        assertEquals(Outcome.NOT_SENT, ends.poll(5, TimeUnit.SECONDS).outcome());
        onLoop(() -> {
            store.run();
            return null;
        });
        assertNull(node.requests.poll(300, TimeUnit.MILLISECONDS));
        assertTrue(node.accepted.isEmpty());
    }

    /** The request would wait until its deadline if the attempt did not end. */
    @Test
    void anAttemptAtARemovedNodeEndsImmediatelyAsNotSent() throws Exception {
        onLoop(() -> {
            actions.send(dispatcher.handle(request(6000), answer -> {}), UNKNOWN_NODE, 0);
            return null;
        });
        AttemptEnd end = ends.poll(5, TimeUnit.SECONDS);
        assertEquals(Outcome.NOT_SENT, end.outcome());
        assertEquals(UNKNOWN_NODE, end.upstream());
        assertEquals(0, end.attempt());
    }

    /** The time reserved for returning the answer is a fraction of a short budget. */
    @Test
    void aShortDeadlineIsMetAndMostOfItIsLeftToTheNode() throws Exception {
        CompletableFuture<Double> answered = new CompletableFuture<>();
        double[] fromMs = {0};
        onLoop(() -> {
            ClientRequest request = request(60);
            fromMs[0] = request.arrivedMs();
            dispatcher.handle(request, answer -> answered.complete(clock.nowMs()));
            return null;
        });
        Request request = moduleRequests.poll(5, TimeUnit.SECONDS);
        assertNotNull(request);
        assertTrue(request.timeoutMs() > 45 && request.timeoutMs() <= 54, "the module got " + request.timeoutMs());
        double tookMs = answered.get(5, TimeUnit.SECONDS) - fromMs[0];
        assertTrue(tookMs >= 55, "failed after " + tookMs);
    }
}
