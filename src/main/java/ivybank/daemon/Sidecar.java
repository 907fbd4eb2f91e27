package ivybank.daemon;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Promise;
import ivybank.client.ClientListenerChannel;
import ivybank.client.ClientServer;
import ivybank.common.BackgroundOutput;
import ivybank.common.Clock;
import ivybank.common.DescriptorBudget;
import ivybank.common.EventLoopStallDetector;
import ivybank.common.Log;
import ivybank.common.NextSelect;
import ivybank.common.ProcessAge;
import ivybank.control.AdminTarget;
import ivybank.control.SiblingProcesses;
import ivybank.discovery.Directory;
import ivybank.discovery.Discovery;
import ivybank.discovery.DiscoverySocketChannel;
import ivybank.discovery.ListLease;
import ivybank.discovery.Timing;
import ivybank.invariants.InvariantGuard;
import ivybank.operations.MaintenanceState;
import ivybank.operator.OperatorFile;
import ivybank.operator.OperatorFile.StoreSettings;
import ivybank.peers.PeerFleet;
import ivybank.policy.LoadShiftingBalancer;
import ivybank.promises.PromiseRequestHandler;
import ivybank.supervision.EventLoopTasks;
import ivybank.supervision.PeriodicTask;
import ivybank.supervision.StartRetry;
import ivybank.supervision.SupervisedTask;
import ivybank.supervision.Watchdog;
import ivybank.tally.SecondCounts;
import ivybank.tally.SecondTally;
import ivybank.toml.InputException;
import ivybank.upstream.LoadReport;
import ivybank.upstream.UpstreamPool;
import ivybank.upstream.UpstreamSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A real sidecar: puts the parts together on one event loop, starts them, and ends them in order. */
public final class Sidecar implements AdminTarget {

    private static final int BACKLOG = 1024;
    private static final long TALLY_MS = 1000;
    private static final int PAGE_BYTES = 8192;
    private static final int CHUNK_ORDER = 5; // chunks of 256 KiB: small messages, little memory
    /** What one read from a client takes: requests are small, and what it holds beyond those served waits here. */
    private static final int LEAST_READ = 512;

    private static final int FIRST_READ = 1024;
    private static final int LONGEST_READ = 16 * 1024;
    private static final int CACHED_BUFFERS = 32;
    /** Of what a client sends the system holds little more than this: its end may stand behind all that. */
    private static final int READ_AHEAD_BYTES = 256 * 1024;

    /** A node with many connections open is slower; an idle one costs as much as a new one within a few seconds. */
    private static final double LONGEST_IDLE_MS = 3000;

    private static final double PART_OF_IDLE_LIMIT = 0.5;
    private static final long REPORT_MS = 10_000;
    private static final long POLL_MS = 5;
    /** How often a call to discovery is looked at of which the selector has told nothing: well within a drain's grace. */
    private static final long VERIFY_MS = 40;

    private static final long LISTEN_PAUSE_MS = 100;
    private static final int MOST_LISTEN_TRIES = 100;
    private static final long LONGEST_WARM_UP_MS = 3000;
    private static final long LONGEST_DRAIN_S = 15;
    private static final int ENDED_BY_SIGTERM = 143;

    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final Watchdog watchdog;
    private final InvariantGuard guard;
    private final DescriptorBudget descriptors;
    private final UpstreamPool pool;
    private final RequestDispatcher dispatcher;
    private final Discovery discovery;
    private final Log log;
    private final Clock clock;
    private final Config config;
    private final DrainTimes drainTimes;
    private final Timing timing;
    private final PooledByteBufAllocator buffers;
    private final SecondTally tally = new SecondTally();
    private final StartTimeline timeline = new StartTimeline();
    private double tallyDueMs;
    private final StoreSettings store; // null: no promises are kept
    private final ClientServer.Limits clientLimits;
    /** Done once clients may be served as far as discovery is concerned: it was asked, or need not be before. */
    private final Promise<Void> askedEnough;

