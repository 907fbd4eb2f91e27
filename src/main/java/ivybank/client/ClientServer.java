package ivybank.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.QueryStringDecoder;
import ivybank.common.Clock;
import ivybank.common.DescriptorBudget;
import ivybank.common.EventLoopStallDetector;
import ivybank.common.LineLimit;
import ivybank.common.Log;
import ivybank.exchange.RequestHandler;
import ivybank.invariants.InvariantGuard;
import ivybank.memory.MessageMemory;
import ivybank.operations.Standby;
import ivybank.policy.Balancer.Effect;
import ivybank.policy.Balancer.RequestClass;
import ivybank.policy.Balancer.Settings;
import ivybank.supervision.PeriodicTask;
import ivybank.supervision.SupervisedTask;
import java.net.SocketAddress;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Listens for clients and manages their connections. */
public final class ClientServer {

    /**
     * Limits on client connections.
     *
     * @param evictionThreshold the number of connections up to which none is closed early
     * @param maxServed the number of connections up to which requests are served
     * @param maxAccepted the number of connections that are accepted; those above {@code maxServed} only to be refused
     * @param requestConnections the number of connections that clients have for requests in progress, over all processes of
     *     the sidecar
     */
    public record Limits(int evictionThreshold, int maxServed, int maxAccepted, int requestConnections) {}

    /**
     * The limits on the time for which a connection without a known request may be unreadable: a request that stands in its
     * socket still gets an answer in time, which may come half a second late at most.
     */
    private static final double MAX_UNREADABLE_IDLE_MS = 2300;

    private static final double LATE_ANSWER_MS = 250;

    private static final long SWEEP_INTERVAL_MS = 100;
    /** The interval between polls; well below the 100 ms after which nothing may be sent for a client that has disconnected. */
    private static final long POLL_INTERVAL_MS = 50;

    private static final int POLLS_PER_FULL_POLL = 8;
    /** The weight in {@code reuseRatio} of one connection that is reused, or is closed unused after its first request. */
    private static final double REUSE_STEP = 0.05;

    private static final double REUSE_THRESHOLD = 0.5;
    private static final int CLOSE_CANDIDATES_PER_KEPT = 8;
    /**
     * The share of the client's connections that is kept free: that many requests may arrive at once before the first is
     * refused.
     */
    private static final double RESERVED_SHARE = 0.15;
    /**
     * The share that is kept free while two processes of the sidecar run. Each has a smaller share of the CPU and stalls for
     * longer, so that more requests arrive before it reads them; and a request that finds no connection costs far more then
     * than one that is refused.
     */
    private static final double RESERVED_SHARE_BESIDE_OTHER_PROCESS = 0.35;

    private final RequestHandler handler;
    private final Clock clock;
    private final Limits limits;
    private final DescriptorBudget descriptors;
    private final double retryAfterMs;
    private final double unreadableIdleTimeoutMs;
    private final Log log;
    private final List<RequestClass> classes;
    private final Map<String, Integer> classOfPath = new HashMap<>();
    private final Map<String, Integer> tenantOfName = new HashMap<>();
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final String identityHeader;
    private List<EventLoopStallDetector> stallDetectors = List.of();
    private MessageMemory memory = MessageMemory.unlimited();
    private InvariantGuard guard = new InvariantGuard(line -> {});
    private final ClientAcceptor acceptor;
    private final ConnectionEndLog ends;
    private final LineLimit<EndReason> overdueLines = new LineLimit<>();
    private long connectionIds;
    private long cancelledRetirements;

    private Standby standby = Standby.NONE;
    private boolean ending;
    private boolean draining;
    private boolean refusing;
    private boolean crowded;
    private long evictedConnections;
    /** The moving average of the share of connections that are reused. */
    private double reuseRatio = 1;

    private int closeCandidates;
    /** The number of client requests in progress in another process of the sidecar. */
    private int otherProcessRequests;

