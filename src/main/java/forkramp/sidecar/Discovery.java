package forkramp.sidecar;

import java.io.IOException;
import java.net.SocketAddress;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
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
import io.netty.handler.timeout.ReadTimeoutHandler;

/**
 * Follows discovery: the whole list first, then a watch from its version on. What breaks is begun again after a pause
 * that grows; what is silent for longer than the watch's empty lines are apart counts as broken. Discovery may move: then all is
 * begun anew at its new address, for the versions of one say nothing to another.
 */
final class Discovery {

    private static final String LIST = "/registry/instances";
    private static final String WATCH = LIST + "?stream=1&index=";
    private static final int OK = 200;
    private static final int MAX_LINE = 4 << 20;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    /**
     * An empty line comes every 2 s, and what could have been heard counts as told 6 s later. Guards against a watch
     * that stays open and brings nothing: after 7 s upstreams that were gone had been sent to for too long. A list is
     * asked for once too often where lines are a second late.
     */
    private static final int SILENCE_S = 3;
    private static final double FIRST_PAUSE_MS = 50;
    private static final double LONGEST_PAUSE_MS = 2000;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Consumer<HostUpdate> listener;
    private final Log log;
    /** The version that all is known up to, or -1 where the whole list is needed. */
    private long seq = -1;
    private double pauseMs = FIRST_PAUSE_MS;
    private boolean reachable = true;
    private boolean stopped;
    private SocketAddress address;
    /** The call at hand; what others still bring is late and is ignored. */
    private Channel current;
    private ScheduledFuture<?> nextStart;

    Discovery(EventLoop loop, Bootstrap base, SocketAddress address, Consumer<HostUpdate> listener, Log log) {
        this.loop = loop;
        this.listener = listener;
        this.log = log;
        this.address = address;
        this.bootstrap = base.group(loop)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new ReadTimeoutHandler(SILENCE_S), new HttpClientCodec(),
                                new Call());
                    }
                });
    }

    void start() {
        if (!stopped) {
            Channel call = bootstrap.connect(address).channel();
            current = call;
            // Also a connection that never comes up is closed in the end.
            call.closeFuture().addListener(closed -> again(call));
        }
    }

    void stop() {
        stopped = true;
    }

    /** Goes on at another address, with the list as it is known until the whole one has come from there. */
    void moveTo(SocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        address = next;
        seq = -1;
        pauseMs = FIRST_PAUSE_MS;
        if (nextStart != null) {
            nextStart.cancel(false);
        }
        Channel old = current;
        if (old != null) { // else nothing has been started yet
            start();
            old.close();
        }
    }

    private void again(Channel ended) {
        if (stopped || ended != current) {
            return;
        }
        // At random times: many sidecars come back to one service.
        double delayMs = pauseMs * (0.5 + ThreadLocalRandom.current().nextDouble() / 2);
        pauseMs = Math.min(LONGEST_PAUSE_MS, 2 * pauseMs);
        nextStart = loop.schedule(this::start, (long) delayMs, TimeUnit.MILLISECONDS);
    }

    private void take(HostUpdate update) {
        if (!reachable) {
            log.line("discovery answers again, at version " + update.seq());
        }
        reachable = true;
        pauseMs = FIRST_PAUSE_MS;
        // A watch that is resumed may say again what is known; what is older must not undo it.
        if (update.whole() || update.seq() > seq) {
            seq = update.seq();
            listener.accept(update);
        }
    }

    private void lost(String why) {
        if (reachable) {
            log.line("discovery: " + why + "; going on with the list of version " + seq);
        }
        reachable = false;
    }

    /** One connection: a call for the list, and then the watch that goes on from it. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {

        private ByteBuf text;
        private boolean watching;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            text = ctx.alloc().buffer();
            ask(ctx);
        }

        private void ask(ChannelHandlerContext ctx) {
            watching = seq >= 0;
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    watching ? WATCH + seq : LIST);
            request.headers().set(HttpHeaderNames.HOST, "discovery");
            ctx.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
            if (ctx.channel() != current) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                throw new IOException("what came is no HTTP");
            }
            if (message instanceof HttpResponse response && response.status().code() != OK) {
                throw new IOException("it answers " + response.status().code());
            }
            if (message instanceof HttpContent content) {
                text.writeBytes(content.content());
                if (text.readableBytes() > MAX_LINE) {
                    throw new IOException("a line is longer than " + MAX_LINE + " bytes");
                }
                if (watching) {
                    readLines();
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
            read(text.readSlice(text.readableBytes()));
            text.clear();
            ask(ctx);
        }

        /** Reads what is whole; half a line waits for the rest, or goes with the connection. */
        private void readLines() throws IOException {
            for (int length = text.bytesBefore((byte) '\n'); length >= 0; length = text.bytesBefore((byte) '\n')) {
                ByteBuf line = text.readSlice(length);
                text.skipBytes(1);
                if (!isBlank(line)) {
                    read(line);
                }
            }
            text.discardSomeReadBytes();
        }

        private boolean isBlank(ByteBuf line) {
            return line.forEachByte(value -> value == ' ' || value == '\r') < 0;
        }

        private void read(ByteBuf json) throws IOException {
            HostUpdate update;
            try {
                update = HostUpdate.read(Config.JSON.readTree(new ByteBufInputStream(json).readAllBytes()));
            } catch (IOException | IllegalArgumentException e) {
                seq = -1; // it may have said something that is now missed: only the whole list makes up for that
                throw new IOException("a line can't be read: " + e.getMessage().lines().findFirst().orElse(""), e);
            }
            take(update);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (ctx.channel() == current) {
                lost(cause.getMessage() == null ? "silent for " + SILENCE_S + " s" : cause.getMessage());
            }
            ctx.close();
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext ctx) {
            if (text != null) {
                text.release();
            }
            if (ctx.channel() == current) {
                lost("not connected");
            }
        }
    }
}
