package ivybank.rehearsal.stand;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import ivybank.rehearsal.referee.Service;
import ivybank.rehearsal.referee.Service.Result;
import ivybank.rehearsal.scenario.Plan.Arrival;
import ivybank.rehearsal.scenario.Scenario.Clients;
import ivybank.rehearsal.scenario.Scenario.Effect;
import ivybank.rehearsal.scenario.Scenario.RequestClass;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.function.DoublePredicate;
import java.util.function.Supplier;

/**
 * The client process beside one sidecar: sends what was drawn ahead when its time has come, whatever has become of what
 * went before; keeps connections and opens more when all are busy; gives up, and tries again, as its plan says.
 */
final class ClientApp {

    private static final int MAX_BODY = 128 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final double MARGIN_MS = 50;
    private static final int OK = 200;
    private static final double ASK_AGAIN_MS = 3000;

    private final World world;
    private final int sidecar;
    private final InetSocketAddress address;
    private final int mostConnections;
    private final Service service;
    private final DoublePredicate endedBefore; // whether the sidecar was ended, or told to, by this time
    private final DoublePredicate connectsInVain; // whether nobody owes a connection made at this time anything
    private final Deque<Connection> idle = new ArrayDeque<>();
    private final Set<Connection> connections = new HashSet<>();
    private long lastTry;
    private int openTries;
    private int scheduledTries;

    ClientApp(
            World world,
            int sidecar,
            InetSocketAddress address,
            int mostConnections,
            Service service,
            DoublePredicate endedBefore,
            DoublePredicate connectsInVain) {
        this.world = world;
        this.sidecar = sidecar;
        this.address = address;
        this.mostConnections = mostConnections;
        this.service = service;
        this.endedBefore = endedBefore;
        this.connectsInVain = connectsInVain;
    }

    int openTries() {
        return openTries;
    }

    /** Returns how many tries are open or are still to begin. */
    int unfinishedTries() {
        return openTries + scheduledTries;
    }

    void arrive(Arrival arrival) {
        new Try(arrival, 0).begin();
    }

    /** One try of a request, with an id of its own. */
    private final class Try {
        private final Arrival arrival;
        private final int number;
        private final RequestClass spec;
        private final double beganMs;
        private final String id;
        private final String name; // of the request over all its tries; null for none
        private final boolean asksAgain; // for what was served already
        private ScheduledFuture<?> patience;
        private Connection connection;
        private boolean over;
        private boolean sentAgain;

        Try(Arrival arrival, int number) {
            this(arrival, number, false);
        }

        Try(Arrival arrival, int number, boolean asksAgain) {
            this.asksAgain = asksAgain;
            this.arrival = arrival;
            this.number = number;
            this.spec = world.scenario.classes().get(arrival.requestClass());
            this.beganMs = world.nowMs();
            this.name = world.scenario.clients().named() && spec.effect() != Effect.SAFE ? arrival.key() : null;
            this.id = sidecar + "-" + Long.toHexString(++lastTry) + "-" + arrival.key();
        }

        void begin() {
            openTries++;
            world.referee.call(id, sidecar, spec, name);
            world.load(id, new Load(arrival.workMs(), arrival.waitMs()));
            patience = world.after(arrival.patienceMs() + MARGIN_MS, this::giveUp);
            Clients clients = world.scenario.clients();
            if (arrival.number() % 100 < 100 * clients.leaves()) {
                world.after(clients.leaveMs(), this::leave);
            }
            send();
        }

        private void send() {
            Connection free = sentAgain ? null : idle.pollFirst(); // once more means on a new one
            while (free != null && !free.channel.isActive()) {
                free = idle.pollFirst();
            }
            if (free != null) {
                free.send(this);
            } else if (connections.size() < mostConnections) {
                new Connection(this).open();
            } else {
                end(Result.NO_CONNECTION, 0, Double.NaN);
            }
        }

