package ivybank.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import ivybank.common.Clock;
import ivybank.common.Json;
import ivybank.common.Log;
import ivybank.tally.Tally;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * Follows discovery: the whole list first, then a watch from its version on; or at once a watch from the version of a list that
 * is known from before the start, which is one call and few lines instead of two calls and all lines. What breaks is begun again after a pause
 * that grows; what is silent for longer than the watch's empty lines are apart counts as broken, whatever bytes trickle in. Discovery may move: then all is
 * begun anew at its new address, for the versions of one say nothing to another; the old one is heard until the new one
 * has answered. Whenever a call has ended, {@code where} is asked for the address that holds now: a move that nobody has
 * told of is found then.
 */
public final class Discovery {

    private static final String LIST = "/registry/instances";
    private static final String WATCH = LIST + "?stream=1&index=";
    private static final int OK = 200;
    private static final int MOST_BYTES = 4 << 20;
    /** What has come while the event loop was held up is looked at before anything counts as missing. */
    private static final long ONE_MORE_PASS_MS = 1;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Consumer<HostUpdate> listener;
    private final Timing timing;
    private final DoubleSupplier random;
    private final Clock clock;
    private final Log log;
    /** The version that all is known up to, or -1 where the whole list is needed. */
    private long seq;
    /** The newest version that this address has told, or -1. */
    private long newest = -1;
    /** Whether {@code seq} is from before the start, and nothing has been heard since that confirms it. */
    private boolean remembered;

    private double pauseMs = Timing.FIRST_PAUSE_MS;
    /** Watches in a row that have fallen silent without a word. */
    private int silent;

    private boolean reachable = true;
    private boolean stopped;
    private SocketAddress address;
    private final Supplier<SocketAddress> where;
    /** Since when it has been asked at this address without a word from there, or NaN. */
    private double movedMs = Double.NaN;
    /** The call at hand; what others still bring is late and is ignored, but for one to the address before a move. */
    private Channel current;

    private Channel previous;
    private ScheduledFuture<?> nextStart;
    private Runnable firstWord = () -> {};
    private Tally tally = Tally.NONE;

    /**
     * @param where may return null: then the address stays
     * @param from the version to go on from, of a list that is known, or -1 to begin with the whole list
     */
    public Discovery(
            EventLoop loop,
            Bootstrap base,
            SocketAddress address,
            Supplier<SocketAddress> where,
            long from,
            Timing timing,
            Consumer<HostUpdate> listener,
            Clock clock,
            Log log) {
        this(
                loop,
                base,
                address,
                where,
                from,
                timing,
                () -> ThreadLocalRandom.current().nextDouble(),
                listener,
                clock,
                log);
    }

