package forkramp.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import forkramp.LoadShiftingBalancer;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/** A real sidecar: puts the parts together on one event loop, starts them, and ends them in order. */
public final class Sidecar {

    private static final int BACKLOG = 1024;
    private static final int PAGE_BYTES = 8192;
    private static final int CHUNK_ORDER = 5; // chunks of 256 KiB: small messages, little memory
    private static final int CACHED_BUFFERS = 32;
    private static final int RESERVED_DESCRIPTORS = 24; // for the listener, discovery, files and the selector
    /** Of the other descriptors: as many as the requests that the client may have open, and room for copies. */
    private static final double UPSTREAM_PART = 0.43;
    private static final double REFUSED_PART = 0.09; // of the client's: connections that are only told to come back
    /** A node with many connections open is slower; an idle one costs as much as a new one within a few seconds. */
    private static final double LONGEST_IDLE_MS = 3000;
    private static final double PART_OF_IDLE_LIMIT = 0.5;
    private static final long REPORT_S = 10;
    /** After the signal new connections still come for up to 0.4 s. */
    private static final DrainTimes DRAIN_TIMES = new DrainTimes(400, 600);
    private static final long POLL_MS = 5;
    private static final long LONGEST_WARM_UP_MS = 1500;
    private static final long LONGEST_DRAIN_S = 15;

    /**
     * When, after the signal to end, idle client connections close and when the listener does; the first come before,
     * so that a request that crosses the close finds a new connection.
     */
    record DrainTimes(long closeIdleMs, long stopListeningMs) {
    }

    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final UpstreamPool pool;
    private final Driver driver;
    private final ClientServer server;
    private final Discovery discovery;
    private final Log log;
    private final Config config;
    private final DrainTimes drainTimes;
    private final PooledByteBufAllocator buffers;
    private final CountDownLatch drained = new CountDownLatch(1);

    Sidecar(Config config, Log log, Clock clock, DrainTimes drainTimes) {
        this.config = config;
        this.drainTimes = drainTimes;
        this.log = log;
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        int sockets = Math.max(2, config.sockets() - RESERVED_DESCRIPTORS);
        int upstreams = Math.max(1, (int) (sockets * UPSTREAM_PART));
        int clients = sockets - upstreams;
        int refused = Math.max(1, (int) (clients * REFUSED_PART));
        UpstreamPool.Limits limits = new UpstreamPool.Limits(upstreams, (int) config.connectTimeoutMs(),
                Math.min(LONGEST_IDLE_MS, PART_OF_IDLE_LIMIT * config.connectionIdleMs()));
        buffers = new PooledByteBufAllocator(true, 0, 1, PAGE_BYTES, CHUNK_ORDER, CACHED_BUFFERS, CACHED_BUFFERS, false);
        Bootstrap base = new Bootstrap().channel(NioSocketChannel.class).option(ChannelOption.ALLOCATOR, buffers)
                .option(ChannelOption.TCP_NODELAY, true);
        pool = new UpstreamPool(loop, clock, limits, new LoadReport(config.settings().reportFields()), base.clone(),
                log);
        Directory directory = new Directory(config.zones(), config.kinds(), pool::closeIdle);
        driver = new Driver(config.settings(), config.seed(), LoadShiftingBalancer::new, loop, clock, directory, pool,
                log);
        server = new ClientServer(config.settings(), driver, clock,
                new ClientServer.Limits(clients - refused, clients), log);
        discovery = new Discovery(loop, base.clone(), config.discovery(), driver::updated, log);
    }

    /** Runs a sidecar as the environment says, until the process is told to end. */
    public static void serve(Map<String, String> environment) throws IOException {
        Config config = Config.load(environment);
        Clock clock = Clock.system();
        Warmup.run(config.settings(), LONGEST_WARM_UP_MS);
        Sidecar sidecar = new Sidecar(config, new Log(System.err, clock), clock, DRAIN_TIMES);
        sidecar.start();
        Runtime.getRuntime().addShutdownHook(new Thread(sidecar::drain, "drain"));
    }

    /** Starts the module with the list as it was last known, then listens and follows discovery. */
    InetSocketAddress start() throws IOException {
        ChannelFuture bound = loop.submit(this::begin).syncUninterruptibly().getNow().awaitUninterruptibly();
        if (!bound.isSuccess()) {
            group.shutdownGracefully();
            throw new IOException("cannot listen on " + config.listen() + ": " + bound.cause().getMessage());
        }
        return (InetSocketAddress) bound.channel().localAddress();
    }

    private ChannelFuture begin() {
        driver.start(config.known());
        discovery.start();
        loop.scheduleAtFixedRate(this::report, REPORT_S, REPORT_S, TimeUnit.SECONDS);
        return server.listen(new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, buffers).childOption(ChannelOption.TCP_NODELAY, true),
                config.listen());
    }

    private void report() {
        String counts = driver.counters().report();
        if (counts != null) {
            log.line(counts + "; connections: " + server.connections() + " from the client, " + pool.open()
                    + " to upstreams, " + pool.opened() + " opened so far; " + server.evicted() + " of the client's closed as idle so far");
        }
    }

    /** Goes on serving what still comes for a while, finishes what it has taken, and ends. Blocks until then. */
    void drain() {
        loop.execute(() -> {
            log.line("told to end: " + driver.unanswered() + " requests in hand");
            server.drain();
            loop.schedule(server::closeIdle, drainTimes.closeIdleMs(), TimeUnit.MILLISECONDS);
            loop.schedule(this::stopListening, drainTimes.stopListeningMs(), TimeUnit.MILLISECONDS);
        });
        try {
            if (!drained.await(LONGEST_DRAIN_S, TimeUnit.SECONDS)) {
                log.line("ending with requests in hand");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(1, TimeUnit.SECONDS);
    }

    private void stopListening() {
        server.stopListening();
        loop.scheduleWithFixedDelay(() -> {
            server.closeIdle();
            if (driver.unanswered() == 0 && server.connections() == 0) {
                discovery.stop();
                pool.closeAllIdle();
                report();
                drained.countDown();
            }
        }, 0, POLL_MS, TimeUnit.MILLISECONDS);
    }
}
