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

/** Opens connections to upstreams, and counts those that are open. All of it runs on one event loop. */
final class ConnectionOpener {

    /** How many connections there may be, and how long one may take to come up. */
    record Limits(int connections, int connectTimeoutMs) {}

    /** Of the connections allowed: so many are never taken by spare ones. */
    private static final double ROOM_KEPT_PART = 0.25;
    /** One that has not come up so long after its time, and of which nothing was told, is given up. */
    private static final double OVERDUE_MS = 500;

    private final UpstreamPool pool;
    private final EventLoop loop;
    private final Limits limits;
    private final DescriptorBudget descriptors;
    private final LoadReport reports;
    private final Bootstrap bootstrap;
    /** How many spare connections each node has. */
    private final Map<Node, Integer> spares = new HashMap<>();

    private Tally tally = Tally.NONE;
    /** All that are open or coming up: their number is what counts against the limits. */
    private final Map<UpstreamConnection, Opening> open = new LinkedHashMap<>();

    private long opened;

    /** {@code base} says what kind of channels to open, and with which options. */
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

    /** From now on tells this of what happens to connections. Before the first is begun. */
    void setTally(Tally counts) {
        tally = counts;
    }

    /** How many are open or coming up. */
    int open() {
        return open.size();
    }

    /** How many have been begun since the start. */
    long opened() {
        return opened;
    }

    int spares(Node node) {
        return spares.getOrDefault(node, 0);
    }

    boolean isFull() {
        return open() >= limits.connections() || descriptors.isExhausted();
    }

    /** A spare connection must never be the reason why another one can't be opened, here or on the client's side. */
    boolean hasRoomForSpares() {
        int kept = (int) (ROOM_KEPT_PART * limits.connections());
        return open() < limits.connections() - kept && descriptors.available() > kept;
    }

    /** Opens a connection, and hands it on once it is up; null if it doesn't come up. */
    void open(Node node, boolean spare, Consumer<UpstreamConnection> receiver) {
        AnswerDecoder decoder = new AnswerDecoder();
        UpstreamConnection connection = new UpstreamConnection(node, spare, decoder, pool, reports);
        Opening opening = new Opening(connection, receiver, pool.nowMs());
        begun(connection, opening);
        Bootstrap connecting = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
            }
        });
        opening.connection = OutboundConnection.open(connecting, loop, node.address, opening);
    }

    /** One connection from its begin to its end. */
    private final class Opening implements OutboundConnection.Listener {
        private final UpstreamConnection upstream;
        private final Consumer<UpstreamConnection> receiver;
        private final double begunMs;
        private OutboundConnection connection;
        private boolean up;

        Opening(UpstreamConnection upstream, Consumer<UpstreamConnection> receiver, double begunMs) {
            this.upstream = upstream;
            this.receiver = receiver;
            this.begunMs = begunMs;
        }

        @Override
        public void up(Channel channel) {
            up = true;
            pool.cameUp(upstream, pool.nowMs() - begunMs);
            receiver.accept(upstream);
        }

        @Override
        public void failed(Throwable cause, boolean local) {
            ended(upstream);
            tally.connectionFailed(upstream.node.host);
            pool.notUp(upstream.node, cause, local);
            receiver.accept(null);
        }

        @Override
        public void closed() {
            ended(upstream);
        }

        /** Whether its end has come, or should have, and nobody was told. */
        boolean isLost(double nowMs) {
            boolean overdue = !up && nowMs - begunMs > limits.connectTimeoutMs() + OVERDUE_MS;
            return overdue || connection != null && connection.hasClosedUnreported();
        }
    }

    /** Gives back what connections have taken that have ended without a word. Called now and then. */
    void reconcile() {
        double nowMs = pool.nowMs();
        for (Opening opening : List.copyOf(open.values())) {
            if (opening.isLost(nowMs)) {
                pool.unaccounted(opening.upstream);
                opening.connection.abandon("nothing was heard of it");
                ended(opening.upstream);
            }
        }
    }

    /** Looks after those of which the selector has told nothing yet. Called often. */
    void verify() {
        List.copyOf(open.keySet()).forEach(UpstreamConnection::verify);
    }

    private void begun(UpstreamConnection connection, Opening opening) {
        descriptors.acquire();
        open.put(connection, opening);
        opened++;
        if (connection.spare) {
            spares.merge(connection.node, 1, Integer::sum);
        }
        tally.connectionStarted(connection.node.host);
        tally.connectionsHeld(connection.node.host, 1);
    }

    /** Gives back what it has taken, once. */
    private void ended(UpstreamConnection connection) {
        if (open.remove(connection) == null) {
            return;
        }
        descriptors.release();
        if (connection.spare) {
            spares.computeIfPresent(connection.node, (node, count) -> count == 1 ? null : count - 1);
        }
        tally.connectionsHeld(connection.node.host, -1);
        pool.ended(connection);
    }
}