    private boolean otherProcessPresent;
    private long refusedRequests;
    private long polls;

    /** @param identityHeader the header field that identifies a request over all its retries; null if none is used */
    public ClientServer(
            Settings settings,
            RequestHandler handler,
            Clock clock,
            Limits limits,
            DescriptorBudget descriptors,
            String identityHeader,
            Log log) {
        this.identityHeader = identityHeader;
        this.handler = handler;
        this.clock = clock;
        this.limits = limits;
        this.descriptors = descriptors;
        this.retryAfterMs = settings.limits().maxRetryAfterMs();
        this.log = log;
        this.ends = new ConnectionEndLog(log, clock);
        this.acceptor = new ClientAcceptor(clock, log, this::freeCapacity, this::evictOne);
        this.classes = settings.classes();
        double shortestDeadlineMs =
                classes.stream().mapToDouble(RequestClass::deadlineMs).min().orElse(MAX_UNREADABLE_IDLE_MS);
        this.unreadableIdleTimeoutMs = Math.min(MAX_UNREADABLE_IDLE_MS, shortestDeadlineMs + LATE_ANSWER_MS);
        for (int i = 0; i < classes.size(); i++) {
            classOfPath.put("/" + classes.get(i).name(), i);
        }
        for (int i = 0; i < settings.tenants().size(); i++) {
            tenantOfName.put(settings.tenants().get(i).name(), i);
        }
    }

