package ivybank.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpRequestEncoder;
import ivybank.common.Descriptors;
import ivybank.discovery.Node;
import ivybank.tally.Tally;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Opens connections to upstreams, and counts those that are open. All of it runs on one event loop. */
final class ConnectionOpener {

    /** How many connections there may be, and how long one may take to come up. */
    record Limits(int connections, int connectTimeoutMs) {}

    /** Of the connections allowed: so many are never taken by spare ones. */
    private static final double ROOM_KEPT_PART = 0.25;

    private final UpstreamPool pool;
    private final Limits limits;
    private final Descriptors descriptors;
    private final LoadReport reports;
    private final Bootstrap bootstrap;
    /** How many spare connections each node has. */
    private final Map<Node, Integer> spares = new HashMap<>();

    private Tally tally = Tally.NONE;
    private int open;
    private long opened;

    /** {@code base} says on which loop and what kind of channels to open, and with which options. */
    ConnectionOpener(UpstreamPool pool, Limits limits, Descriptors descriptors, LoadReport reports, Bootstrap base) {
        this.pool = pool;
        this.limits = limits;
        this.descriptors = descriptors;
        this.reports = reports;
        this.bootstrap = base.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMs());
    }

    /** From now on tells this of what happens to connections. Before the first is begun. */
    void countIn(Tally counts) {
        tally = counts;
    }

    /** How many are open or coming up. */
    int open() {
        return open;
    }

    /** How many have been begun since the start. */
    long opened() {
        return opened;
    }

    int spares(Node node) {
        return spares.getOrDefault(node, 0);
    }

    boolean isFull() {
        return open >= limits.connections() || descriptors.full();
    }

    /** A spare connection must never be the reason why another one can't be opened, here or on the client's side. */
    boolean hasRoomForSpares() {
        int kept = (int) (ROOM_KEPT_PART * limits.connections());
        return open < limits.connections() - kept && descriptors.room() > kept;
    }

    /** Opens a connection, and hands it on once it is up; null if it doesn't come up. */
    void open(Node node, boolean spare, Consumer<UpstreamConnection> receiver) {
        AnswerDecoder decoder = new AnswerDecoder();
        UpstreamConnection connection = new UpstreamConnection(node, spare, decoder, pool, reports);
        double begunMs = pool.nowMs();
        begun(connection);
        ChannelFuture connected = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
                    }
                })
                .connect(node.address);
        connected.channel().closeFuture().addListener(closed -> ended(connection));
        connected.addListener(up -> {
            if (up.isSuccess()) {
                pool.cameUp(connection, pool.nowMs() - begunMs);
                receiver.accept(connection);
            } else {
                tally.notUp(node.host);
                pool.notUp(node);
                receiver.accept(null);
            }
        });
    }

    private void begun(UpstreamConnection connection) {
        descriptors.take();
        open++;
        opened++;
        if (connection.spare) {
            spares.merge(connection.node, 1, Integer::sum);
        }
        tally.begun(connection.node.host);
        tally.held(connection.node.host, 1);
    }

    private void ended(UpstreamConnection connection) {
        descriptors.release();
        open--;
        if (connection.spare) {
            spares.computeIfPresent(connection.node, (node, count) -> count == 1 ? null : count - 1);
        }
        tally.held(connection.node.host, -1);
        pool.ended(connection);
    }
}