        /** The request as it goes out; the patience is what is left of it. */
        String text() {
            boolean safe = spec.effect() == Effect.SAFE;
            String body = safe ? "" : "{\"key\":\"" + arrival.key() + "\"}";
            return (safe ? "GET /" : "POST /") + spec.name() + "?obj=" + arrival.key()
                    + " HTTP/1.1\r\nHost: api\r\nX-Call-Id: "
                    + id + "\r\nX-Caller: rehearsal\r\nX-Budget-Ms: "
                    + Math.max(1, Math.round(arrival.patienceMs() - (world.nowMs() - beganMs))) + "\r\n"
                    + (number > 0 ? "X-Again: 1\r\n" : "")
                    + (spec.effect() == Effect.KEYED || name != null
                            ? "Idempotency-Key: " + arrival.key() + "\r\n"
                            : "")
                    + (safe ? "\r\n" : "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }

        void answered(int status, String body, double retryAfterMs) {
            if (over) {
                return;
            }
            world.referee.answered(id, status, body, world.nowMs());
            if (status == OK) {
                world.returns.served(sidecar, world.nowMs());
                double afterMs = world.nowMs() - arrival.atMs();
                end(afterMs <= spec.aimMs() ? Result.IN_TIME : Result.LATE, afterMs, Double.NaN);
            } else {
                end(status == 429 || status == 503 ? Result.REFUSED : Result.FAILED, 0, retryAfterMs);
            }
        }

        private void leave() {
            if (!over) {
                world.referee.left(id, world.nowMs());
                Connection carrier = connection;
                end(Result.FAILED, 0, Double.NaN);
                if (carrier != null) {
                    carrier.channel.close();
                }
            }
        }

        private void giveUp() {
            if (over) {
                return;
            }
            if (connection != null && connection.written && !endedBefore.test(world.nowMs())) {
                world.referee.unanswered(
                        id, world.nowMs(), "got no answer within its " + Math.round(arrival.patienceMs()) + " ms");
            } else {
                world.referee.excused(id);
            }
            Connection carrier = connection;
            end(Result.FAILED, 0, Double.NaN);
            if (carrier != null) {
                carrier.channel.close();
            }
        }

        /** Its connection ended with no whole answer. */
        void broken(Connection on) {
            if (over) {
                return;
            }
            connection = null;
            boolean inVain = !on.kept && !on.anyByte && connectsInVain.test(on.upMs) && !world.referee.hasBegun(id);
            if (inVain || endedBefore.test(world.nowMs())) {
                world.referee.excused(id);
                end(Result.FAILED, 0, Double.NaN);
            } else if (on.kept && !on.anyByte && !sentAgain && !world.referee.hasBegun(id)) {
                sentAgain = true; // closed between requests, as it may be: once more on a new one
                send();
            } else {
                world.referee.unanswered(id, world.nowMs(), "lost its connection before an answer" + on.history());
                end(Result.FAILED, 0, Double.NaN);
            }
        }

        void notConnected() {
            if (!over) {
                world.referee.excused(id);
                end(Result.NO_CONNECTION, 0, Double.NaN);
            }
        }

        private void end(Result result, double afterMs, double retryAfterMs) {
            if (over) {
                return;
            }
            over = true;
            openTries--;
            patience.cancel(false);
            if (asksAgain) {
                return;
            }
            boolean served = result == Result.IN_TIME || result == Result.LATE;
            if (served
                    && name != null
                    && arrival.number() % 100 < 100 * world.scenario.clients().askAgain()) {
                schedule(ASK_AGAIN_MS, () -> new Try(arrival, number + 1, true));
            }
            boolean again = result != Result.IN_TIME
                    && result != Result.LATE
                    && number < world.scenario.clients().retries();
            if (!again) {
                service.count(arrival.requestClass(), arrival.atMs(), result, afterMs);
                return;
            }
            double waitMs = arrival.honours() && retryAfterMs > 0 ? retryAfterMs : arrival.backoffMs();
            schedule(waitMs, () -> new Try(arrival, number + 1));
        }
    }

    private void schedule(double delayMs, Supplier<Try> next) {
        scheduledTries++;
        world.after(delayMs, () -> {
            scheduledTries--;
            next.get().begin();
        });
    }

    private final class Connection extends ChannelInboundHandlerAdapter {
        private Channel channel;
        private Try current;
        private boolean written;
        private boolean anyByte;
        private double upMs = Double.NaN;
        private double writtenMs = Double.NaN;
        private boolean kept; // it has stood idle, and may be closed at any time

        Connection(Try first) {
            current = first;
        }

        void open() {
            connections.add(this);
            channel = new Bootstrap()
                    .group(world.loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel made) {
                            made.pipeline()
                                    .addLast(
                                            new HttpResponseDecoder(),
                                            new HttpObjectAggregator(MAX_BODY),
                                            Connection.this);
                        }
                    })
                    .connect(address)
                    .addListener(up -> {
                        upMs = world.nowMs();
                        if (!up.isSuccess()) {
                            connections.remove(this);
                            Try waiting = current;
                            current = null;
                            if (waiting != null) {
                                waiting.notConnected();
                            }
                        } else if (current == null || current.over) {
                            current = null;
                            free();
                        } else {
                            send(current);
                        }
                    })
                    .channel();
        }

        void send(Try next) {
            current = next;
            next.connection = this;
            written = false;
            anyByte = false;
            channel.writeAndFlush(Unpooled.copiedBuffer(next.text(), StandardCharsets.US_ASCII))
                    .addListener(done -> {
                        if (done.isSuccess() && current == next) {
                            written = true;
                            writtenMs = world.nowMs();
                            world.referee.taken(next.id, world.nowMs());
                        }
                    });
        }

        /** What a breach says of the connection. */
        private String history() {
            return String.format(
                    Locale.ROOT,
                    ": %s, up %.0f ms before, the request written %.0f ms before%s",
                    kept ? "a kept one" : "a new one",
                    world.nowMs() - upMs,
                    world.nowMs() - writtenMs,
                    anyByte ? ", after a part of the answer" : "");
        }

        private void free() {
            kept = true;
            if (channel.isActive()) {
                idle.addFirst(this);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            anyByte = true;
            try {
                if (message instanceof FullHttpResponse response) {
                    take(response);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void take(FullHttpResponse response) {
            Try answered = current;
            current = null;
            boolean close = "close".equalsIgnoreCase(response.headers().get("Connection"));
            if (close || response.decoderResult().isFailure()) {
                channel.close();
            } else {
                free();
            }
            if (answered != null) {
                String after = response.headers().get("Retry-After");
                answered.answered(
                        response.status().code(),
                        response.content().toString(StandardCharsets.UTF_8),
                        after == null ? Double.NaN : Double.parseDouble(after) * 1000);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            idle.remove(this);
            if (current != null) {
                Try lost = current;
                current = null;
                lost.broken(this);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
