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
import ivybank.common.ResidentMemory;
import ivybank.control.AdminTarget;
import ivybank.control.SiblingProcesses;
import ivybank.discovery.Directory;
import ivybank.discovery.Discovery;
import ivybank.discovery.DiscoverySocketChannel;
import ivybank.discovery.ListLease;
import ivybank.discovery.NodeListUpdate;
import ivybank.discovery.Timing;
import ivybank.invariants.InvariantGuard;
import ivybank.memory.MemoryTable;
import ivybank.operations.MaintenanceState;
import ivybank.operator.OperatorFile;
import ivybank.operator.OperatorFile.StoreSettings;
import ivybank.peers.PeerFleet;
import ivybank.policy.LoadShiftingBalancer;
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

/** A sidecar on sockets: wires its components on one event loop, starts them, and shuts them down in order. */
public final class Sidecar implements AdminTarget {

    private static final int BACKLOG = 1024;
    private static final long TALLY_INTERVAL_MS = 1000;
    private static final int PAGE_BYTES = 8192;
    private static final int CHUNK_ORDER = 5; // chunks of 256 KiB, because messages are small and memory is scarce
    /**
     * The buffer sizes of one read from a client or an upstream. Messages are small, and pipelined requests beyond those
     * being served wait here. A body that nobody takes can hold one read, whatever memory there is.
     */
    private static final int MIN_READ_BYTES = 512;

    private static final int INITIAL_READ_BYTES = 1024;
    private static final int CACHED_BUFFER_COUNT = 32;
    /**
     * The receive buffer of client sockets. The kernel buffers little more than this, and the end of a client's
     * connection may be queued behind it.
     */
    private static final int RECEIVE_BUFFER_BYTES = 256 * 1024;

    /**
     * The maximum idle time of upstream connections: a node with many open connections is slower, and an idle
     * connection costs as much as a new one within a few seconds.
     */
    private static final double MAX_UPSTREAM_IDLE_MS = 3000;

    private static final double IDLE_LIMIT_FRACTION = 0.5;
    private static final long REPORT_INTERVAL_MS = 10_000;
    private static final long HEAP_CHECK_INTERVAL_MS = 50;
    private static final long DRAIN_POLL_INTERVAL_MS = 5;
    /**
     * The interval at which a call to discovery is checked although the selector reports nothing: well within a drain's
     * grace period.
     */
    private static final long VERIFY_INTERVAL_MS = 40;

    private static final long LISTEN_RETRY_DELAY_MS = 100;
    private static final int MAX_LISTEN_TRIES = 100;
    private static final long WARM_UP_TIMEOUT_MS = 3000;
    private static final long DRAIN_TIMEOUT_S = 15;
    /** The time after which a process that ends accepts connections again if the store is not released. */
    private static final long STORE_RELEASE_TIMEOUT_MS = 800;

    private static final int SIGTERM_EXIT_CODE = 143;

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
    private final ProcessMemory memory;
    private final SecondTally tally = new SecondTally();
    private final StartTimeline timeline = new StartTimeline();
    private double tallyDueMs;
    private final StoreSettings store; // null: no promises are kept
    private final StoreOwnership storeOwnership; // null: no promises are kept
    private final ClientServer.Limits clientLimits;
    /** Completes once clients may be served: discovery was asked, or does not have to be asked first. */
    private final Promise<Void> discoveryReady;

    private boolean followsDiscovery;
    private volatile ClientServer server; // null until it is prepared
    private final CountDownLatch drained = new CountDownLatch(1);
    private final ServerSocketChannel inherited; // null: this process listens itself
    private volatile Handover handover; // null: no other process can take over
    private volatile boolean siblingPresent;
    private volatile PeerFleet peers; // null: this sidecar has no peers
    private volatile boolean successor;
    /** Whether discovery was asked, and has answered or is known not to answer. */
    private boolean discoveryAsked;
    /** Whether client connections are accepted, or would be with free capacity. */
    private volatile boolean listening;
    /** Whether clients are accepted as soon as the other process of this sidecar has released the store. */
    private volatile boolean readyToTakeOver;

    /** Whether this process, which is to end, leaves clients to another one. */
    private boolean leavingToSuccessor;

    /** From when on a process that leaves clients to another one closes connections without a request. */
    private double closeIdleAtMs;

    private final EventLoopStallDetector beforeSends;
    private final EventLoopStallDetector ofRequests;
    private final ConfigReload configReload;
    private final DrainSequence drain;

