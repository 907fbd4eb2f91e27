package ivybank.rehearsal.stand;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import ivybank.common.Clock;
import ivybank.rehearsal.referee.Referee;
import ivybank.rehearsal.scenario.Scenario;
import ivybank.rehearsal.stand.RosterServer.Entry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;

/**
 * The highest rate of a sidecar: clients that ask again as soon as they are answered, on threads of their own, and nodes
 * that do nothing but answer, on others, so that one sidecar's one thread gives first. It judges nothing.
 */
public final class Ceiling implements AutoCloseable {

    /** What so many clients came to, a second; the cores that the sidecar used meanwhile, 0 past it. */
    public record Row(int clients, double servedRate, double otherRate, double cores) {}

    private static final long READY_MS = 30_000;
    private static final int NODES = 8;
    private static final int THREADS = 2;
    private static final int MAX_BODY = 4096;
    private static final int OK = 200;
    private static final byte[] ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".getBytes(StandardCharsets.US_ASCII);

    private final MultiThreadIoEventLoopGroup acceptor = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup rosters = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup nodeLoops =
            new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup clientLoops =
            new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    private final List<InetSocketAddress> nodes = new ArrayList<>();
    private final SidecarProcess sidecar;
    private final String path;

    /** Starts nodes and a sidecar; the scenario brings the first class, kinds and limits. */
    public Ceiling(Scenario scenario, String command, Path folder, Path state, int net)
            throws IOException, InterruptedException {
        path = scenario.classes().get(0).name();
        World world = new World(scenario, acceptor, rosters.next(), Clock.system(), new Referee(1, 1e9, 0), net);
        RosterServer roster =
                world.loop.submit(() -> new RosterServer(world, 0)).sync().getNow();
        for (int i = 0; i < NODES; i++) {
            Channel listener = Loopback.listen(
                    acceptor,
                    nodeLoops.next(),
                    NodeServer.address(net, i),
                    channel -> channel.pipeline()
                            .addLast(new HttpRequestDecoder(), new HttpObjectAggregator(MAX_BODY), new Node()));
            nodes.add((InetSocketAddress) listener.localAddress());
            Entry entry = new Entry(
                    "n-" + i,
                    Loopback.text(listener),
                    "site-" + i % scenario.fleet().sites(),
                    scenario.kinds().get(0).name(),
                    "Ready",
                    0);
            world.loop.submit(() -> roster.change(entry)).sync();
        }
        sidecar = new SidecarProcess(scenario, 0, command, folder, state, Loopback.forSidecar(net, 0), 1);
        sidecar.configure(roster.address(), roster.known());
        sidecar.start();
        if (!sidecar.awaitReady(READY_MS)) {
            sidecar.kill();
            throw new IOException("the sidecar was not ready within " + READY_MS / 1000 + " s: see " + state);
        }
    }

    /** Lets so many clients ask for so long, through the sidecar or past it. */
    public Row play(int clients, double seconds, boolean through) throws InterruptedException {
        LongAdder served = new LongAdder();
        LongAdder other = new LongAdder();
        AtomicBoolean over = new AtomicBoolean();
        List<Channel> channels = new ArrayList<>();
        double[] before = sidecar.usage();
        long from = System.nanoTime();
        for (int i = 0; i < clients; i++) {
            Client client = new Client(i, served, other, over);
            channels.add(new Bootstrap()
                    .group(clientLoops)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline()
                                    .addLast(new HttpResponseDecoder(), new HttpObjectAggregator(MAX_BODY), client);
                        }
                    })
                    .connect(through ? sidecar.listen() : nodes.get(i % NODES))
                    .sync()
                    .channel());
        }
        Thread.sleep((long) (seconds * 1000));
        over.set(true);
        double tookS = (System.nanoTime() - from) / 1e9;
        double[] after = sidecar.usage();
        channels.forEach(channel -> channel.close().awaitUninterruptibly());
        return new Row(clients, served.sum() / tookS, other.sum() / tookS, (after[2] - before[2]) / tookS);
    }

    @Override
    public void close() {
        sidecar.kill();
        for (MultiThreadIoEventLoopGroup group : List.of(acceptor, rosters, nodeLoops, clientLoops)) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    /** Answers at once. */
    private static final class Node extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof FullHttpRequest) {
                ctx.writeAndFlush(Unpooled.wrappedBuffer(ANSWER));
            }
            ReferenceCountUtil.release(message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Asks again when it is answered. */
    private final class Client extends ChannelInboundHandlerAdapter {
        private final int number;
        private final LongAdder served;
        private final LongAdder other;
        private final AtomicBoolean over;
        private final long mark = System.nanoTime();
        private long asked;

        Client(int number, LongAdder served, LongAdder other, AtomicBoolean over) {
            this.number = number;
            this.served = served;
            this.other = other;
            this.over = over;
        }

        private void ask(ChannelHandlerContext ctx) {
            ByteBuf request = Unpooled.copiedBuffer(
                    "GET /" + path + " HTTP/1.1\r\nHost: api\r\nX-Call-Id: " + number + "-" + Long.toHexString(mark)
                            + "-" + ++asked + "\r\nX-Caller: ceiling\r\nX-Budget-Ms: 2000\r\n\r\n",
                    StandardCharsets.US_ASCII);
            ctx.writeAndFlush(request);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            boolean good = message instanceof FullHttpResponse response
                    && response.status().code() == OK;
            ReferenceCountUtil.release(message);
            if (!over.get()) {
                (good ? served : other).increment();
                ask(ctx);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
