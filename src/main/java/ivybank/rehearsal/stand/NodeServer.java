package ivybank.rehearsal.stand;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;
import ivybank.rehearsal.referee.Referee.Attempt;
import ivybank.rehearsal.referee.Referee.Ending;
import ivybank.rehearsal.stand.NodeModel.Job;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledFuture;

/** A stand-in intake node on a socket of its own: its machine is a {@link NodeModel}, its ways are the protocol's. */
public final class NodeServer {

    private static final int MAX_BODY = 64 * 1024;
    private static final double REPORT_EVERY_MS = 200;
    /** How an exchange is broken by what lies between. */
    private static final int NOT_BROKEN = -1;

    private static final int UNDER_THE_SIDECAR = 0;
    private static final int UNDER_THE_NODE = 1;
    private static final int BEFORE_IT_IS_BEGUN = 2;
    private static final int BREAKS = 3;

    private final World world;
    private final String host;
    private final String site;
    private final NodeModel model;
    private final int mostConnections;
    private final double connectMs;
    private final Channel listener;
    private final String dial;
    private static final double JUST_BACK_MS = 2000;
    private final double bornUnixMs;
    private final SplittableRandom random;
    private final Set<Connection> connections = new HashSet<>();
    private ScheduledFuture<?> next;
    private double nextMs = Double.POSITIVE_INFINITY;
    private boolean silent;
    private boolean rejecting;
    private boolean cutOff;
    private boolean ended;
    private double spoilt;
    private double broken;
    private double neighbour;
    private String report = "";
    private double reportedMs = Double.NEGATIVE_INFINITY;
    private int answersInPeriod;

    /** A node that starts now, cold, or has run for long, at {@code address}, whose port may be left to the system. */
    NodeServer(
            World world,
            String host,
            String site,
            NodeModel model,
            int mostConnections,
            double connectMs,
            InetSocketAddress address,
            boolean cold,
            long seed) {
        this.world = world;
        this.host = host;
        this.site = site;
        this.model = model;
        this.mostConnections = mostConnections;
        this.connectMs = connectMs;
        this.random = new SplittableRandom(seed);
        this.bornUnixMs = cold ? world.unixMs() : 0;
        this.listener = Loopback.listen(world.acceptor, world.loop, address, channel -> {
            Connection connection = new Connection(channel);
            channel.pipeline()
                    .addLast(
                            new FirstByte(connection),
                            new HttpRequestDecoder(),
                            new HttpObjectAggregator(MAX_BODY),
                            connection);
        });
        this.dial = Loopback.text(listener);
    }

    /** The address of the node of this number, at a port that the system chooses. */
    static InetSocketAddress address(int net, int number) {
        return new InetSocketAddress("127." + net + "." + (1 + number / 250) + "." + (1 + number % 250), 0);
    }

    public String host() {
        return host;
    }

    String dial() {
        return dial;
    }

    double bornUnixMs() {
        return bornUnixMs;
    }

    /** The most that was sent to it while cold, in parts of what makes it fall. */
    public double pushed() {
        return model.pushed();
    }

    public boolean fallen() {
        return model.fallen();
    }

    /** Whether it takes requests and answers none. */
    void silent(boolean on) {
        silent = on;
    }

    /** Which part of its answers is spoilt. */
    void spoil(double part) {
        spoilt = part;
    }

    /** Which part of its exchanges what lies between breaks. */
    void broken(double part) {
        broken = part;
    }

    /** What it is now, in a word; of several things that are wrong the worst one. */
    String condition() {
        return ended || cutOff || model.fallen()
                ? "down"
                : silent
                        ? "silent"
                        : rejecting
                                ? "draining"
                                : neighbour > 0
                                        ? "slow"
                                        : spoilt > 0 || broken > 0
                                                ? "spoils"
                                                : model.warmth(world.nowMs()) < 1 ? "cold" : "ready";
    }

    void neighbour(double part) {
        neighbour = part;
        model.neighbour(part);
    }

    /** From now on it turns away what is new. */
    void reject() {
        rejecting = true;
    }

    /** Its machine is cut off: nothing comes up any more, what is open says nothing. */
    void cutOff() {
        cutOff = true;
        listener.config().setAutoRead(false);
        connections.forEach(connection -> connection.channel.config().setAutoRead(false));
    }

    /** Its process ends: connections are reset and new ones refused. */
    public void end() {
        ended = true;
        listener.close();
        Set.copyOf(connections).forEach(Connection::reset);
    }

    private void advance() {
        nextMs = Double.POSITIVE_INFINITY;
        for (Job job : model.advance(world.nowMs())) {
            if (job.tag instanceof Exchange exchange) {
                exchange.done();
            }
        }
        arm();
    }

    private void arm() {
        double at = model.nextMs();
        if (at < nextMs) {
            if (next != null) {
                next.cancel(false);
            }
            nextMs = at;
            next = world.at(at, this::advance);
        }
    }

    /** Counts what was sent; tells the referee if that was too much for a cold node, and false then. */
    private boolean bears(double workMs) {
        boolean before = model.fallen();
        model.sent(world.nowMs(), workMs);
        if (model.fallen() && !before) {
            world.referee.fell(host, world.nowMs(), model.pushed());
            end();
        }
        return !model.fallen();
    }

    private Job submit(Object tag, Load load) {
        Job job = model.submit(world.nowMs(), tag, load.workMs(), load.waitMs());
        arm();
        return job;
    }

