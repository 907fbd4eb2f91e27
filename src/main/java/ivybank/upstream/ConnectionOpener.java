package ivybank.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequestEncoder;
import ivybank.common.DescriptorBudget;
import ivybank.discovery.Node;
import ivybank.supervision.OutboundConnection;
import ivybank.tally.Tally;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Opens connections to nodes, and counts those that are open. Runs on one event loop. */
final class ConnectionOpener {

    /** The maximum number of connections, and the timeout within which each must be established. */
    record Limits(int connections, int connectTimeoutMs) {}

    /** The part of the allowed connections that spare connections never use. */
    private static final double RESERVED_RATIO = 0.25;
    /** A connection that is neither established nor failed this long after its timeout is abandoned. */
    private static final double MAX_CONNECT_OVERDUE_MS = 500;

    private final UpstreamPool pool;
    private final EventLoop loop;
    private final Limits limits;
    private final DescriptorBudget descriptors;
    private final LoadReport reports;
    private final Bootstrap bootstrap;
    /** The number of spare connections by node. */
    private final Map<Node, Integer> spares = new HashMap<>();

    private Tally tally = Tally.NONE;
    /** The connections that are open or being established; their number counts against the limits. */
    private final Map<UpstreamConnection, Opening> open = new LinkedHashMap<>();

    private long openedCount;

    /** Creates an opener; {@code base} defines the type and the options of the channels. */
    ConnectionOpener(
            UpstreamPool pool,
            EventLoop loop,
            Limits limits,
            DescriptorBudget descriptors,
            LoadReport reports,
            Bootstrap base) {
        this.pool = pool;
        this.loop = loop;
        this.limits = limits;
        this.descriptors = descriptors;
        this.reports = reports;
        this.bootstrap = base.group(loop).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMs());
    }

    /** Sets the tally that counts connections. Must be called before the first one is opened. */
    void setTally(Tally counts) {
        tally = counts;
    }

    /** Returns the number of connections that are open or being established. */
    int open() {
        return open.size();
    }

    /** Returns the number of connections opened since the start. */
    long opened() {
        return openedCount;
    }

    int spares(Node node) {
        return spares.getOrDefault(node, 0);
    }

    boolean isFull() {
        return open() >= limits.connections() || descriptors.isExhausted();
    }

    /**
     * Returns whether a spare connection may be opened. It must never be the reason why another connection, to a node or to a
     * client, cannot be opened.
     */
    boolean hasCapacityForSpares() {
        int reserved = (int) (RESERVED_RATIO * limits.connections());
        return open() < limits.connections() - reserved && descriptors.available() > reserved;
    }

    /** Opens a connection and passes it to the receiver once it is established, or null if it cannot be established. */
    void open(Node node, boolean spare, Consumer<UpstreamConnection> receiver) {
        ResponseDecoder decoder = new ResponseDecoder(UpstreamConnection.USED_HEADERS);
        UpstreamConnection connection = new UpstreamConnection(node, spare, decoder, pool, reports);
        Opening opening = new Opening(connection, receiver, pool.nowMs());
        register(connection, opening);
        Bootstrap connecting = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
            }
        });
        opening.connection = OutboundConnection.open(connecting, loop, node.address, opening);
    }

    /** The lifecycle of one connection. */
    private final class Opening implements OutboundConnection.Listener {
        private final UpstreamConnection upstream;
        private final Consumer<UpstreamConnection> receiver;
        private final double startedMs;
        private OutboundConnection connection;
        private boolean up;

        Opening(UpstreamConnection upstream, Consumer<UpstreamConnection> receiver, double startedMs) {
            this.upstream = upstream;
            this.receiver = receiver;
            this.startedMs = startedMs;
        }

        @Override
        public void up(Channel channel) {
            up = true;
            pool.connectionEstablished(upstream, pool.nowMs() - startedMs);
            receiver.accept(upstream);
        }

        @Override
        public void failed(Throwable cause, boolean local) {
            release(upstream);
            tally.connectionFailed(upstream.node.host);
            pool.connectFailed(upstream.node, cause, local);
            receiver.accept(null);
        }

        @Override
        public void closed() {
            release(upstream);
        }

        /**
         * Returns whether the connection has ended, or should have been established, without an event that reports it.
         */
        boolean isLost(double nowMs) {
            boolean overdue = !up && nowMs - startedMs > limits.connectTimeoutMs() + MAX_CONNECT_OVERDUE_MS;
            return overdue || connection != null && connection.hasClosedUnreported();
        }
    }

    /** Releases the resources of connections that have ended without an event. To be called periodically. */
    void reconcile() {
        double nowMs = pool.nowMs();
        for (Opening opening : List.copyOf(open.values())) {
            if (opening.isLost(nowMs)) {
                pool.connectionLost(opening.upstream);
                opening.connection.abandon("no event reported its end");
                release(opening.upstream);
            }
        }
    }

    /** Checks the connections for which the selector has reported no event. To be called often. */
    void verify() {
        List.copyOf(open.keySet()).forEach(UpstreamConnection::verify);
    }

    private void register(UpstreamConnection connection, Opening opening) {
        descriptors.acquire();
        open.put(connection, opening);
        openedCount++;
        if (connection.spare) {
            spares.merge(connection.node, 1, Integer::sum);
        }
        tally.connectionStarted(connection.node.host);
        tally.connectionsHeld(connection.node.host, 1);
    }

    /** Releases the resources of a connection, once. */
    private void release(UpstreamConnection connection) {
        if (open.remove(connection) == null) {
            return;
        }
        descriptors.release();
        if (connection.spare) {
            spares.computeIfPresent(connection.node, (node, count) -> count == 1 ? null : count - 1);
        }
        tally.connectionsHeld(connection.node.host, -1);
        pool.connectionClosed(connection);
    }
}