    /**
     * Starts listening.
     *
     * @param bootstrap provides the channel type and its options
     * @param address the address, or null if the channel is already listening
     */
    public ChannelFuture listen(ServerBootstrap bootstrap, EventLoop eventLoop, SocketAddress address) {
        HttpHeadersFactory headers = ArrivalParser.headersFactory(identityHeader);
        bootstrap.childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                RequestDecoder decoder = new RequestDecoder(headers);
                RequestReader reader = new RequestReader(decoder, memory);
                ClientConnection connection =
                        new ClientConnection(++connectionIds, reader, ClientServer.this, handler, clock);
                decoder.setWorkListener(connection::inputProcessed);
                channel.pipeline().addLast(decoder, new HttpResponseEncoder(), reader, connection);
            }
        });
        return acceptor.listen(bootstrap, eventLoop, address);
    }

    /** Starts the periodic checks of connections and listener, and returns them. */
    public List<SupervisedTask> startSweeps(EventLoop eventLoop) {
        return List.of(
                PeriodicTask.start(
                        "sweep of client connections", eventLoop, clock, log, SWEEP_INTERVAL_MS, this::sweep),
                PeriodicTask.start(
                        "polling of client connections",
                        eventLoop,
                        clock,
                        log,
                        POLL_INTERVAL_MS,
                        this::pollConnections));
    }

    /**
     * Polls connections for which the selector may report nothing: those with a request in progress each time, all others at
     * a lower rate.
     */
    private void pollConnections() {
        boolean all = ++polls % POLLS_PER_FULL_POLL == 0;
        List.copyOf(connections).forEach(connection -> connection.pollChannel(all));
    }

    /** Sets the stall detectors, which are notified of each accepted connection. */
    public void setStallDetectors(List<EventLoopStallDetector> detectors) {
        stallDetectors = detectors;
    }

    /** Sets the memory in which messages are reserved. Must be called before the first connection is accepted. */
    public void setMemory(MessageMemory messages) {
        memory = messages;
    }

    MessageMemory memory() {
        return memory;
    }

    String identityHeader() {
        return identityHeader;
    }

    public int connections() {
        return connections.size();
    }

    /** Returns whether no connection is open, and none is being accepted or opened. */
    public boolean isWithoutConnections() {
        return connections.isEmpty() && !hasUnopenedConnections();
    }

    /** Returns whether connections are being accepted, or have been accepted and are not open yet. */
    public boolean hasUnopenedConnections() {
        return acceptor.hasUnopenedConnections();
    }

    /** Returns the request class that a path begins with, or -1. */
    int classOf(String path) {
        // Class names may be percent-encoded; the path is forwarded as received.
        String name = path.indexOf('%') < 0 ? path : new QueryStringDecoder(path).path();
        return classOfPath.getOrDefault(name, -1);
    }

    Effect effectOf(int requestClass) {
        return classes.get(requestClass).effect();
    }

    int tenantOf(String name) {
        return tenantOfName.getOrDefault(name, 0);
    }

    void connectionOpened(ClientConnection connection) {
        acceptor.connectionAccepted();
        stallDetectors.forEach(EventLoopStallDetector::connectionAccepted);
        connections.add(connection);
        descriptors.acquire();
        evict(1);
        acceptor.adjust();
    }

    /** Releases what a closed connection has held; further calls for it do nothing. */
    void connectionClosed(ClientConnection connection) {
        if (!connections.remove(connection)) {
            return;
        }
        descriptors.release();
        acceptor.adjust();
        if (crowded && connections.size() <= limits.maxServed() / 2) {
            crowded = false;
            log.line("client connections open: " + connections.size() + "; no longer refusing requests over the limit");
        }
    }

    /** Returns how many more connections may be accepted. */
    private int freeCapacity() {
        return Math.min(limits.maxAccepted() - connections.size(), descriptors.available());
    }

    /**
     * Closes unused connections while many are open, longest unused first, up to {@code max} at once. Clients have a
     * limited number of connections for requests; while connections were kept whose clients send one request or none, most
     * requests found no connection.
     */
    private void evict(int max) {
        double nowMs = clock.nowMs();
        int surplus = ending
                ? 0
                : descriptors.isExhausted() ? max : Math.min(max, connections.size() - limits.evictionThreshold());
        evict(surplus, EndReason.SURPLUS, connection -> connection.isSurplus(nowMs));
        if (!ending && !reusesConnections()) {
            evict(
                    Math.min(max, connections.size() - limits.evictionThreshold() / 2),
                    EndReason.SURPLUS,
                    connection -> connection.isSingleUseSurplus(nowMs));
        }
    }

    /** Closes the connection that has been unused for longest, even while the process ends. */
    private void evictOne() {
        double nowMs = clock.nowMs();
        evict(1, EndReason.SURPLUS, connection -> connection.isSurplus(nowMs));
    }

    private void evict(int max, EndReason reason, Predicate<ClientConnection> filter) {
        if (max > 0) {
            connections.stream()
                    .filter(filter)
                    .sorted(Comparator.comparingDouble(ClientConnection::freeSinceMs))
                    .limit(max)
                    .toList()
                    .forEach(connection -> evict(connection, reason));
        }
    }

    private void evict(ClientConnection connection, EndReason reason) {
        boolean servedOnce = connection.hasServedOnce();
        connection.retire(reason, () -> {
            evictedConnections++;
            reuseRatio -= servedOnce ? reuseRatio * REUSE_STEP : 0;
        });
    }

    /** Returns the log of ended connections. */
    ConnectionEndLog ends() {
        return ends;
    }

    /** Returns how many connections have ended, by reason, on one line for the log. */
    public String endedConnections() {
        return ends.summary() + "; kept because of input found last: " + cancelledRetirements;
    }

    /** Records that a connection has carried a second request. */
    void connectionReused() {
        reuseRatio += (1 - reuseRatio) * REUSE_STEP;
    }

    private boolean reusesConnections() {
        return reuseRatio >= REUSE_THRESHOLD;
    }

    /**
     * Returns whether a connection is to be closed with the answer to its first request. Where each request arrives on
     * a new connection, the old ones, when kept open, took all of the client's few connections, and most requests found
     * none. Some connections are kept open to detect whether that still holds.
     */
    boolean closesAfterFirstAnswer() {
        return !ending
                && !reusesConnections()
                && connections.size() >= limits.evictionThreshold() / 2
                && ++closeCandidates % CLOSE_CANDIDATES_PER_KEPT != 0;
    }

    /** Counts a request that is refused before it is passed to the handler. */
    void countRefusal() {
        refusedRequests++;
    }

    /**
     * Sets the guard that is consulted before connections are closed. Must be called before the first connection is
     * accepted.
     */
    public void setGuard(InvariantGuard newGuard) {
        guard = newGuard;
    }

    /** Returns whether connections accepted now may have waited in the backlog. */
    boolean recentlyDelayed() {
        return acceptor.recentlyDelayed();
    }

    InvariantGuard guard() {
        return guard;
    }

    /** Returns for how long a connection without a known request may be unreadable, in milliseconds. */
    double unreadableIdleTimeoutMs() {
        return unreadableIdleTimeoutMs;
    }

    /** Logs a request that failed because of an unexpected error in this program. */
    void logFailure(Throwable cause) {
        log.line("request failed on a fault of this program: " + cause);
    }

    /** Logs a request that is failed because its connection is unreadable. */
    void logUnreadable() {
        log.line("a client connection can't be read: failing its request, since a disconnect would go unnoticed");
    }

    /**
     * Logs that a partial or unreadable request is answered with a timeout, this many milliseconds after its client
     * connected.
     */
    void logRequestTimeout(double afterMs) {
        log.line("answering a request that is partial or can't be read with 408, " + Math.round(afterMs)
                + " ms after its client connected");
    }

    /** Logs that a request is refused whose last byte may have been in its socket for almost all of its time. */
    void logOverdue(String callId, String reading) {
        if (overdueLines.allows(EndReason.REQUEST_TIMEOUT, clock.nowMs())) {
            log.line("request " + callId + " is refused, its last byte was not read in time: " + reading);
        }
    }

    /** Returns the open connections by what they are doing, for the log. */
    public String connectionStates() {
        Map<ConnectionState, Long> states = connections.stream()
                .collect(Collectors.groupingBy(
                        ClientConnection::state, () -> new EnumMap<>(ConnectionState.class), Collectors.counting()));
        return states.toString();
    }

    /** Counts a connection that was about to be closed as unused when input was found on it. */
    void countRetirementCancelled() {
        cancelledRetirements++;
    }

    private void sweep() {
        acceptor.check(); // the upstream side may have released descriptors
        double nowMs = clock.nowMs();
        // While the process ends, connections that have carried requests are kept: the client gets no others.
        List.copyOf(connections).forEach(connection -> connection.endStalled(nowMs));
        List.copyOf(connections).stream()
                .filter(connection -> connection.hasTimedOut(nowMs, ending))
                .forEach(connection -> evict(connection, EndReason.IDLE_TIMEOUT));
        evict(connections.size());
        if (memory.mustEndStalledRequests()) {
            evict(connections.size(), EndReason.SURPLUS, connection -> connection.hasStalledRequest(nowMs));
        }
        if (!mayHold(nowMs)) {
            List.copyOf(connections).forEach(ClientConnection::refuseIncomplete);
        }
        Standby.Phase phase = standby.phase(nowMs);
        if (phase.compareTo(Standby.Phase.CLOSING_IDLE) >= 0) {
            closeIdle(phase == Standby.Phase.CLOSING_ALL);
        }
    }

    /** Returns the number of requests refused for lack of descriptors, of free connections or of time to hold them. */
    public long refusedRequests() {
        return refusedRequests;
    }

    /** Returns the number of connections closed because they were unused. */
    public long evictedConnections() {
        return evictedConnections;
    }

    /**
     * Returns whether a request exceeds the number of connections that are served. Clients beyond it are still accepted and
     * refused at once, before the decision module is involved, and their connections closed: if they stayed in the backlog,
     * their requests would be sent all the same, and thousands were lost because nobody read them before their deadline.
     */
    boolean isOverCapacity() {
        boolean overCapacity = connections.size() > limits.maxServed();
        refusedRequests += overCapacity ? 1 : 0;
        if (overCapacity && !crowded) {
            crowded = true;
            log.line("client connections open: " + connections.size() + ", requests in progress: "
                    + handler.unanswered() + "; refusing requests on connections beyond " + limits.maxServed());
        }
        return overCapacity;
    }

    /** Sets whether another process of the sidecar is running. */
    public void setOtherProcessPresent(boolean another) {
        otherProcessPresent = another;
        otherProcessRequests = another ? otherProcessRequests : 0;
    }

    /** Sets the number of client requests in progress in the other process. */
    public void setOtherProcessRequests(int requests) {
        otherProcessRequests = otherProcessPresent ? requests : 0;
    }

    /**
     * Returns whether a request takes one of the last free connections that the client has. While the process ends, these
     * are the connections open here, because the client can't replace them. Where another process may take over at any time,
     * they are all that the client has for requests, because once that process runs it is too late to free some. A client
     * without a free connection can't send its next request, however valuable; after a shutdown signal a client was seen to
     * send nothing more on any connection until the next process had started. Such a request is refused at once, which frees
     * its connection. The drawback: a client that would have waited for the next free connection is refused instead.
     */
    boolean takesReservedConnection() {
        if (!ending && !acceptor.isShared()) {
            return false;
        }
        int total = ending ? connections.size() : limits.requestConnections();
        int inProgress = handler.unanswered() + (ending ? 0 : otherProcessRequests);
        // Never all connections: otherwise a client with one connection is refused everything during shutdown.
        int reserved = Math.min(total - 1, (int) Math.ceil(
                total * (otherProcessPresent && !ending ? RESERVED_SHARE_BESIDE_OTHER_PROCESS : RESERVED_SHARE)));
        boolean takesReserved = inProgress >= total - reserved;
        refusedRequests += takesReserved ? 1 : 0;
        return takesReserved;
    }

    double retryAfterMs() {
        return retryAfterMs;
    }

    /** Returns whether each answer closes its connection. */
    boolean draining() {
        return draining || standby.phase(clock.nowMs()).compareTo(Standby.Phase.CLOSING_AFTER_ANSWER) >= 0;
    }

    /** Sets the standby order; {@link Standby#NONE} ends the standby. */
    public void setStandby(Standby order) {
        standby = order;
    }

    /**
     * Returns whether a request whose last byte was received at this time, in milliseconds of the clock, may be held for as
     * long as its client waits. Any other is refused at once and not sent: the sidecar on standby has to let go of it, or the
     * process ends, before it could be answered.
     */
    boolean mayHold(double lastByteMs) {
        return !refusing && standby.mayHold(lastByteMs);
    }

    /** Returns whether new clients are to use this sidecar. */
    boolean ready() {
        return handler.ready() && standby.phase(clock.nowMs()) == Standby.Phase.OFF;
    }

    /** Stops closing unused connections to free capacity for others, since the client gets no new ones. */
    public void retainConnections() {
        ending = true;
    }

    /** Closes each connection with its next answer. */
    public void drain() {
        draining = true;
    }

    /** Refuses all further requests, because the process ends before they could be answered. */
    public void refuseAll() {
        refusing = true;
    }

    /**
     * Closes the connections without a request in progress.
     *
     * @param evenPartial whether to include those with a partial request
     */
    public void closeIdle(boolean evenPartial) {
        List.copyOf(connections).forEach(connection -> connection.closeIfIdle(evenPartial));
    }

    /** Accepts nothing for a while, in milliseconds; connections wait in the backlog. */
    public void pauseListening(long durationMs) {
        acceptor.pause(durationMs);
    }

    /** Stops accepting. The listening socket stays open if other processes may share it. */
    public void stopListening() {
        acceptor.stop();
    }
}
