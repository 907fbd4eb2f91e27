package ivybank.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.QueryStringDecoder;
import ivybank.common.Clock;
import ivybank.common.DescriptorBudget;
import ivybank.common.EventLoopStallDetector;
import ivybank.common.Log;
import ivybank.exchange.RequestHandler;
import ivybank.invariants.InvariantGuard;
import ivybank.operations.Standby;
import ivybank.policy.Balancer.Effect;
import ivybank.policy.Balancer.RequestClass;
import ivybank.policy.Balancer.Settings;
import ivybank.supervision.PeriodicTask;
import ivybank.supervision.SupervisedTask;
import java.net.SocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Listens for the client and keeps its connections. */
public final class ClientServer {

    /**
     * Up to how many client connections none is closed early, up to how many requests are served, and how many are
     * accepted to be told otherwise; and how many the client has for requests in hand, all processes of the sidecar together.
     */
    public record Limits(int evictionThreshold, int maxServed, int maxAccepted, int requestConnections) {}

    private static final long SWEEP_MS = 100;
    /** Well within the time after which nothing may be sent for a client that has left. */
    private static final long VERIFY_MS = 50;

    private static final int VERIFICATIONS_OF_ALL = 8;
    /** Of what all clients have sent and nobody has taken up yet. */
    private static final long MOST_HELD = 4L << 20;
    /** What one connection that is used again, or is closed unused after its first request, says of them all. */
    private static final double REUSE_STEP = 0.05;

    private static final double MOST_REUSE = 0.5;
    private static final int LEFT_OPEN = 8;
    /** Of the client's connections: so many requests may come at once before the first of them is refused. */
    private static final double SPARE_PART = 0.15;
    /**
     * While two processes are here: each has less of the core and is held up for longer, so that more comes before it looks,
     * and a request that finds no connection costs far more then than one that is told to come back.
     */
    private static final double SPARE_IN_COMPANY = 0.35;

    private final RequestHandler driver;
    private final Clock clock;
    private final Limits limits;
    private final DescriptorBudget descriptors;
    private final double retryAfterMs;
    private final Log log;
    private final List<RequestClass> classes;
    private final Map<String, Integer> classOfPath = new HashMap<>();
    private final Map<String, Integer> tenantOfName = new HashMap<>();
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final String identityHeader;
    private List<EventLoopStallDetector> stallDetectors = List.of();
    private InvariantGuard guard = new InvariantGuard(line -> {});
    private final ClientAcceptor acceptor;

    private double standbySinceMs;
    private boolean ending;
    private boolean draining;
    private boolean refusing;
    private boolean crowded;
    private long evictedConnections;
    /** The part of the connections that are used again, as seen lately. */
    private double reuse = 1;

    private int closeable;
    /** Requests of the client that another process of the sidecar has in hand. */
    private int elsewhere;

    private boolean company;
    private long refusedRequests;
    private long verifications;
    /** What waits on all connections, in bytes. */
    private long held;

    /** @param identityHeader the field that names a request over all its tries; null if nobody asks for it */
    public ClientServer(
            Settings settings,
            RequestHandler driver,
            Clock clock,
            Limits limits,
            DescriptorBudget descriptors,
            String identityHeader,
            Log log) {
        this.identityHeader = identityHeader;
        this.driver = driver;
        this.clock = clock;
        this.limits = limits;
        this.descriptors = descriptors;
        this.retryAfterMs = settings.limits().maxRetryAfterMs();
        this.log = log;
        this.acceptor = new ClientAcceptor(clock, log, this::room);
        this.classes = settings.classes();
        for (int i = 0; i < classes.size(); i++) {
            classOfPath.put("/" + classes.get(i).name(), i);
        }
        for (int i = 0; i < settings.tenants().size(); i++) {
            tenantOfName.put(settings.tenants().get(i).name(), i);
        }
    }

