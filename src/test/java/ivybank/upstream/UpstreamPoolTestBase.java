package ivybank.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import ivybank.common.Clock;
import ivybank.common.DescriptorBudget;
import ivybank.common.Log;
import ivybank.discovery.Node;
import ivybank.exchange.ClientRequest;
import ivybank.policy.Balancer.Outcome;
import ivybank.upstream.UpstreamAttempt.Ending;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;

/** A pool of connections to nodes on real sockets, for one test. */
abstract class UpstreamPoolTestBase {

    static final double LONG_MS = 5000;

    final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = group.next();
    final Clock clock = Clock.system();
    final Log log = new Log(new PrintStream(OutputStream.nullOutputStream()), clock);
    final DescriptorBudget descriptors = new DescriptorBudget(200);
    UpstreamPool pool = pool(100, 10_000);

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    UpstreamPool pool(int connections, double idleMs) {
        return new UpstreamPool(
                loop,
                clock,
                UpstreamPool.Limits.standard(connections, 250, idleMs, 0),
                descriptors,
                new LoadReport(List.of("rps", "cpu")),
                new Bootstrap().channel(UpstreamSocketChannel.class),
                log);
    }

    static Node node(InetSocketAddress address) {
        Node node = new Node(0, "s-1");
        node.address = address;
        node.ready = true;
        return node;
    }

    static ClientRequest request(HttpMethod method, byte[] body) {
        return new ClientRequest(
                method, "/report-read?obj=a%20b&x=1", "c1", null, body, 0, 0, false, 0, 6000, null, null);
    }

    Sent send(Node node, double timeoutMs) {
        return send(node, timeoutMs, request(HttpMethod.POST, "hello".getBytes(StandardCharsets.UTF_8)));
    }

    Sent send(Node node, double timeoutMs, ClientRequest request) {
        Sent sent = new Sent();
        sent.attempt = new UpstreamAttempt(node, request, timeoutMs, ending -> {
            sent.endings.incrementAndGet();
            sent.ending.complete(ending);
        });
        loop.execute(() -> pool.send(sent.attempt));
        return sent;
    }

    <T> T onLoop(java.util.concurrent.Callable<T> call) {
        return loop.submit(call).syncUninterruptibly().getNow();
    }

    static final class Sent {
        UpstreamAttempt attempt;
        final AtomicInteger endings = new AtomicInteger();
        final CompletableFuture<Ending> ending = new CompletableFuture<>();

        Outcome outcome() throws Exception {
            return ending.get(10, TimeUnit.SECONDS).outcome();
        }
    }

    static UpstreamAttempt attempt(Node node, Sent sent) {
        return new UpstreamAttempt(node, request(HttpMethod.POST, new byte[1]), LONG_MS, ending -> {
            sent.endings.incrementAndGet();
            sent.ending.complete(ending);
        });
    }

    /** Spare connections as soon as one is of use; what rests would be waited for until the test's end. */
    UpstreamPool poolWithSpares(int connections, double restMs, int mostSpares) {
        ConnectionReusePolicy.Limits reuse = new ConnectionReusePolicy.Limits(restMs, 1, mostSpares, 60_000, 0);
        return new UpstreamPool(
                loop,
                clock,
                new UpstreamPool.Limits(connections, 250, 60_000, 5000, reuse),
                descriptors,
                new LoadReport(List.of()),
                new Bootstrap().channel(UpstreamSocketChannel.class),
                log);
    }

    /** Sends the second request as soon as the first one is answered, as the module may do. */
    List<Sent> sendInTurn(Node node, double timeoutMs) {
        Sent second = new Sent();
        second.attempt =
                new UpstreamAttempt(node, request(HttpMethod.POST, new byte[1]), timeoutMs, second.ending::complete);
        Sent first = new Sent();
        first.attempt = new UpstreamAttempt(node, request(HttpMethod.POST, new byte[1]), LONG_MS, ending -> {
            pool.send(second.attempt);
            first.ending.complete(ending);
        });
        loop.execute(() -> pool.send(first.attempt));
        return List.of(first, second);
    }

    static void assertBody(Sent sent, String why) throws Exception {
        assertEquals(Outcome.OK, sent.outcome(), why);
        assertEquals("body", new String(sent.ending.get().body(), StandardCharsets.UTF_8), why);
    }
}