    private String report() {
        double nowMs = world.nowMs();
        if (nowMs - reportedMs > REPORT_EVERY_MS) {
            double spanMs = Math.min(10_000, nowMs - reportedMs);
            double noise = 0.95 + 0.1 * random.nextDouble();
            report = String.format(
                    Locale.ROOT,
                    "X-Load-Report: TEXT qps=%.2f, util=%.3f, eps=0\r\n",
                    answersInPeriod * 1000 / spanMs * noise,
                    Math.min(1, model.utilisation() * noise));
            reportedMs = nowMs;
            answersInPeriod = 0;
        }
        return report;
    }

    /** Sees the first byte of each request, before it is decoded. */
    private final class FirstByte extends ChannelInboundHandlerAdapter {
        private final Connection connection;

        FirstByte(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (connection.deaf) {
                ReferenceCountUtil.release(message);
                return;
            }
            if (Double.isNaN(connection.firstByteMs)) {
                connection.firstByteMs = world.nowMs();
                connection.draw = random.nextDouble() < broken ? random.nextInt(BREAKS) : NOT_BROKEN;
                if (connection.draw == BEFORE_IT_IS_BEGUN) {
                    ReferenceCountUtil.release(message);
                    connection.reset();
                    return;
                }
            }
            ctx.fireChannelRead(message);
        }
    }

    /** One request at this node. */
    private final class Exchange {
        private final Connection connection;
        private final String id;
        private final Attempt attempt;
        private Job job;
        /** The connection is gone and the node does not know it yet. */
        private boolean cut;

        Exchange(Connection connection, String id, Attempt attempt) {
            this.connection = connection;
            this.id = id;
            this.attempt = attempt;
        }

        /** Noise, or half an answer, after which the connection stays open or ends. */
        private void spoil() {
            int how = random.nextInt(3);
            connection.write(
                    how == 0
                            ? "no answer at all\u0000\r\n\r\n"
                            : "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\nhalf");
            if (how == 2) {
                connection.channel.close();
            }
        }

        /** Its work is done: answers, unless the node has fallen silent. */
        void done() {
            if (silent) {
                return; // the connection stays open and says nothing
            }
            answersInPeriod++;
            connection.exchange = null;
            if (cut) {
                world.referee.ended(attempt, Ending.CLOSED, null, world.nowMs()); // it has run, and nobody is there
                return;
            }
            if (random.nextDouble() < spoilt) {
                world.referee.ended(attempt, Ending.SPOILT, null, world.nowMs());
                spoil();
                return;
            }
            String body = "{\"id\":\"" + id + "\",\"by\":\"" + host + "\"}";
            world.referee.ended(attempt, Ending.SERVED, body, world.nowMs());
            connection.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + report() + "Content-Length: "
                    + body.length() + "\r\n\r\n" + body);
        }
    }

    private final class Connection extends ChannelInboundHandlerAdapter {
        private final Channel channel;
        private double firstByteMs = Double.NaN;
        private Exchange exchange;
        private int draw = NOT_BROKEN;
        private boolean deaf; // half open: the node has closed it, and the sidecar will never hear of that

        Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
            world.connected(host);
            if (cutOff) {
                channel.config().setAutoRead(false);
            } else if (ended || model.fallen()) {
                reset();
            } else if (bears(connectMs)) {
                submit(this, new Load(connectMs, 0)); // as a TLS handshake would
            }
        }

        /** Ends it so that the peer sees a reset. */
        private void reset() {
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (message instanceof FullHttpRequest request && !cutOff) {
                    double first = firstByteMs;
                    firstByteMs = Double.NaN;
                    take(request, first);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void take(FullHttpRequest request, double first) {
            String id = request.headers().get("X-Call-Id", "");
            double nowMs = world.nowMs();
            if (request.decoderResult().isFailure()) {
                channel.close();
                return;
            }
            world.attempted(host, id, bornUnixMs > 0 && world.unixMs() - bornUnixMs < JUST_BACK_MS);
            Load load = world.load(id);
            Attempt attempt = world.referee.begun(host, site, id, first, nowMs);
            if (load != null && !bears(load.workMs())) {
                return; // it is down
            }
            if (load == null) {
                write("HTTP/1.1 400 Unknown\r\nContent-Length: 0\r\n\r\n");
            } else if (rejecting || connections.size() > mostConnections || !silent && !model.hasRoom()) {
                world.referee.ended(attempt, Ending.REJECTED, null, nowMs);
                write("HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\n" + report() + "Content-Length: 0\r\n\r\n");
            } else {
                exchange = new Exchange(this, id, attempt);
                if (!silent) {
                    exchange.job = submit(exchange, load);
                }
                breakOff();
            }
        }

        /**
         * Breaks the connection under a request that is begun: the sidecar sees a reset and the node works on, or the node
         * sees its client leave and the sidecar hears nothing.
         */
        private void breakOff() {
            if (draw == UNDER_THE_SIDECAR) {
                exchange.cut = exchange.job != null;
                reset();
            } else if (draw == UNDER_THE_NODE) {
                deaf = true;
                world.referee.ended(exchange.attempt, Ending.CLOSED, null, world.nowMs());
                if (exchange.job != null) {
                    model.cancel(world.nowMs(), exchange.job);
                }
                exchange = null;
            }
        }

        private void write(String text) {
            if (!cutOff) {
                ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
                channel.writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            if (exchange != null && !exchange.cut) {
                world.gaveUp();
                world.referee.ended(exchange.attempt, silent ? Ending.SILENT : Ending.CLOSED, null, world.nowMs());
                if (exchange.job != null) {
                    model.cancel(world.nowMs(), exchange.job);
                }
                exchange = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            channel.close();
        }
    }
}