    /**
     * Begins to listen; the bootstrap brings the event loop, the kind of channel and its options. An {@code address} of null
     * means that the channel listens already.
     */
    public ChannelFuture listen(ServerBootstrap bootstrap, EventLoop eventLoop, SocketAddress address) {
        bootstrap.childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                RequestDecoder decoder = new RequestDecoder();
                RequestReader reader = new RequestReader(decoder);
                channel.pipeline()
                        .addLast(
                                decoder,
                                new HttpResponseEncoder(),
                                reader,
                                new ClientConnection(reader, ClientServer.this, driver, clock));
            }
        });
        return acceptor.listen(bootstrap, eventLoop, address);
    }

    /** Begins to look after connections and the listener; returns what does so. */
    public List<SupervisedTask> startSweeps(EventLoop eventLoop) {
        return List.of(
                PeriodicTask.start("sweep of the client's connections", eventLoop, clock, log, SWEEP_MS, this::sweep),
                PeriodicTask.start(
                        "verification of the client's connections", eventLoop, clock, log, VERIFY_MS, this::verify));
    }

    /** Looks at connections of which the selector may tell nothing: often where a request is in hand, now and then at all. */
    private void verify() {
        boolean all = ++verifications % VERIFICATIONS_OF_ALL == 0;
        List.copyOf(connections).forEach(connection -> connection.verify(all));
    }

    /** From now on tells these of each connection that is accepted. */
    public void setStallDetectors(List<EventLoopStallDetector> loops) {
        stallDetectors = loops;
    }

    String identityHeader() {
        return identityHeader;
    }

    public int connections() {
        return connections.size();
    }

    /** The class that a path begins with, or -1. */
    int classOf(String path) {
        // Names may come with escapes; the path goes on as it came.
        String name = path.indexOf('%') < 0 ? path : new QueryStringDecoder(path).path();
        return classOfPath.getOrDefault(name, -1);
    }

    Effect effectOf(int requestClass) {
        return classes.get(requestClass).effect();
    }

    int tenantOf(String name) {
        return tenantOfName.getOrDefault(name, 0);
    }

    void opened(ClientConnection connection) {
        acceptor.accepted();
        stallDetectors.forEach(EventLoopStallDetector::connectionAccepted);
        connections.add(connection);
        descriptors.acquire();
        evict(1);
        acceptor.adjust();
    }

    /** A connection has ended: gives back what it has taken, once. */
    void closed(ClientConnection connection) {
        if (!connections.remove(connection)) {
            return;
        }
        descriptors.release();
        acceptor.adjust();
        if (crowded && connections.size() <= limits.maxServed() / 2) {
            crowded = false;
            log.line("the client has " + connections.size() + " connections open: it is no longer crowded");
        }
    }

    /** How many more connections may be accepted. */
    private int room() {
        return Math.min(limits.maxAccepted() - connections.size(), descriptors.available());
    }

    /**
     * Closes connections of no use while there are many, those that have been so for longest first, up to so many at
     * once. Guards against clients that ask once and keep their connection, or that connect and say nothing: the
     * client has only so many connections for requests, and most requests found none while these were kept.
     */
    private void evict(int most) {
        double nowMs = clock.nowMs();
        int tooMany = ending
                ? 0
                : descriptors.isExhausted() ? most : Math.min(most, connections.size() - limits.evictionThreshold());
        evict(tooMany, connection -> connection.isSpare(nowMs));
        if (!ending && !reuses()) {
            evict(
                    Math.min(most, connections.size() - limits.evictionThreshold() / 2),
                    connection -> connection.isJunk(nowMs));
        }
    }

    private void evict(int most, Predicate<ClientConnection> of) {
        if (most > 0) {
            connections.stream()
                    .filter(of)
                    .sorted(Comparator.comparingDouble(ClientConnection::freeSinceMs))
                    .limit(most)
                    .toList()
                    .forEach(this::evict);
        }
    }

    private void evict(ClientConnection connection) {
        boolean once = connection.askedOnce();
        connection.retire(() -> {
            evictedConnections++;
            reuse -= once ? reuse * REUSE_STEP : 0;
        });
    }

    /** A second request has come on a connection. */
    void reused() {
        reuse += (1 - reuse) * REUSE_STEP;
    }

    private boolean reuses() {
        return reuse >= MOST_REUSE;
    }

    /**
     * Whether a connection is to be closed with the answer to its first request. Guards the client's few connections
     * where each request comes on a new one and the old ones are kept: they were all taken, and most requests found none.
     * Some are left open, to see whether that still holds.
     */
    boolean closesAtOnce() {
        return !ending
                && !reuses()
                && connections.size() > limits.evictionThreshold() / 2
                && ++closeable % LEFT_OPEN != 0;
    }

    /** Whether so many bytes more may wait. */
    boolean hasRoomFor(long bytes) {
        return held + bytes < MOST_HELD;
    }

    void holds(long bytes) {
        held += bytes;
    }

    /** A request is refused that came while too many waited. */
    void tooMany() {
        refusedRequests++;
    }

    /** From now on asks this before connections are closed. Before the first is accepted. */
    public void setGuard(InvariantGuard invariants) {
        guard = invariants;
    }

    /** Whether what is accepted now may have stood in the backlog for a while. */
    boolean heldBackOfLate() {
        return acceptor.heldBackOfLate();
    }

    InvariantGuard guard() {
        return guard;
    }

    /** Notes a request that is failed because of a fault of this program. */
    void failed(Throwable cause) {
        log.line("a request failed on a fault of this program: " + cause);
    }

    /** Notes a request that is failed because nothing can be read on its connection. */
    void unreadable() {
        log.line(
                "a client's connection can't be read: its request is failed, for whether the client left can't be seen");
    }

    /** Notes that who sent half a request, or can't be read, is told so, so long after it began to wait, in milliseconds. */
    void toldUnread(double afterMs) {
        log.line("half a request, or one that can't be read, is answered with 408, " + Math.round(afterMs)
                + " ms after its client connected");
    }

    /** Notes a connection that was about to be closed when something came on it. */
    void spared() {
        log.line("a client's connection that looked unused was not closed: a request had come on it");
    }

    private void sweep() {
        acceptor.look(); // descriptors may have come free on the other side
        double nowMs = clock.nowMs();
        // When ending, those that have brought requests are kept: the client gets no others.
        List.copyOf(connections).forEach(connection -> connection.endStalled(nowMs));
        List.copyOf(connections).stream()
                .filter(connection -> connection.isUseless(nowMs, ending))
                .forEach(this::evict);
        evict(connections.size());
        Standby standby = standby();
        if (standby.compareTo(Standby.CLOSING_IDLE) >= 0) {
            closeIdle(standby == Standby.CLOSING_ALL);
        }
    }

    /** Requests refused so far for want of descriptors, or of connections that the client could still open. */
    public long refusedRequests() {
        return refusedRequests;
    }

    /** Connections closed so far because no request came on them. */
    public long evictedConnections() {
        return evictedConnections;
    }

    /**
     * Whether a request is one too many for the descriptors. Guards against clients that are left in the backlog: what
     * they send there is taken, and was lost by the thousand when nobody read it before its deadline. It is refused at
     * once instead, before the module hears of it, and its connection closed.
     */
    boolean overfull() {
        boolean overfull = refusing || connections.size() > limits.maxServed();
        refusedRequests += overfull ? 1 : 0;
        if (overfull && !crowded && !refusing) {
            crowded = true;
            log.line("the client has " + connections.size() + " connections open, " + driver.unanswered()
                    + " requests in hand: refusing what comes beyond " + limits.maxServed());
        }
        return overfull;
    }

    /** Tells whether another process of the sidecar is here. */
    public void setOtherProcessPresent(boolean another) {
        company = another;
        elsewhere = another ? elsewhere : 0;
    }

    /** Tells how many requests of the client that one has in hand. */
    public void setOtherProcessRequests(int requests) {
        elsewhere = company ? requests : 0;
    }

    /**
     * Whether a request takes one of the last free connections that the client has: of those here when ending, for it can't
     * replace them then; of all that it has for requests where another process may take over at any time, for it is too
     * late to make room once that one is here. Guards against a client that finds none: what it sends next,
     * whatever that is worth, never gets here, and after the signal to end it was seen to send nothing more, on any of them,
     * until the next process was there. Such a request is refused at once, and its connection is free again. It does harm
     * where a client would have waited for the next free connection instead.
     */
    boolean takesTheLast() {
        if (!ending && !acceptor.isShared()) {
            return false;
        }
        int all = ending ? connections.size() : limits.requestConnections();
        int inHand = driver.unanswered() + (ending ? 0 : elsewhere);
        // Never all that it has: a client with one connection was refused everything after the signal to end.
        int spare = Math.min(all - 1, (int) Math.ceil(all * (company && !ending ? SPARE_IN_COMPANY : SPARE_PART)));
        boolean last = inHand >= all - spare;
        refusedRequests += last ? 1 : 0;
        return last;
    }

    double retryAfterMs() {
        return retryAfterMs;
    }

    /** Whether each answer ends its connection. */
    boolean draining() {
        return draining || standby().compareTo(Standby.CLOSING_AFTER_ANSWER) >= 0;
    }

    /** Sends clients away since this time, Unix time in milliseconds; 0 takes them again. */
    public void setStandbySince(double sinceMs) {
        standbySinceMs = sinceMs;
    }

    /** Whether new clients are to come. */
    boolean ready() {
        return driver.ready() && standby() == Standby.OFF;
    }

    private Standby standby() {
        return Standby.at(standbySinceMs, clock.nowMs());
    }

    /** From now on no connection is closed for others' sake: the client gets no new ones. */
    public void retainConnections() {
        ending = true;
    }

    /** From now on each answer ends its connection. */
    public void drain() {
        draining = true;
    }

    /** From now on nothing is taken any more: the process ends before it could be answered. */
    public void refuseAll() {
        refusing = true;
    }

    /** Closes the connections on which no request is at hand, {@code partial}: also those on which half a one has come. */
    public void closeIdle(boolean partial) {
        List.copyOf(connections).forEach(connection -> connection.closeIfIdle(partial));
    }

    /** Accepts nothing more; the listening socket is left as it is where it may be another process's as well. */
    public void stopListening() {
        acceptor.stop();
    }
}
