package ivybank.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequestEncoder;
import ivybank.common.Clock;
import ivybank.common.Descriptors;
import ivybank.common.HeldUp;
import ivybank.common.Log;
import ivybank.common.OneMorePass;
import ivybank.discovery.Node;
import ivybank.policy.Balancer.Outcome;
import ivybank.tally.Tally;
import ivybank.upstream.UpstreamAttempt.Ending;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Keep-alive connections to upstreams, the most recently used first. All of it runs on one event loop. */
public final class UpstreamPool {

    /**
     * How many connections in all, how long one may take to come up, how long it may stand idle, how long it rests after
     * an answer, and how long nothing may come of an answer that is being passed on.
     */
    public record Limits(int connections, int connectTimeoutMs, double idleMs, double restMs, double stallMs) {

        public Limits(int connections, int connectTimeoutMs, double idleMs) {
            this(connections, connectTimeoutMs, idleMs, REST_MS, LONGEST_STALL_MS);
        }
    }

    private static final long SWEEP_MS = 500;
    /**
     * For so long after an answer a connection is not used again. Guards a request against another one's answer: a spoilt node
     * gives a second answer up to 25 ms after the first (10,000 of them were counted on three short days), and on a connection
     * in use it can't be told from the answer that is awaited.
     */
    private static final double REST_MS = 30;

    private static final double LONGEST_STALL_MS = 5000;

    private final EventLoop loop;
    private final Clock clock;
    private final Limits limits;
    private final Descriptors descriptors;
    private final LoadReport reports;
    private final Log log;
    private final Bootstrap bootstrap;
    private final Map<Node, Deque<UpstreamConnection>> idle = new HashMap<>();
    private int open;
    private Tally tally = Tally.NONE;
    private HeldUp heldUp = HeldUp.NEVER;
    private boolean keepsNoneIdle;
    private long opened;
    private long spoilt;

