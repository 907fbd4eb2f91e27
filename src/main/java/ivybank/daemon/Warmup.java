package ivybank.daemon;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import ivybank.client.ClientServer;
import ivybank.common.Clock;
import ivybank.common.DescriptorBudget;
import ivybank.common.Log;
import ivybank.discovery.Directory;
import ivybank.discovery.NodeListUpdate;
import ivybank.policy.Balancer.Effect;
import ivybank.policy.Balancer.RequestClass;
import ivybank.policy.Balancer.Settings;
import ivybank.policy.Balancer.Status;
import ivybank.policy.LoadShiftingBalancer;
import ivybank.upstream.LoadReport;
import ivybank.upstream.UpstreamPool;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Sends requests through a scratch copy of the request path, in memory and without sockets, before the sidecar reports
 * that it is ready. Guards against slow first requests of a new process, which wait for class loading and compilation:
 * after a restart they arrive all at once, and those with little time left exceeded their deadline.
 */
final class Warmup {

    private static final int REQUEST_COUNT = 400;
    private static final int BODY_BYTES = 512;
    private static final long IDLE_TIMEOUT_MS = 10_000;
    private static final int CONNECTIONS = 16;
    private static final String BUDGET_MS = "5000";

    private final Settings settings;
    private final Clock clock = Clock.system();
    private final Log discardingLog = new Log(new PrintStream(OutputStream.nullOutputStream()), clock);
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CountDownLatch allAnswered = new CountDownLatch(1);
    private final byte[] answer;
    private volatile int sent;
    private int receivedBytes;

    private Warmup(Settings settings) {
        this.settings = settings;
        String report = String.join(
                ", ",
                settings.reportFields().stream().map(name -> name + "=0.5").toList());
        answer = ("HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\nContent-Type: application/json\r\n"
                        + "X-Load-Report: TEXT " + report + "\r\n\r\n" + "x".repeat(BODY_BYTES))
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Runs the warm-up; returns whether all its requests were answered within the time limit. */
    static boolean run(Settings settings, long maxMs) {
        return new Warmup(settings).run(maxMs);
    }

    private boolean run(long maxMs) {
        boolean complete = false;
        try {
            loop.submit(this::begin).sync();
            complete = allAnswered.await(maxMs, TimeUnit.MILLISECONDS);
            if (!complete) { // being ready late is worse than being ready cold
                System.err.println(
                        "the warm-up exceeded its time limit after " + sent + " of " + REQUEST_COUNT + " requests");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        return complete;
    }

    private void begin() {
        LocalAddress upstream = new LocalAddress("warm-up upstream");
        new ServerBootstrap()
                .group(group)
                .channel(LocalServerChannel.class)
                .childHandler(initializer(() -> new ChannelHandler[] {new Upstream()}))
                .bind(upstream);
        DescriptorBudget descriptors = new DescriptorBudget(2 * CONNECTIONS);
        UpstreamPool pool = new UpstreamPool(
                loop,
                clock,
                UpstreamPool.Limits.withoutRest(CONNECTIONS, 1000, IDLE_TIMEOUT_MS),
                descriptors,
                new LoadReport(settings.reportFields()),
                new Bootstrap().channel(LocalChannel.class),
                discardingLog);
        RequestDispatcher dispatcher = new RequestDispatcher(
                settings,
                1,
                LoadShiftingBalancer::new,
                loop,
                clock,
                new Directory(List.of(), List.of(), pool::closeIdle),
                pool,
                discardingLog);
        dispatcher.start(new NodeListUpdate(0, true, List.of(entry("a", upstream), entry("b", upstream))));
        LocalAddress listen = new LocalAddress("warm-up sidecar");
        new ClientServer(
                        settings,
                        dispatcher,
                        clock,
                        new ClientServer.Limits(CONNECTIONS, CONNECTIONS, CONNECTIONS, CONNECTIONS),
                        descriptors,
                        null,
                        discardingLog)
                .listen(new ServerBootstrap().group(group).channel(LocalServerChannel.class), loop, listen);
        new Bootstrap()
                .group(loop)
                .channel(LocalChannel.class)
                .handler(initializer(() -> new ChannelHandler[] {new Client()}))
                .connect(listen);
    }

    private static NodeListUpdate.Entry entry(String host, LocalAddress address) {
        return new NodeListUpdate.Entry(host, address, Status.READY, 0, "", "", 0, 1);
    }

    private interface Handlers {
        ChannelHandler[] make();
    }

    private static ChannelInitializer<Channel> initializer(Handlers handlers) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(handlers.make());
            }
        };
    }

    /** Answers immediately and rejects nothing: rejections would make the decision module admit fewer requests. */
    private final class Upstream extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf request) {
            // Deferred, as over sockets: in memory the answer would arrive before the request counts as written.
            ctx.executor().execute(() -> ctx.writeAndFlush(Unpooled.wrappedBuffer(answer)));
        }
    }

    /** Sends one request after another, cycling through the classes. */
    private final class Client extends SimpleChannelInboundHandler<ByteBuf> {

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            next(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf part) {
            receivedBytes += part.readableBytes();
        }

        /**
         * Sends the next request. The sidecar writes an answer as a whole, so that it is complete when all readable
         * bytes have been read.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (receivedBytes < BODY_BYTES) {
                return;
            }
            receivedBytes = 0;
            if (sent < REQUEST_COUNT) {
                next(ctx);
            } else {
                ctx.close();
                allAnswered.countDown();
            }
        }

        @SuppressWarnings("NonAtomicVolatileUpdate") // only the event loop of this connection writes it
        private void next(ChannelHandlerContext ctx) {
            RequestClass requestClass =
                    settings.classes().get(sent % settings.classes().size());
            sent++;
            boolean safe = requestClass.effect() == Effect.SAFE;
            String head = (safe ? "GET /" : "POST /") + requestClass.name()
                    + "?obj=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: warm-up\r\n"
                    + "X-Call-Id: " + sent + "\r\nX-Budget-Ms: " + BUDGET_MS + "\r\n"
                    + (safe ? "\r\n" : "Content-Length: " + BODY_BYTES + "\r\n\r\n" + "x".repeat(BODY_BYTES));
            ctx.writeAndFlush(Unpooled.copiedBuffer(head, StandardCharsets.US_ASCII));
        }
    }
}