    private boolean follows;
    private volatile PromiseRequestHandler promises; // null: none are kept, or not yet
    private volatile ClientServer server; // null until it is prepared
    private final CountDownLatch drained = new CountDownLatch(1);
    private final ServerSocketChannel inherited; // null: it listens by itself
    private volatile Handover handover; // null: no other process takes over
    private volatile boolean company;
    private volatile PeerFleet peers; // null: it knows of no other sidecar
    private volatile boolean successor;
    /** Whether discovery was asked, and has answered or is known not to. */
    private boolean discoveryAsked;
    /** Whether clients' connections are accepted, or would be if there were room. */
    private volatile boolean listening;

    private final EventLoopStallDetector beforeSends;
    private final EventLoopStallDetector ofRequests;
    private final ConfigReload configReload;
    private final DrainSequence drain;

    /**
     * @param store where promises are kept; null for none
     * @param inherited the clients' listening socket, which other processes have too; null to listen as configured
     */
    Sidecar(
            Config config,
            ConfigFile file,
            Log log,
            Clock clock,
            DrainTimes drainTimes,
            Timing timing,
            StoreSettings store,
            ServerSocketChannel inherited)
            throws IOException {
        this.inherited = inherited;
        this.store = store;
        this.config = config;
        this.drainTimes = drainTimes;
        this.timing = timing;
        this.log = log;
        this.clock = clock;
        group = StartRetry.call(
                "making the event loop",
                log,
                e -> false,
                () -> new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()));
        loop = group.next();
        askedEnough = loop.newPromise();
        timeline.reached("event loop made");
        watchdog = new Watchdog(loop, clock, log);
        guard = new InvariantGuard(log::line);
        DescriptorShares shares = DescriptorShares.of(config.sockets());
        descriptors = new DescriptorBudget(shares.all());
        clientLimits = shares.clients();
        UpstreamPool.Limits limits = UpstreamPool.Limits.standard(
                shares.upstreams(),
                (int) config.connectTimeoutMs(),
                Math.min(LONGEST_IDLE_MS, PART_OF_IDLE_LIMIT * config.connectionIdleMs()),
                config.settings().contract().coldMs());
        buffers =
                new PooledByteBufAllocator(true, 0, 1, PAGE_BYTES, CHUNK_ORDER, CACHED_BUFFERS, CACHED_BUFFERS, false);
        Bootstrap base = new Bootstrap().option(ChannelOption.ALLOCATOR, buffers);
        pool = new UpstreamPool(
                loop,
                clock,
                limits,
                descriptors,
                new LoadReport(config.settings().reportFields()),
                base.clone().channel(UpstreamSocketChannel.class),
                log);
        Directory directory = new Directory(config.zones(), config.kinds(), pool::closeIdle);
        dispatcher = new RequestDispatcher(
                config.settings(), config.seed(), LoadShiftingBalancer::new, loop, clock, directory, pool, log);
        discovery = new Discovery(
                loop,
                base.clone().channel(DiscoverySocketChannel.class),
                config.discovery(),
                file::changedDiscovery,
                config.known().resumeFrom(config.settings().subscribesToList()),
                timing,
                dispatcher::updated,
                clock,
                log);
        configReload = new ConfigReload(loop, file, discovery::moveTo, clock, log);
        drain = new DrainSequence(clock, log);
        beforeSends = EventLoopStallDetector.forSends(config.drainGraceMs(), clock.nowMs());
        ofRequests = EventLoopStallDetector.forRequestTimes(clock.nowMs());
    }

    /**
     * Opens the store and makes the clients' side. May take long where the system fails it for a moment, so that discovery is
     * followed before.
     */
    private void prepare() throws IOException {
        promises = store == null ? null : openPromises();
        timeline.reached(store == null ? "no store" : "store open");
        server = new ClientServer(
                config.settings(),
                promises == null ? dispatcher : promises,
                clock,
                clientLimits,
                descriptors,
                store == null ? null : store.promises().header(),
                log);
    }

    /**
     * Runs a sidecar as the environment says, until the process is told to end.
     *
     * @param operator the operator file, or null for none
     */
    @SuppressWarnings("ThreadPriorityCheck") // heeded only where the JVM is told to, and nothing depends on it
    public static void serve(Map<String, String> environment, String operator) throws IOException, InputException {
        boolean hearsHangups = HangupSignal.listen();
        BackgroundOutput output = BackgroundOutput.replaceStandardError();
        SiblingProcesses company =
                environment.containsKey(InheritedListener.VARIABLE) ? AdminStartup.joinIfPossible(environment) : null;
        Config config = Config.load(environment);
        Timing standard = Timing.standard(config.settings().subscribesToList(), config.drainGraceMs());
        // Without the file nothing of it is loaded.
        OperatorFile more = operator == null ? null : OperatorFile.read(Path.of(operator), standard);
        Timing timing = more == null ? standard : more.discovery();
        Clock clock = Clock.system();
        Log log = new Log(System.err, clock);
        Sidecar sidecar = new Sidecar(
                config,
                new ConfigFile(environment),
                log,
                clock,
                DrainTimes.longest(config.settings()),
                timing,
                more == null ? null : more.store(),
                InheritedListener.listener(environment));
        sidecar.follow(ProcessAge.maxMs());
        sidecar.prepare();
        if (more != null && more.peers() != null) {
            sidecar.among(
                    Peers.of(
                            more.peers(),
                            config,
                            environment,
                            sidecar.loop,
                            clock,
                            log,
                            count -> sidecar.dispatcher.sidecars(count, "by the fleet's own view")),
                    company != null && company.others());
        }
        if (config.control() != null) {
            StartRetry.call("opening the admin endpoint", log, e -> false, () -> {
                AdminStartup.open(sidecar, config.control(), environment, company, clock, log);
                return sidecar;
            });
        }
        HangupSignal.handle(sidecar::reload);
        if (!hearsHangups) {
            log.line(
                    "SIGHUP is ignored since before the start (nohup does so) and will do nothing: the configuration is"
                            + " read again only when a connection to discovery has ended");
        }
        if (company != null) {
            // Another process has clients to serve on the core that both have: to get ready may wait for it. The
            // threads that
            // serve were started before, and keep their part. Only where the JVM is told to heed priorities.
            Thread.currentThread().setPriority(Thread.MIN_PRIORITY);
        }
        Warmup.run(config.settings(), LONGEST_WARM_UP_MS);
        sidecar.timeline.reached("warmed up");
        if (sidecar.inherited != null && AdminStartup.folder(environment) != null) {
            sidecar.handOver(AdminStartup.folder(environment));
        }
        sidecar.start();
        // The socket that others have too is never closed here: the process just ends, and nothing else is left to do.
        Runnable end = () -> {
            if (sidecar.inherited == null) {
                sidecar.drain();
                output.awaitWritten();
            } else {
                sidecar.finishAll();
                output.awaitWritten();
                Runtime.getRuntime().halt(ENDED_BY_SIGTERM);
            }
        };
        Runtime.getRuntime().addShutdownHook(new Thread(end, "drain"));
    }

    /** Puts it among its peers; {@code later}: another process of this sidecar was here first. */
    private void among(PeerFleet fleet, boolean later) throws IOException {
        successor = later;
        // An upgrade has two processes at one address for a while.
        SupervisedTask ticks =
                StartRetry.call("listening for peers", log, e -> false, () -> fleet.open(inherited != null));
        EventLoopTasks.execute(loop, () -> watchdog.watch(ticks));
        peers = fleet;
    }

    @Override
    public CompletionStage<String> fleet() {
        return peers == null ? null : peers.asked();
    }

    @Override
    public void company(boolean another) {
        company = another;
        loop.execute(() -> server.setOtherProcessPresent(another));
        if (peers != null && (!another || !successor)) { // of two, the one that came later speaks
            loop.execute(() -> peers.hush(another));
        }
        successor &= another;
        Handover its = handover;
        if (its != null) {
            its.company(another);
        }
    }

    /** Takes over what another process has left in this folder, and leaves what this one learns there. */
    void handOver(Path folder) {
        Handover next = new Handover(folder, loop, dispatcher, server, descriptors, clock, log);
        next.takeOver();
        handover = next;
        next.company(company);
        SupervisedTask rounds = next.start();
        EventLoopTasks.execute(loop, () -> watchdog.watch(rounds));
    }

    private PromiseRequestHandler openPromises() throws IOException {
        try {
            PromiseRequestHandler keeper = StartRetry.call(
                    "opening the store",
                    log,
                    KeptPromises::isLasting,
                    () -> KeptPromises.open(store, config.name(), config.settings(), loop, clock, log));
            keeper.setDispatcher(dispatcher);
            return keeper;
        } catch (IOException e) {
            group.shutdownGracefully();
            throw new IOException("store " + store.folder() + ": " + e.getMessage(), e);
        }
    }

    /** Follows discovery, and listens once all is there that clients need. */
    InetSocketAddress start() throws IOException {
        follow(0);
        if (server == null) {
            prepare();
        }
        Promise<Channel> bound = loop.newPromise();
        askedEnough.addListener(asked -> {
            if (asked.isSuccess()) {
                serve(bound);
            } else {
                bound.tryFailure(asked.cause());
            }
        });
        bound.awaitUninterruptibly();
        if (!bound.isSuccess()) {
            group.shutdownGracefully();
            throw new IOException(
                    "cannot listen on " + config.listen() + ": " + bound.cause().getMessage());
        }
        listening = true;
        timeline.reached("listening");
        log.line(timeline.toString());
        if (peers != null) {
            peers.ready();
        }
        return (InetSocketAddress) bound.getNow().localAddress();
    }

    /** Whether this process can serve. */
    @Override
    public boolean serves() {
        return listening && dispatcher.ready();
    }

    @Override
    public CompletionStage<Boolean> knows(String node) {
        return CompletableFuture.supplyAsync(() -> dispatcher.knows(node), loop);
    }

    @Override
    public CompletionStage<Void> obey(MaintenanceState orders) {
        return CompletableFuture.runAsync(
                () -> {
                    dispatcher.takeOut(orders.out());
                    server.setStandbySince(orders.standbySinceMs());
                },
                loop);
    }

    /** Begins to serve clients. On the event loop. */
    private void serve(Promise<Channel> bound) {
        try {
            server.setGuard(guard);
            server.setStallDetectors(List.of(beforeSends, ofRequests));
            server.startSweeps(loop).forEach(watchdog::watch);
            listen(bound, 1);
        } catch (RuntimeException e) {
            bound.tryFailure(e);
        }
    }

    /** Listens, and tries again where the system fails it for a moment: not where another program has the address. */
    private void listen(Promise<Channel> bound, int tries) {
        listen().addListener((ChannelFuture up) -> EventLoopTasks.execute(loop, () -> {
            if (up.isSuccess()) {
                bound.trySuccess(up.channel());
            } else if (tries >= MOST_LISTEN_TRIES || StartRetry.isAddressInUse(up.cause())) {
                bound.tryFailure(up.cause());
            } else {
                log.line("cannot listen yet, and trying again: " + up.cause());
                loop.schedule(() -> listen(bound, tries + 1), LISTEN_PAUSE_MS, TimeUnit.MILLISECONDS);
            }
        }));
    }

    /**
     * Starts the module with the list as it was last known, and discovery: before anything that may take long, for what discovery
     * tells counts from the first moment of a process. Guards nodes that have begun to drain before this process was there: where
     * lists are pushed nothing is served before the agent has been asked, and has answered or is seen not to.
     *
     * @param listAgeMs how old the list that the process began with may be, in milliseconds
     */
    private void follow(double listAgeMs) {
        if (follows) {
            return;
        }
        follows = true;
        double listAtMs = clock.nowMs() - listAgeMs;
        loop.execute(() -> {
            try {
                beginToFollow(listAtMs);
            } catch (RuntimeException e) {
                askedEnough.tryFailure(e);
            }
        });
    }

    private void beginToFollow(double listAtMs) {
        pool.setTally(tally);
        dispatcher.countIn(tally);
        discovery.setTally(tally);
        ListLease lease = ListLease.standard(timing.asked(), config.drainGraceMs());
        lease.startAt(listAtMs);
        discovery.setLease(lease);
        dispatcher.heeds(lease, guard);
        watchdog.watch(discovery);
        watchdog.watch(configReload);
        pool.chains().forEach(watchdog::watch);
        pool.setStallDetector(beforeSends);
        dispatcher.mind(ofRequests, beforeSends);
        look(beforeSends);
        look(ofRequests);
        every("verification of the call to discovery", VERIFY_MS, discovery::verify);
        log.line(config.name() + " of " + config.settings().sidecars() + " sidecars begins with a list of "
                + config.known().entries().size() + " nodes; limits: " + config.limits());
        dispatcher.start(config.known());
        if (timing.asked()) {
            askedEnough.trySuccess(null);
        } else {
            discovery.onFirstCallCompleted(() -> {
                timeline.reached("discovery heard or given up for now");
                discoveryAsked = true;
                askedEnough.trySuccess(null);
            });
        }
        timeline.reached("discovery called");
        discovery.start();
        tallyDueMs = clock.nowMs() + TALLY_MS;
        watchdog.watch(PeriodicTask.startAtRate("tally of each second", loop, clock, log, TALLY_MS, this::tally));
        every("report", REPORT_MS, this::report);
        watchdog.start();
    }

    /** Runs a step again and again on the event loop, whatever becomes of a run. */
    private void every(String name, long periodMs, Runnable step) {
        watchdog.watch(PeriodicTask.start(name, loop, clock, log, periodMs, step));
    }

    /** Looks from now on whether the event loop was held up, as often as is needed to notice it. */
    private void look(EventLoopStallDetector stallDetector) {
        long periodMs = (long) stallDetector.periodMs();
        Runnable look = () -> {
            watchdog.checkIfDue();
            if (stallDetector.check(clock.nowMs())) {
                settle(stallDetector);
            }
        };
        every("look whether the event loop stalled", periodMs, look);
    }

    private void settle(EventLoopStallDetector stallDetector) {
        NextSelect.runAfter(loop, () -> {
            if (stallDetector.passCompleted(clock.nowMs())) {
                settle(stallDetector);
            }
        });
    }

    private ChannelFuture listen() {
        if (!guard.checkStart(timing.asked() || discoveryAsked).isAllowed()) {
            throw new IllegalStateException("clients are not served before discovery was asked");
        }
        return server.listen(
                new ServerBootstrap()
                        .group(group)
                        .channelFactory(() ->
                                inherited == null ? new ClientListenerChannel() : new ClientListenerChannel(inherited))
                        .option(ChannelOption.SO_RCVBUF, READ_AHEAD_BYTES)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.ALLOCATOR, buffers)
                        .childOption(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(LEAST_READ, FIRST_READ, LONGEST_READ)),
                loop,
                inherited == null ? config.listen() : null);
    }

    /** Reads the configuration again, on any thread. */
    void reload() {
        if (peers != null) {
            try {
                peers.reload();
            } catch (RuntimeException e) {
                log.line("peers: going on with the keys of before: " + e);
            }
        }
        configReload.signalled();
    }

    /** What was done to each node in this second: the sums over all sidecars' logs show what none of them sees alone. */
    private void tally() {
        double nowMs = clock.nowMs();
        pool.reportIdle();
        SecondCounts second = tally.endSecond(nowMs, Math.max(0, nowMs - tallyDueMs));
        tallyDueMs = Math.max(tallyDueMs + TALLY_MS, nowMs);
        if (second != null) {
            log.line(second.line() + " violations=" + guard.takeNewViolations() + (peers == null ? "" : peers.tally()));
        }
    }

    private void report() {
        String counts = dispatcher.counters().report();
        if (counts != null) {
            log.line(counts + "; connections: " + server.connections() + " from the client, " + pool.open()
                    + " to upstreams, " + pool.opened() + " opened and " + pool.malformedAnswers()
                    + " spoilt answers so far; "
                    + server.evictedConnections()
                    + " of the client's closed as idle and " + server.refusedRequests()
                    + " requests refused for want of"
                    + " descriptors or, when ending, of connections so far");
        }
        if (counts != null && promises != null) {
            log.line(promises.statusLine());
        }
        if (peers != null) {
            log.line(peers.line());
        }
    }

    /**
     * Goes on serving what still comes, then finishes what it has taken, and ends. Blocks until then. Where it listens by
     * itself, the client keeps using the connections that it has, and gets no new ones after a while: each that was closed
     * early left requests without one. Where another process has the listening socket too, new connections are that one's
     * from now on, and each answer sends its client there; what stays idle is closed late, so that no request crosses it.
     */
    void drain() {
        finishAll();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(1, TimeUnit.SECONDS);
    }

    private void finishAll() {
        EventLoopTasks.execute(loop, this::beginDrain);
        try {
            if (!drained.await(LONGEST_DRAIN_S, TimeUnit.SECONDS)) {
                log.line("ending with requests in hand, " + drain);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (promises != null) {
            promises.close();
        }
    }

    private void beginDrain() {
        if (!drain.begin()) {
            return;
        }
        log.line("told to end: " + dispatcher.unanswered() + " requests in hand; serving for "
                + drainTimes.stopServingMs() + " ms" + (inherited == null ? "" : " what comes on open connections"));
        if (peers != null) {
            drain.after(0, "telling the peers", peers::draining);
        }
        if (inherited == null) {
            drain.after(0, "keeping connections", server::retainConnections);
            drain.after(drainTimes.stopListeningMs(), "closing the listener", server::stopListening);
            drain.after(drainTimes.stopServingMs(), "ending connections with their answers", server::drain);
            drain.finishAfter(drainTimes.stopServingMs(), () -> finished(0));
        } else {
            drain.after(0, "accepting no more", server::stopListening);
            drain.after(0, "closing idle connections to upstreams", pool::disableIdleConnections);
            drain.after(0, "ending connections with their answers", server::drain);
            double closeIdleMs = clock.nowMs() + (double) drainTimes.stopServingMs();
            drain.finishAfter(0, () -> finished(closeIdleMs));
        }
        drain.after(drainTimes.failRestMs(), "refusing what still comes", server::refuseAll);
        drain.after(drainTimes.failRestMs(), "failing what is open", dispatcher::failOpen);
        lookAtDrain();
        every("end of the process", POLL_MS, this::lookAtDrain);
    }

    private void lookAtDrain() {
        if (drain.look()) {
            drained.countDown();
        }
    }

    /** Ends connections on which nothing is at hand from a time on; whether nothing is in hand any more. */
    private boolean finished(double closeIdleMs) {
        if (clock.nowMs() >= closeIdleMs) {
            server.closeIdle(true);
        }
        if (unanswered() > 0 || server.connections() > 0) {
            return false;
        }
        discovery.stop();
        pool.closeAllIdle();
        if (peers != null) {
            peers.leave();
        }
        report();
        return true;
    }

    /** Requests taken and not answered yet. */
    int requestsInHand() {
        return CompletableFuture.supplyAsync(this::unanswered, loop).join();
    }

    private int unanswered() {
        return promises == null ? dispatcher.unanswered() : promises.unanswered();
    }
}