    /** {@code base} says what kind of channels to open, and with which options. */
    public UpstreamPool(
            EventLoop loop,
            Clock clock,
            Limits limits,
            Descriptors descriptors,
            LoadReport reports,
            Bootstrap base,
            Log log) {
        this.loop = loop;
        this.clock = clock;
        this.limits = limits;
        this.descriptors = descriptors;
        this.reports = reports;
        this.log = log;
        this.bootstrap = base.group(loop).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMs());
        loop.scheduleWithFixedDelay(this::closeLongIdle, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** From now on tells this of what happens to connections. Before the first is begun. */
    public void countIn(Tally counts) {
        tally = counts;
    }

    /** From now on minds whether the event loop was held up. */
    public void mind(HeldUp loops) {
        heldUp = loops;
    }

    /** Tells what is idle now. */
    public void countIdle() {
        idle.forEach((node, connections) -> tally.idle(node.host, connections.size()));
    }

    /** Notes an answer that is none, for the next report. */
    void spoilt(Node node, String how) {
        spoilt++;
        log.line("an answer of " + node + " " + how + ": failed, and its connection closed");
    }

    /** Notes bytes that came when no answer was awaited. */
    void surplus(UpstreamConnection connection) {
        log.line(connection.node + " sent something " + Math.round(clock.nowMs() - connection.idleSinceMs)
                + " ms after its last answer: connection closed");
    }

    /** Spoilt answers since the start. */
    public long spoilt() {
        return spoilt;
    }

    double stallMs() {
        return limits.stallMs();
    }

    double nowMs() {
        return clock.nowMs();
    }

    public int open() {
        return open;
    }

    /** Connections opened since the start. */
    public long opened() {
        return opened;
    }

    /** Sends an attempt; it may end before this returns. */
    public void send(UpstreamAttempt attempt) {
        if (!attempt.request.arriving()) {
            attempt.startTimer(loop);
        }
        begin(attempt);
    }

    /** Finds a connection for an attempt: one that has rested, else one that soon will have, else a new one. */
    private void begin(UpstreamAttempt attempt) {
        UpstreamConnection connection = attempt.node.ready ? takeIdle(attempt.node) : null;
        if (!attempt.node.ready) { // discovery may have said so while it waited
            attempt.end(Ending.of(Outcome.NOT_SENT));
        } else if (connection != null && restMs(connection) <= 0) {
            send(connection, attempt);
        } else if (connection != null) {
            loop.schedule(
                    () -> rested(connection, attempt), (long) Math.ceil(restMs(connection)), TimeUnit.MILLISECONDS);
        } else if (open < limits.connections() && !descriptors.full() || evictOldest()) {
            connect(attempt);
        } else {
            log.line("all " + open + " connections to upstreams are busy and there may be no more: nothing sent to "
                    + attempt.node);
            attempt.end(Ending.of(Outcome.NOT_SENT));
        }
    }

    private double restMs(UpstreamConnection connection) {
        return connection.answeredMs + limits.restMs() - clock.nowMs();
    }

    /** The connection that an attempt has waited for has rested, or has gone meanwhile. */
    private void rested(UpstreamConnection connection, UpstreamAttempt attempt) {
        if (isStillWanted(connection, attempt)) {
            send(connection, attempt);
        }
    }

    /**
     * Sends on a connection that is free. Guards nodes against requests whose clients have left, and nodes that have begun to
     * drain, while the event loop was held up: what says so may still stand unread, and is looked for first.
     */
    private void send(UpstreamConnection connection, UpstreamAttempt attempt) {
        if (heldUp.ofLate(clock.nowMs())) {
            OneMorePass.then(loop, () -> {
                if (isStillWanted(connection, attempt)) {
                    connection.send(attempt);
                }
            });
        } else {
            connection.send(attempt);
        }
    }

    /** Whether an attempt may go on the connection that it has waited for; else that is seen to. */
    private boolean isStillWanted(UpstreamConnection connection, UpstreamAttempt attempt) {
        if (attempt.ended()) { // its request was called off meanwhile; the next one finds the connection
            handBack(connection);
            return false;
        }
        if (!isOfUse(connection)) { // discovery may have said so
            connection.close();
            begin(attempt);
            return false;
        }
        return true;
    }

    /** The idle connection that was used last of those that have rested; else the one that has rested longest. */
    private UpstreamConnection takeIdle(Node node) {
        Deque<UpstreamConnection> connections = idle.get(node);
        if (connections == null) {
            return null;
        }
        connections.removeIf(connection -> !connection.active()); // those died idle, and their end is about to be told
        UpstreamConnection chosen = connections.peekLast();
        for (UpstreamConnection connection : connections) {
            if (restMs(connection) <= 0) {
                chosen = connection;
                break;
            }
        }
        connections.remove(chosen);
        return chosen;
    }

    /** Whether it leads to where its node is; one that has moved is another machine. */
    private static boolean leadsToItsNode(UpstreamConnection connection) {
        return connection.node.ready && connection.address.equals(connection.node.address);
    }

    private static boolean isOfUse(UpstreamConnection connection) {
        return leadsToItsNode(connection) && connection.active();
    }

    private void connect(UpstreamAttempt attempt) {
        Node node = attempt.node;
        AnswerDecoder decoder = new AnswerDecoder();
        UpstreamConnection connection = new UpstreamConnection(node, decoder, this, reports);
        descriptors.take();
        open++;
        opened++;
        tally.begun(node.host);
        tally.held(node.host, 1);
        ChannelFuture connected = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
                    }
                })
                .connect(node.address);
        connected.channel().closeFuture().addListener(closed -> {
            descriptors.release();
            open--;
            tally.held(node.host, -1);
            remove(connection);
        });
        connected.addListener(up -> {
            if (!up.isSuccess()) {
                tally.notUp(node.host);
                attempt.end(Ending.of(Outcome.CONNECT_FAILED));
            } else if (attempt.ended()) {
                handBack(connection); // its request was called off meanwhile; the next one finds it up
            } else if (!leadsToItsNode(connection)) { // discovery may have said so while it came up
                connection.close();
                begin(attempt);
            } else {
                send(connection, attempt);
            }
        });
    }

    /** Takes back a connection that is free again. */
    void handBack(UpstreamConnection connection) {
        if (keepsNoneIdle || !isOfUse(connection)) {
            connection.close();
            return;
        }
        connection.idleSinceMs = clock.nowMs();
        idle.computeIfAbsent(connection.node, node -> new ArrayDeque<>()).addFirst(connection);
    }

    /** Closes the idle connections to a node. */
    public void closeIdle(Node node) {
        Deque<UpstreamConnection> connections = idle.remove(node);
        if (connections != null) {
            connections.forEach(UpstreamConnection::close);
        }
    }

    public void closeAllIdle() {
        for (Node node : idle.keySet().toArray(Node[]::new)) {
            closeIdle(node);
        }
    }

    /** From now on a connection is closed when it is free: another process needs the descriptors. */
    public void keepNoneIdle() {
        keepsNoneIdle = true;
        closeAllIdle();
    }

    private void closeLongIdle() {
        double oldestMs = clock.nowMs() - limits.idleMs();
        for (Deque<UpstreamConnection> connections : idle.values()) {
            while (!connections.isEmpty() && connections.peekLast().idleSinceMs < oldestMs) {
                connections.pollLast().close();
            }
        }
        idle.values().removeIf(Deque::isEmpty); // nodes come and go
    }

    /** Closes the connection that has stood idle longest; false if none is idle. */
    boolean evictOldest() {
        UpstreamConnection oldest = null;
        for (Deque<UpstreamConnection> connections : idle.values()) {
            UpstreamConnection last = connections.peekLast();
            if (last != null && (oldest == null || last.idleSinceMs < oldest.idleSinceMs)) {
                oldest = last;
            }
        }
        if (oldest != null) {
            remove(oldest);
            oldest.close();
        }
        return oldest != null;
    }

    private void remove(UpstreamConnection connection) {
        Deque<UpstreamConnection> connections = idle.get(connection.node);
        if (connections != null) {
            connections.remove(connection);
        }
    }
}