    /**
     * Creates a sidecar; it does not listen yet.
     *
     * @param store the settings of the store of promises; null for none
     * @param inherited the clients' listening socket, shared with other processes; null to listen as configured
     * @param memory the limits on what this process takes
     */
    Sidecar(
            Config config,
            ConfigFile file,
            Log log,
            Clock clock,
            DrainTimes drainTimes,
            Timing timing,
            StoreSettings store,
            ServerSocketChannel inherited,
            ProcessMemory memory)
            throws IOException {
        this.memory = memory;
        this.inherited = inherited;
        this.store = store;
        this.config = config;
        this.drainTimes = drainTimes;
        this.timing = timing;
        this.log = log;
        this.clock = clock;
        group = StartRetry.call(
                "creating the event loop",
                log,
                e -> false,
                () -> new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()));
        loop = group.next();
        discoveryReady = loop.newPromise();
        timeline.reached("event loop created");
        watchdog = new Watchdog(loop, clock, log);
        guard = new InvariantGuard(log::line);
        DescriptorShares shares =
                DescriptorShares.of(config.sockets(), memory.table().clientConnections());
        descriptors = new DescriptorBudget(shares.total());
        clientLimits = shares.clients();
        UpstreamPool.Limits limits = UpstreamPool.Limits.standard(
                shares.upstreams(),
                (int) config.connectTimeoutMs(),
                Math.min(MAX_UPSTREAM_IDLE_MS, IDLE_LIMIT_FRACTION * config.connectionIdleMs()),
                config.settings().contract().coldMs());
        buffers = new PooledByteBufAllocator(
                true, 0, 1, PAGE_BYTES, CHUNK_ORDER, CACHED_BUFFER_COUNT, CACHED_BUFFER_COUNT, false);
        Bootstrap base = new Bootstrap().option(ChannelOption.ALLOCATOR, buffers);
        pool = new UpstreamPool(
                loop,
                clock,
                limits,
                descriptors,
                new LoadReport(config.settings().reportFields()),
                base.clone().channel(UpstreamSocketChannel.class).option(ChannelOption.RECVBUF_ALLOCATOR, readSizes()),
                log);
        pool.setMemory(memory.messages());
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
                this::listUpdated,
                clock,
                log);
        storeOwnership = store == null
                ? null
                : new StoreOwnership(
                        store, config.name(), config.settings(), dispatcher, loop, clock, log, this::storeHeld);
        configReload = new ConfigReload(loop, file, discovery::moveTo, clock, log);
        drain = new DrainSequence(clock, log);
        beforeSends = EventLoopStallDetector.forSends(config.drainGraceMs(), clock.nowMs());
        ofRequests = EventLoopStallDetector.forRequestTimes(clock.nowMs());
    }

    /**
     * Opens the store and creates the client side. May take long while the operating system reports temporary failures;
     * discovery is therefore followed before.
     *
     * @param siblingRunning whether another process of this sidecar is running, which may hold the store
     */
    private void prepare(boolean siblingRunning) throws IOException {
        if (storeOwnership != null) {
            openStore(siblingRunning);
        } else {
            timeline.reached("no store");
        }
        server = new ClientServer(
                config.settings(),
                storeOwnership == null ? dispatcher : storeOwnership.handler(),
                clock,
                clientLimits,
                descriptors,
                store == null ? null : store.promises().header(),
                log);
        server.setMemory(memory.messages());
    }

    /**
     * Runs a sidecar as its environment configures it, until the process receives a shutdown signal.
     *
     * @param operator the operator file, or null for none
     */
    @SuppressWarnings("ThreadPriorityCheck") // effective only with a JVM option, and nothing depends on it
    public static void serve(Map<String, String> environment, String operator) throws IOException, InputException {
        boolean sighupEnabled = HangupSignal.listen();
        BackgroundOutput output = BackgroundOutput.replaceStandardError();
        SiblingProcesses siblings = environment.containsKey(InheritedListener.VARIABLE)
                ? AdminStartup.registerIfPossible(environment)
                : null;
        Config config = Config.load(environment);
        Timing standard = Timing.standard(config.settings().subscribesToList(), config.drainGraceMs());
        // Without the file its classes are not loaded.
        OperatorFile operatorFile = operator == null ? null : OperatorFile.read(Path.of(operator), standard);
        Timing timing = operatorFile == null ? standard : operatorFile.discovery();
        Clock clock = Clock.system();
        Log log = new Log(System.err, clock);
        MemoryTable.Limits limits = ProcessMemory.limits(
                config.memoryMb(),
                DescriptorShares.of(config.sockets()).clients().maxAccepted(),
                config.known().entries().size());
        StoreSettings store = operatorFile == null || operatorFile.store() == null
                ? null
                : PromiseStartup.fitted(operatorFile.store(), limits, log);
        Sidecar sidecar = new Sidecar(
                config,
                new ConfigFile(environment),
                log,
                clock,
                DrainTimes.longest(config.settings()),
                timing,
                store,
                InheritedListener.listener(environment, log),
                ProcessMemory.of(store == null ? limits : limits.withStore(PromiseStartup.memory(store))));
        sidecar.follow(ProcessAge.maxMs());
        boolean siblingRunning = AdminStartup.mayHaveOthers(siblings);
        sidecar.prepare(siblingRunning);
        if (operatorFile != null && operatorFile.peers() != null) {
            sidecar.joinPeers(
                    PeerStartup.of(
                            operatorFile.peers(),
                            config,
                            environment,
                            sidecar.loop,
                            clock,
                            log,
                            count -> sidecar.dispatcher.sidecars(count, "from the view of the fleet")),
                    siblingRunning);
        }
        if (config.adminAddress() != null) {
            StartRetry.call("opening the admin endpoint", log, e -> false, () -> {
                AdminStartup.open(sidecar, config.adminAddress(), environment, siblings, clock, log);
                return sidecar;
            });
        }
        HangupSignal.handle(sidecar::reload);
        if (!sighupEnabled) {
            log.line("SIGHUP is ignored since before the start (as by nohup) and has no effect: the configuration is"
                    + " reloaded only when a connection to discovery has ended");
        }
        if (siblings != null) {
            // Another process is serving clients on the same core, so that the start can wait for it. The threads that
            // serve were started before and keep their priority. Effective only with the JVM option for priorities.
            Thread.currentThread().setPriority(Thread.MIN_PRIORITY);
        }
        Warmup.run(config.settings(), WARM_UP_TIMEOUT_MS);
        sidecar.timeline.reached("warmed up");
        if (sidecar.inherited != null && AdminStartup.sharedFolder(environment) != null) {
            sidecar.handOver(AdminStartup.sharedFolder(environment));
        }
        sidecar.start();
        // A socket shared with other processes is never closed here: the process ends without further steps.
        Runnable end = () -> {
            if (sidecar.inherited == null) {
                sidecar.drain();
                output.awaitWritten();
            } else {
                sidecar.drainAndWait();
                output.awaitWritten();
                Runtime.getRuntime().halt(SIGTERM_EXIT_CODE);
            }
        };
        Runtime.getRuntime().addShutdownHook(new Thread(end, "drain"));
    }

    /**
     * Joins the fleet of peers.
     *
     * @param later whether another process of this sidecar was running first
     */
    private void joinPeers(PeerFleet fleet, boolean later) throws IOException {
        successor = later;
        // During an upgrade two processes share one address for a while.
        SupervisedTask ticks =
                StartRetry.call("listening for peers", log, e -> false, () -> fleet.open(inherited != null));
        EventLoopTasks.execute(loop, () -> watchdog.watch(ticks));
        peers = fleet;
    }

    @Override
    public CompletionStage<String> fleetView() {
        return peers == null ? null : peers.asked();
    }

    @Override
    public void siblingPresent(boolean present) {
        siblingPresent = present;
        loop.execute(() -> {
            server.setOtherProcessPresent(present);
            memory.shareAmong(present ? 2 : 1, log);
        });
        if (peers != null && (!present || !successor)) { // of two processes, the later one represents the sidecar
            loop.execute(() -> peers.hush(present));
        }
        successor &= present;
        Handover current = handover;
        if (current != null) {
            current.siblingPresent(present);
        }
    }

    /** Takes over the state that another process has left in this folder, and shares the state of this one there. */
    void handOver(Path folder) {
        Handover next = new Handover(folder, loop, dispatcher, server, descriptors, clock, log);
        next.shareCalls(folder);
        next.takeOver();
        handover = next;
        next.siblingPresent(siblingPresent);
        SupervisedTask rounds = next.start();
        EventLoopTasks.execute(loop, () -> watchdog.watch(rounds));
    }

    /** Notifies whether this process holds the store. Called on the event loop. */
    private void storeHeld(boolean held) {
        memory.holdsStore(held, log);
    }

    private void listUpdated(NodeListUpdate update) {
        dispatcher.listUpdated(update);
        memory.nodesListed(dispatcher.knownNodes(), log);
    }

    private void openStore(boolean siblingRunning) throws IOException {
        try {
            storeOwnership.open(siblingRunning);
        } catch (IOException e) {
            group.shutdownGracefully();
            throw e;
        }
        timeline.reached(storeOwnership.promises() == null ? "store held by the other process" : "store open");
    }

    /**
     * Waits for the store that the other process of this sidecar holds. That process serves clients meanwhile, and this one
     * says that it can.
     */
    private void takeOverStore() {
        discoveryReady.awaitUninterruptibly();
        timeline.reached("ready to take over");
        readyToTakeOver = true;
        storeOwnership.takeOver(() -> siblingPresent);
        timeline.reached("store taken over");
    }

    /** Follows discovery, and listens once everything that clients need is available. */
    InetSocketAddress start() throws IOException {
        follow(0);
        if (server == null) {
            prepare(false);
        }
        if (storeOwnership != null && storeOwnership.promises() == null) {
            takeOverStore();
        }
        Promise<Channel> bound = loop.newPromise();
        discoveryReady.addListener(asked -> {
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

    /** Returns whether this process can serve. */
    @Override
    public boolean isServing() {
        return (listening || readyToTakeOver) && dispatcher.ready();
    }

    @Override
    public CompletionStage<Boolean> isKnownNode(String node) {
        return CompletableFuture.supplyAsync(() -> dispatcher.isKnownNode(node), loop);
    }

    @Override
    public CompletionStage<Void> applyMaintenance(MaintenanceState state) {
        return CompletableFuture.runAsync(
                () -> {
                    dispatcher.applyMaintenance(state.nodesInMaintenance());
                    server.setStandby(state.standby());
                },
                loop);
    }

    /** Starts to serve clients. Called on the event loop. */
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

    /** Listens, and retries on temporary failures of the system; fails where another program uses the address. */
    private void listen(Promise<Channel> bound, int tries) {
        listen().addListener((ChannelFuture up) -> EventLoopTasks.execute(loop, () -> {
            if (up.isSuccess()) {
                bound.trySuccess(up.channel());
            } else if (tries >= MAX_LISTEN_TRIES || StartRetry.isAddressInUse(up.cause())) {
                bound.tryFailure(up.cause());
            } else {
                log.line("cannot listen yet, retrying: " + up.cause());
                loop.schedule(() -> listen(bound, tries + 1), LISTEN_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            }
        }));
    }

    /**
     * Starts the module with the last known list, and starts discovery, before anything that may take long: changes
     * that discovery announces count from the start of the process. Guards against requests to nodes that began to
     * drain before this process started: where lists are pushed, no client is served until the discovery agent has
     * answered or is known not to answer.
     *
     * @param listAgeMs the maximum age of the list that the process starts with, in milliseconds
     */
    private void follow(double listAgeMs) {
        if (followsDiscovery) {
            return;
        }
        followsDiscovery = true;
        double listAtMs = clock.nowMs() - listAgeMs;
        loop.execute(() -> {
            try {
                startFollowing(listAtMs);
            } catch (RuntimeException e) {
                discoveryReady.tryFailure(e);
            }
        });
    }

    private void startFollowing(double listAtMs) {
        pool.setTally(tally);
        dispatcher.setTally(tally);
        discovery.setTally(tally);
        ListLease lease = ListLease.standard(timing.asked(), config.drainGraceMs());
        lease.startAt(listAtMs);
        discovery.setLease(lease);
        dispatcher.enforce(lease, guard);
        watchdog.watch(discovery);
        watchdog.watch(configReload);
        pool.tasks().forEach(watchdog::watch);
        pool.setStallDetector(beforeSends);
        dispatcher.setStallDetectors(ofRequests, beforeSends);
        watchForStalls(beforeSends);
        watchForStalls(ofRequests);
        every("verification of the call to discovery", VERIFY_INTERVAL_MS, discovery::verify);
        log.line(config.name() + " of " + config.settings().sidecars() + " sidecars starts with a list of "
                + config.known().entries().size() + " nodes; limits: " + config.limitsSummary());
        log.line("memory of this process: " + memory.table()
                + (memory.table().fits() ? "" : "; it does not fit, the least is admitted"));
        dispatcher.start(config.known());
        if (timing.asked()) {
            discoveryReady.trySuccess(null);
        } else {
            discovery.onFirstCallCompleted(() -> {
                timeline.reached("discovery answered or timed out");
                discoveryAsked = true;
                discoveryReady.trySuccess(null);
            });
        }
        timeline.reached("call to discovery started");
        discovery.start();
        tallyDueMs = clock.nowMs() + TALLY_INTERVAL_MS;
        watchdog.watch(PeriodicTask.startAtRate("tally per second", loop, clock, log, TALLY_INTERVAL_MS, this::tally));
        every("report", REPORT_INTERVAL_MS, this::report);
        every("check of the heap", HEAP_CHECK_INTERVAL_MS, () -> memory.check(clock, log));
        watchdog.start();
    }

    /** Runs a step periodically on the event loop, whatever the outcome of a run. */
    private void every(String name, long periodMs, Runnable step) {
        watchdog.watch(PeriodicTask.start(name, loop, clock, log, periodMs, step));
    }

    /** Checks from now on whether the event loop stalled, as often as the detector needs. */
    private void watchForStalls(EventLoopStallDetector stallDetector) {
        long periodMs = (long) stallDetector.periodMs();
        Runnable check = () -> {
            watchdog.checkIfDue();
            if (stallDetector.check(clock.nowMs())) {
                settle(stallDetector);
            }
        };
        every("check for event loop stalls", periodMs, check);
    }

    private void settle(EventLoopStallDetector stallDetector) {
        NextSelect.runAfter(loop, () -> {
            boolean connectionsToOpen = server != null && server.hasUnopenedConnections();
            if (stallDetector.passCompleted(clock.nowMs(), connectionsToOpen)) {
                settle(stallDetector);
            }
        });
    }

    private AdaptiveRecvByteBufAllocator readSizes() {
        return new AdaptiveRecvByteBufAllocator(
                MIN_READ_BYTES, INITIAL_READ_BYTES, memory.table().readBytes());
    }

    private ChannelFuture listen() {
        if (!guard.checkStart(timing.asked() || discoveryAsked).isAllowed()) {
            throw new IllegalStateException("clients must not be served before discovery was asked");
        }
        return server.listen(
                new ServerBootstrap()
                        .group(group)
                        .channelFactory(() ->
                                inherited == null ? new ClientListenerChannel() : new ClientListenerChannel(inherited))
                        .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.ALLOCATOR, buffers)
                        .childOption(ChannelOption.RECVBUF_ALLOCATOR, readSizes()),
                loop,
                inherited == null ? config.listen() : null);
    }

    /** Reloads the configuration. Can be called on any thread. */
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

    /**
     * Logs what was done to each node in the last second: the sums over the logs of all sidecars show what no single
     * sidecar sees.
     */
    private void tally() {
        double nowMs = clock.nowMs();
        pool.reportIdle();
        SecondCounts second = tally.endSecond(nowMs, Math.max(0, nowMs - tallyDueMs));
        tallyDueMs = Math.max(tallyDueMs + TALLY_INTERVAL_MS, nowMs);
        if (second != null) {
            log.line(second.line() + " violations=" + guard.takeNewViolations() + (peers == null ? "" : peers.tally()));
            log.line(memoryLine());
        }
    }

    private String memoryLine() {
        Runtime runtime = Runtime.getRuntime();
        long heapBytes = runtime.totalMemory();
        return "memory: resident " + ResidentMemory.kibibytes() + " KiB; heap "
                + (heapBytes - runtime.freeMemory()) + " of " + heapBytes + " bytes; direct "
                + buffers.pinnedDirectMemory() + " in chunks of "
                + buffers.metric().usedDirectMemory()
                + " bytes; messages: " + memory.messages() + "; client connections "
                + (server == null ? "none" : server.connectionStates());
    }

    private void report() {
        String counts = dispatcher.counters().report();
        if (counts != null) {
            log.line(counts + "; connections: " + server.connections() + " from clients, " + pool.open()
                    + " to upstreams, " + pool.opened() + " opened and " + pool.malformedAnswers()
                    + " malformed answers so far; "
                    + server.evictedConnections()
                    + " client connections closed as idle and " + server.refusedRequests()
                    + " requests refused so far for lack of descriptors or, while draining, of connections or of time");
            log.line(server.endedConnections());
        }
        if (counts != null || memory.messages().isInUse()) {
            log.line(memoryLine());
        }
        if (counts != null && storeOwnership != null && storeOwnership.promises() != null) {
            log.line(storeOwnership.promises().statusLine());
        }
        if (peers != null) {
            log.line(peers.line());
        }
    }

    /**
     * Keeps serving new requests for a while, completes the requests in progress, and shuts down. Blocks until then.
     * Where this process listens by itself, clients keep using their connections and get no new ones after a while:
     * closing connections early left requests without a connection. Where another process has the listening socket as
     * well, and can serve, that process accepts all new connections from then on, and each answer closes its connection so
     * that the client reconnects there; it also gets the store. Connections that stay idle are closed late, so that no
     * request crosses the close.
     */
    void drain() {
        drainAndWait();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(1, TimeUnit.SECONDS);
    }

    private void drainAndWait() {
        EventLoopTasks.execute(loop, this::beginDrain);
        try {
            if (!drained.await(DRAIN_TIMEOUT_S, TimeUnit.SECONDS)) {
                log.line("drain: timed out with requests in progress, " + drain);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (storeOwnership != null) {
            storeOwnership.close();
        }
    }

    private void beginDrain() {
        if (!drain.begin()) {
            return;
        }
        log.line("drain started: " + dispatcher.unanswered() + " requests in progress; serving for "
                + drainTimes.stopServingMs() + " ms");
        if (peers != null) {
            drain.addStep(0, "notifying the peers", peers::draining);
        }
        if (!isSuccessorReady()) {
            drain.addStep(0, "keeping client connections open", server::retainConnections);
        }
        // Who waits in the backlog of a socket that this process does not close would be answered by nobody.
        long stopListeningMs = inherited == null ? drainTimes.stopListeningMs() : drainTimes.stopServingMs();
        drain.addStep(stopListeningMs, "stopping to accept connections", server::stopListening);
        drain.addStep(drainTimes.stopServingMs(), "closing connections after their answers", server::drain);
        closeIdleAtMs = clock.nowMs() + (double) drainTimes.stopServingMs();
        drain.completeAfter(drainTimes.stopServingMs(), () -> isDrained(0));
        drain.addStep(drainTimes.failOpenMs(), "refusing new requests", server::refuseAll);
        drain.addStep(drainTimes.failOpenMs(), "failing open requests", dispatcher::failOpen);
        pollDrain();
        every("poll of the drain", DRAIN_POLL_INTERVAL_MS, this::pollDrain);
    }

    /**
     * Leaves clients to the other process of this sidecar, which can serve them. Where there is a store, that process accepts
     * clients once it holds it; this one accepts again if the disk does not let it go in time.
     */
    private void leaveToSuccessor() {
        leavingToSuccessor = true;
        log.line("drain: another process of this sidecar serves clients from now on");
        if (storeOwnership == null) {
            drain.addStep(0, "stopping to accept connections", server::stopListening);
        } else {
            storeOwnership.beginRelease();
            drain.addStep(0, "accepting nothing for a moment", () -> server.pauseListening(STORE_RELEASE_TIMEOUT_MS));
        }
        drain.addStep(0, "closing idle connections to upstreams", pool::disableIdleConnections);
        drain.addStep(0, "closing connections after their answers", server::drain);
        drain.completeAfter(0, () -> isDrained(closeIdleAtMs));
    }

    private boolean isSuccessorReady() {
        Handover current = handover;
        return current != null && current.isSiblingReady();
    }

    private void pollDrain() {
        if (!leavingToSuccessor && isSuccessorReady()) {
            leaveToSuccessor();
        }
        if (leavingToSuccessor && storeOwnership != null && storeOwnership.pollRelease()) {
            server.stopListening();
        }
        if (drain.poll()) {
            drained.countDown();
        }
    }

    /**
     * Closes connections without a request from a given time on; returns whether no request is in progress any more.
     */
    private boolean isDrained(double closeIdleMs) {
        if (clock.nowMs() >= closeIdleMs) {
            server.closeIdle(true);
        }
        if (unanswered() > 0 || !server.isWithoutConnections()) {
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

    /** Returns the number of requests that have been accepted and not answered yet. */
    int requestsInProgress() {
        return CompletableFuture.supplyAsync(this::unanswered, loop).join();
    }

    private int unanswered() {
        return storeOwnership == null
                ? dispatcher.unanswered()
                : storeOwnership.handler().unanswered();
    }
}