    /** {@code random}: from 0 to 1, what a pause is drawn by. */
    Discovery(
            EventLoop loop,
            Bootstrap base,
            SocketAddress address,
            Supplier<SocketAddress> where,
            long from,
            Timing timing,
            DoubleSupplier random,
            Consumer<HostUpdate> listener,
            Clock clock,
            Log log) {
        this.seq = from;
        this.remembered = from >= 0;
        this.loop = loop;
        this.where = where;
        this.timing = timing;
        this.random = random;
        this.listener = listener;
        this.clock = clock;
        this.log = log;
        this.address = address;
        this.bootstrap = base.group(loop)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timing.connectMs())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) throws IOException {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(), new Call(timing.asksForAll(silent) ? -1 : seq, newest));
                    }
                });
    }

    /** From now on tells this of calls and versions. Before the start. */
    public void countIn(Tally counts) {
        tally = counts;
    }

    /**
     * Tells this once, when the first call has brought a list or has ended without one, at the latest when one that is answered
     * must have done so. Before the start.
     */
    public void onFirstWord(Runnable listens) {
        firstWord = listens;
        loop.schedule(this::firstWord, (long) timing.returnMs(), TimeUnit.MILLISECONDS);
    }

    private void firstWord() {
        Runnable told = firstWord;
        firstWord = () -> {};
        told.run();
    }

    public void start() {
        if (!stopped) {
            tally.called();
            Channel call = bootstrap.connect(address).channel();
            current = call;
            // Also a connection that never comes up is closed in the end.
            call.closeFuture().addListener(closed -> again(call));
        }
    }

    public void stop() {
        stopped = true;
    }

    /** Goes on at another address, with the list as it is known until the whole one has come from there. */
    public void moveTo(SocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        log.line("discovery moves from " + address + " to " + next + ", at version " + seq
                + (reachable ? "" : ", while it does not answer"));
        address = next;
        movedMs = clock.nowMs();
        seq = -1;
        newest = -1;
        silent = 0;
        remembered = false;
        pauseMs = Timing.FIRST_PAUSE_MS;
        if (nextStart != null) {
            nextStart.cancel(false);
        }
        if (current != null) { // else nothing has been started yet
            if (previous != null) {
                previous.close();
            }
            previous = current;
            start();
        }
    }

    private void again(Channel ended) {
        firstWord();
        if (stopped || ended != current) {
            return;
        }
        // At random times: many sidecars come back to one service.
        double delayMs = Math.min(timing.longestPauseMs(), pauseMs) * (0.5 + random.getAsDouble() / 2);
        pauseMs = Math.min(timing.longestPauseMs(), 2 * pauseMs);
        nextStart = loop.schedule(this::startWhereItIs, (long) delayMs, TimeUnit.MILLISECONDS);
    }

    /** Guards against a signal that never came: without it the sidecar stayed at an address that had closed for good. */
    private void startWhereItIs() {
        SocketAddress now = where.get();
        if (now != null && !now.equals(address)) {
            moveTo(now);
        } else {
            start();
        }
    }

    /**
     * There is life in the call at hand. Guards against pauses that stay long: a watch that had come up well and brought
     * nothing but empty lines left them as they had grown, and its next break was answered seconds late.
     */
    private void alive() {
        if (!reachable) {
            log.line("discovery answers again, at version " + Math.max(seq, newest));
        }
        reachable = true;
        pauseMs = Timing.FIRST_PAUSE_MS;
    }

    /** The first list after a move, or after a call that broke, ends what the old address has to say. */
    private void heard(long version, int entries) {
        if (!Double.isNaN(movedMs)) {
            log.line("discovery at " + address + " first answers after " + Math.round(clock.nowMs() - movedMs)
                    + " ms: version " + version + ", " + entries + " entries");
            reachable = true;
        }
        movedMs = Double.NaN;
        alive();
        if (previous != null) {
            previous.close();
            previous = null;
        }
    }

    private void lost(String why) {
        if (reachable) {
            log.line("discovery: " + why + "; going on with the list of version " + Math.max(seq, newest));
        }
        reachable = false;
    }

    /** One connection: a call for the list, and then the watch that goes on from it. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {

        private ByteBuf text;
        private ListValues values;
        private boolean watching;
        /** The version that all is known up to by this address, or -1 where the whole list is needed. */
        private long version;
        /** The newest version that this address has told before, or -1. */
        private long before;
        /** Ends the call if what it waits for does not come. */
        private ScheduledFuture<?> guard;
        /** Whether this watch has brought a word. */
        private boolean word;

        Call(long version, long before) {
            this.version = version;
            this.before = Math.max(version, before);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) throws IOException {
            text = ctx.alloc().buffer();
            ask(ctx);
        }

        private void ask(ChannelHandlerContext ctx) throws IOException {
            guard(ctx, timing.firstAnswerMs(), "no answer within ");
            watching = version >= 0;
            if (watching) {
                values = new ListValues(MOST_BYTES);
            }
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, watching ? WATCH + version : LIST);
            request.headers().set(HttpHeaderNames.HOST, "discovery");
            ctx.writeAndFlush(request);
        }

        /** What it waits for now, and for how long: only that, or what goes before it, ends the wait, not any byte. */
        private void guard(ChannelHandlerContext ctx, long mostMs, String what) {
            unguard();
            guard = loop.schedule(
                    () -> {
                        guard = loop.schedule(
                                () -> missed(ctx, what + mostMs + " ms"), ONE_MORE_PASS_MS, TimeUnit.MILLISECONDS);
                    },
                    mostMs,
                    TimeUnit.MILLISECONDS);
        }

        private void unguard() {
            if (guard != null) {
                guard.cancel(false);
            }
        }

        private void missed(ChannelHandlerContext ctx, String what) {
            if (ctx.channel() == current && watching) {
                silent = word ? 1 : silent + 1;
            }
            exceptionCaught(ctx, new IOException(what));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
            if (ctx.channel() != current && ctx.channel() != previous) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                throw new IOException("what came is no HTTP");
            }
            if (message instanceof HttpResponse response) {
                if (response.status().code() != OK) {
                    tally.callFailed(Integer.toString(response.status().code()));
                    throw new IOException("it answers " + response.status().code());
                }
                guard(ctx, watching ? timing.wordMs(silent) : timing.silenceMs(), "silent for ");
            }
            if (message instanceof HttpContent content) {
                if (watching) {
                    watched(ctx, content.content());
                } else {
                    text.writeBytes(content.content());
                    if (text.readableBytes() > MOST_BYTES) {
                        throw new IOException("a list is longer than " + MOST_BYTES + " bytes");
                    }
                }
                if (message instanceof LastHttpContent) {
                    ended(ctx);
                }
            }
        }

        private void ended(ChannelHandlerContext ctx) throws IOException {
            if (watching) {
                throw new IOException("the watch has ended");
            }
            JsonNode list;
            try {
                list = Json.MAPPER.readTree(new ByteBufInputStream(text).readAllBytes());
            } catch (IOException e) {
                throw unreadable(ctx.channel(), "the list", e);
            }
            text.clear();
            read(ctx.channel(), list);
            ask(ctx);
        }

        private void watched(ChannelHandlerContext ctx, ByteBuf content) throws IOException {
            ListValues.Piece piece;
            try {
                piece = values.take(ByteBufUtil.getBytes(content));
            } catch (IOException e) {
                throw unreadable(
                        ctx.channel(), "the watch from version " + version + ", at byte " + values.at() + ",", e);
            }
            for (JsonNode value : piece.values()) {
                read(ctx.channel(), value);
            }
            if (piece.isSignOfLife()) {
                guard(ctx, timing.silenceMs(), "silent for ");
                word = true;
                if (ctx.channel() == current) {
                    silent = 0;
                    alive();
                }
            }
        }

        /** It may have said something that is now missed: only the whole list makes up for that. */
        private IOException unreadable(Channel channel, String where, Exception e) {
            if (channel == current) {
                seq = -1;
            }
            return new IOException(
                    where + " can't be read: "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse(""),
                    e);
        }

        private void read(Channel channel, JsonNode json) throws IOException {
            HostUpdate update;
            try {
                update = HostUpdate.read(json);
            } catch (IllegalArgumentException e) {
                throw unreadable(channel, "what came after version " + version, e);
            }
            take(channel, update);
        }

        private void take(Channel channel, HostUpdate update) throws IOException {
            if (channel == current && remembered) {
                remembered = false;
                if (!update.whole() && update.seq() < version) {
                    seq = -1;
                    newest = -1;
                    throw new IOException("it is at version " + update.seq()
                            + " and knows nothing of the list of version " + version);
                }
            }
            boolean moved = channel == current && !Double.isNaN(movedMs);
            if (channel == current) {
                heard(update.seq(), update.entries().size());
            }
            // A watch that is resumed may say again what is known; what is older must not undo it.
            if (update.whole() || update.seq() > version) {
                boolean behind = update.seq() < before;
                version = update.seq();
                before = version;
                if (channel == current) {
                    seq = version;
                    newest = version;
                }
                tally.listed(version);
                listener.accept(moved || behind ? update.elsewhere() : update);
                if (channel == current) {
                    firstWord();
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (ctx.channel() == current) {
                lost(String.valueOf(cause.getMessage()));
            }
            ctx.close();
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext ctx) throws IOException {
            unguard();
            if (text != null) {
                text.release();
                text = null;
            }
            if (values != null) {
                values.close();
            }
            if (ctx.channel() == current) {
                tally.callFailed("ended");
                lost("not connected");
            }
        }
    }
}
