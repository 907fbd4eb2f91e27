package ivybank.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import ivybank.common.Clock;
import ivybank.common.Json;
import ivybank.supervision.OutboundConnection;
import ivybank.transport.RetryingSocketChannel;
import java.io.IOException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** One connection to discovery: a call for the list, and then the watch that goes on from it. On one event loop. */
final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject> {

    /** Told what a call brings. */
    interface Owner {

        /** Whether what this call brings still counts. */
        boolean heeds(DiscoveryCall call);

        /** Its request is with discovery from now on. */
        void asked(DiscoveryCall call);

        /** It can't be read at the moment. */
        void unreadableForNow(DiscoveryCall call);

        /** All that had come on it has been read, and it goes on. */
        void readOut(DiscoveryCall call);

        /** It waits now for a list, or for what comes next on its watch, for so many milliseconds at most. */
        void waits(DiscoveryCall call, boolean watching, long mostMs);

        /** There is life in its watch. */
        void alive(DiscoveryCall call);

        /** Its watch has brought nothing for longer than it may; {@code word}: it had brought something before. */
        void silent(DiscoveryCall call, boolean word);

        /** Something came that can't be read: only the whole list makes up for what it may have said. */
        void unreadable(DiscoveryCall call);

        /**
         * It was answered with a list; its watch is yet to follow.
         *
         * @param askedMs when it was asked for
         * @param spoilt whether it could not be read for a while meanwhile
         */
        void listed(DiscoveryCall call, double askedMs, boolean spoilt);

        /** It was answered with this status, which is no list. */
        void refused(int status);

        /**
         * An update has come that may be older than what is known.
         *
         * @param version up to which this call has told all, or -1
         * @throws IOException if it shows that nothing can be gone on from
         */
        void confirms(DiscoveryCall call, HostUpdate update, long version) throws IOException;

        /** An update has come that is new; {@code behind}: it is older than what this address has told before. */
        void take(DiscoveryCall call, HostUpdate update, boolean behind);

        /** It is about to end for this reason. */
        void failed(DiscoveryCall call, String why);
    }

    private static final String LIST = "/registry/instances";
    private static final String WATCH = LIST + "?stream=1&index=";
    private static final String NO_ANSWER = "no answer within ";
    private static final String SILENT_FOR = "silent for ";
    private static final int OK = 200;
    private static final int MOST_BYTES = 4 << 20;
    /** What has come while the event loop was held up is looked at before anything counts as missing. */
    private static final long ONE_MORE_PASS_MS = 1;
    /** How soon after a read that failed the next one is tried. */
    private static final long READ_OUT_PAUSE_MS = 5;

    private final Owner owner;
    private final Timing timing;
    private final Clock clock;
    /** Watches in a row that had fallen silent when this call was begun. */
    private final int silentBefore;
    /** The connection that it is on. */
    OutboundConnection connection;

    private ChannelHandlerContext context;
    private ByteBuf text;
    private ListValues values;
    private boolean watching;
    /** The version that all is known up to by this address, or -1 where the whole list is needed. */
    private long version;
    /** The newest version that this address has told before, or -1. */
    private long before;
    /** Ends the call if what it waits for does not come. */
    private ScheduledFuture<?> guard;
    /** Whether the next update is the first one since discovery moved here. */
    boolean firstSinceMove;
    /** Whether this watch has brought a word. */
    private boolean word;
    /** Whether its last request has been written, when, and whether anything has come in answer. */
    private boolean delivered;

    private double askedMs;
    private boolean answered;
    /** Whether it can't be read at the moment, and whether that was so since its last request. */
    private boolean unreadable;

    private boolean spoilt;
    private boolean readOutScheduled;
    /** What it ended of, as far as that is known here. */
    private String failure = "its connection was closed";

    DiscoveryCall(Owner owner, Timing timing, Clock clock, int silentBefore, long version, long before) {
        this.owner = owner;
        this.timing = timing;
        this.clock = clock;
        this.silentBefore = silentBefore;
        this.version = version;
        this.before = Math.max(version, before);
    }

    /** Ends it; its connection tells that it has ended. */
    void close() {
        if (connection != null) {
            connection.abandon("given up");
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Looks at its connection without being told to: a registration with the selector may have failed, which Java tells nobody. */
    void verify() {
        if (context != null && context.channel() instanceof RetryingSocketChannel channel) {
            RetryingSocketChannel.ReadResult found = channel.pollAndRearm();
            if (unreadable && found == RetryingSocketChannel.ReadResult.EXHAUSTED && channel.isActive()) {
                unreadable = false;
                owner.readOut(this);
            }
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == RetryingSocketChannel.Event.READ_FAILED) {
            unreadable = true;
            spoilt = true;
            owner.unreadableForNow(this);
            readOutSoon();
        }
        ctx.fireUserEventTriggered(event);
    }

    /** Guards clients: while it can't be read nothing may be sent on after a while, so that its end is not waited for. */
    private void readOutSoon() {
        if (!readOutScheduled) {
            readOutScheduled = true;
            context.channel()
                    .eventLoop()
                    .schedule(
                            () -> {
                                readOutScheduled = false;
                                verify();
                            },
                            READ_OUT_PAUSE_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) throws IOException {
        text = ctx.alloc().buffer();
        ask();
    }

    private void ask() throws IOException {
        watching = version >= 0;
        delivered = false;
        answered = false;
        spoilt = unreadable;
        askedMs = clock.nowMs();
        guard(timing.firstAnswerMs(), NO_ANSWER);
        if (watching) {
            values = new ListValues(MOST_BYTES);
        }
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, watching ? WATCH + version : LIST);
        request.headers().set(HttpHeaderNames.HOST, "discovery");
        context.writeAndFlush(request).addListener(written -> {
            if (written.isSuccess()) {
                delivered();
            }
        });
    }

    /** Writing it may have taken long: only from now on can it be answered. */
    private void delivered() {
        delivered = true;
        owner.asked(this);
        if (!answered) {
            guard(timing.firstAnswerMs(), NO_ANSWER);
        }
    }

    /** What it waits for now, and for how long: only that, or what goes before it, ends the wait, not any byte. */
    private void guard(long mostMs, String what) {
        unguard();
        owner.waits(this, watching, mostMs);
        guard = context.channel()
                .eventLoop()
                .schedule(
                        () -> {
                            guard = context.channel()
                                    .eventLoop()
                                    .schedule(() -> missed(mostMs, what), ONE_MORE_PASS_MS, TimeUnit.MILLISECONDS);
                        },
                        mostMs,
                        TimeUnit.MILLISECONDS);
    }

    private void unguard() {
        if (guard != null) {
            guard.cancel(false);
        }
    }

    /** Guards what stands unread in the socket: closing would drop it, and this machine is the reason that it was not read. */
    private void missed(long mostMs, String what) {
        if (unreadable || !delivered) {
            guard(mostMs, what);
            return;
        }
        if (watching) {
            owner.silent(this, word);
        }
        exceptionCaught(context, new IOException(what + mostMs + " ms"));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
        if (!owner.heeds(this)) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            throw new IOException("what came is no HTTP");
        }
        answered = true;
        if (message instanceof HttpResponse response) {
            if (response.status().code() != OK) {
                owner.refused(response.status().code());
                throw new IOException("it answers " + response.status().code());
            }
            guard(watching ? timing.wordMs(silentBefore) : timing.silenceMs(), SILENT_FOR);
        }
        if (message instanceof HttpContent content) {
            if (watching) {
                watched(content.content());
            } else {
                text.writeBytes(content.content());
                if (text.readableBytes() > MOST_BYTES) {
                    throw new IOException("a list is longer than " + MOST_BYTES + " bytes");
                }
            }
            if (message instanceof LastHttpContent) {
                ended();
            }
        }
    }

    private void ended() throws IOException {
        if (watching) {
            throw new IOException("the watch has ended");
        }
        JsonNode list;
        try {
            list = Json.MAPPER.readTree(new ByteBufInputStream(text).readAllBytes());
        } catch (IOException e) {
            throw unreadable("the list", e);
        }
        text.clear();
        read(list);
        owner.listed(this, askedMs, spoilt);
        ask();
    }

    private void watched(ByteBuf content) throws IOException {
        ListValues.Piece piece;
        try {
            piece = values.take(ByteBufUtil.getBytes(content));
        } catch (IOException e) {
            throw unreadable("the watch from version " + version + ", at byte " + values.at() + ",", e);
        }
        for (JsonNode value : piece.values()) {
            read(value);
        }
        if (piece.isSignOfLife()) {
            guard(timing.silenceMs(), SILENT_FOR);
            word = true;
            owner.alive(this);
        }
    }

    /** It may have said something that is now missed. */
    private IOException unreadable(String where, Exception e) {
        owner.unreadable(this);
        String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
        return new IOException(where + " can't be read: " + reason, e);
    }

    private void read(JsonNode json) throws IOException {
        HostUpdate update;
        try {
            update = HostUpdate.read(json);
        } catch (IllegalArgumentException e) {
            throw unreadable("what came after version " + version, e);
        }
        owner.confirms(this, update, version);
        // A watch that is resumed may say again what is known; what is older must not undo it.
        if (update.whole() || update.seq() > version) {
            boolean behind = update.seq() < before;
            version = update.seq();
            before = version;
            owner.take(this, update, behind);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        failure = String.valueOf(cause.getMessage());
        owner.failed(this, failure);
        ctx.close();
    }

    /** What it ended of; once it has ended. */
    String failure() {
        return failure;
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
    }
}
