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

/**
 * One connection to discovery: a request for the list, followed by the watch from its version on. Runs on one event loop.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject> {

    /** Receives the events of a call. */
    interface Owner {

        /** Returns whether events of this call are still relevant. */
        boolean accepts(DiscoveryCall call);

        /** The request has been written and is pending at discovery from now on. */
        void requestSent(DiscoveryCall call);

        /** The connection cannot be read at the moment. */
        void readFailed(DiscoveryCall call);

        /** Everything that had arrived on the connection has been read, and the call continues. */
        void readRecovered(DiscoveryCall call);

        /** The call now waits for a list, or for the next data of its watch, for at most this time. */
        void waiting(DiscoveryCall call, boolean watching, long timeoutMs);

        /** The watch has delivered data that proves that discovery is alive. */
        void watchAlive(DiscoveryCall call);

        /** The watch has been silent for longer than its timeout; {@code hadData}: it had delivered data before. */
        void watchSilent(DiscoveryCall call, boolean hadData);

        /** Malformed data arrived. Only the whole list makes up for updates that it may have contained. */
        void malformed(DiscoveryCall call);

        /**
         * Discovery answered with a list; the watch is yet to follow.
         *
         * @param askedMs when the list was requested
         * @param readFailed whether the connection could not be read for a while meanwhile
         */
        void listReceived(DiscoveryCall call, double askedMs, boolean readFailed);

        /** Discovery answered with this status, which carries no list. */
        void statusReceived(int status);

        /**
         * An update has arrived that may be older than what is known.
         *
         * @param version up to which this call has reported all changes, or -1
         * @throws IOException if it shows that the call cannot resume from the known version
         */
        void updateReceived(DiscoveryCall call, NodeListUpdate update, long version) throws IOException;

        /** A new update has arrived; {@code outdated}: it is older than what this address has reported before. */
        void applyUpdate(DiscoveryCall call, NodeListUpdate update, boolean outdated);

        /** The call is about to end for this reason. */
        void callFailed(DiscoveryCall call, String why);
    }

    private static final String LIST = "/registry/instances";
    private static final String WATCH = LIST + "?stream=1&index=";
    private static final String NO_ANSWER = "no answer within ";
    private static final String SILENT_FOR = "silent for ";
    private static final int STATUS_OK = 200;
    private static final int MAX_LIST_BYTES = 4 << 20;
    /**
     * An extra pass of the event loop before a timeout takes effect, so that input which arrived during an event loop stall is
     * read first.
     */
    private static final long EXTRA_LOOP_PASS_MS = 1;
    /** The delay before a failed read is retried. */
    private static final long READ_RETRY_DELAY_MS = 5;

    private final Owner owner;
    private final Timing timing;
    private final Clock clock;
    /** The number of consecutive watches that had fallen silent when this call started. */
    private final int silentWatchesBefore;
    /** The connection of this call. */
    OutboundConnection connection;

    private ChannelHandlerContext context;
    private ByteBuf listBody;
    private ListValues watchValues;
    private boolean watching;
    /** The version up to which all changes from this address are known, or -1 where the whole list is needed. */
    private long version;
    /** The newest version that this address has reported before, or -1. */
    private long newestVersion;
    /** Ends the call if the awaited data does not arrive. */
    private ScheduledFuture<?> timeoutTask;
    /** Whether the next update is the first one since discovery moved here. */
    boolean firstSinceMove;
    /** Whether this watch has delivered data. */
    private boolean hasData;
    /** Whether the call's last request has been written completely. */
    private boolean requestWritten;

    /** The time at which the last request was sent. */
    private double askedMs;
    /** Whether anything has arrived in answer to the last request. */
    private boolean answered;
    /** Whether the connection cannot be read at the moment. */
    private boolean unreadable;

    /** Whether a read has failed since the last request. */
    private boolean readFailedSinceRequest;

    private boolean readRetryScheduled;
    /** The reason why the call ended, as far as it is known here. */
    private String failure = "its connection was closed";

    DiscoveryCall(Owner owner, Timing timing, Clock clock, int silentWatchesBefore, long version, long newestVersion) {
        this.owner = owner;
        this.timing = timing;
        this.clock = clock;
        this.silentWatchesBefore = silentWatchesBefore;
        this.version = version;
        this.newestVersion = Math.max(version, newestVersion);
    }

    /** Closes the connection, which then reports the end of the call. */
    void close() {
        if (connection != null) {
            connection.abandon("abandoned");
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /**
     * Checks the connection without an event of the selector: a registration with the selector may have failed, which Java does
     * not report.
     */
    void verify() {
        if (context != null && context.channel() instanceof RetryingSocketChannel channel) {
            RetryingSocketChannel.ReadResult found = channel.pollAndRearm();
            if (unreadable && found == RetryingSocketChannel.ReadResult.EXHAUSTED && channel.isActive()) {
                unreadable = false;
                owner.readRecovered(this);
            }
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == RetryingSocketChannel.Event.READ_FAILED) {
            unreadable = true;
            readFailedSinceRequest = true;
            owner.readFailed(this);
            scheduleReadRetry();
        }
        ctx.fireUserEventTriggered(event);
    }

    /**
     * Retries the read soon: after a while without reads no request is sent by the list, so waiting for the end of the connection
     * would cost clients.
     */
    private void scheduleReadRetry() {
        if (!readRetryScheduled) {
            readRetryScheduled = true;
            context.channel()
                    .eventLoop()
                    .schedule(
                            () -> {
                                readRetryScheduled = false;
                                verify();
                            },
                            READ_RETRY_DELAY_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) throws IOException {
        listBody = ctx.alloc().buffer();
        sendRequest();
    }

    private void sendRequest() throws IOException {
        watching = version >= 0;
        requestWritten = false;
        answered = false;
        readFailedSinceRequest = unreadable;
        askedMs = clock.nowMs();
        startTimeout(timing.firstAnswerMs(), NO_ANSWER);
        if (watching) {
            watchValues = new ListValues(MAX_LIST_BYTES);
        }
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, watching ? WATCH + version : LIST);
        request.headers().set(HttpHeaderNames.HOST, "discovery");
        context.writeAndFlush(request).addListener(written -> {
            if (written.isSuccess()) {
                requestWritten();
            }
        });
    }

    /** Restarts the timeout: writing may have taken long, and only now can the request be answered. */
    private void requestWritten() {
        requestWritten = true;
        owner.requestSent(this);
        if (!answered) {
            startTimeout(timing.firstAnswerMs(), NO_ANSWER);
        }
    }

    /**
     * Starts the timeout of the current wait. Only the awaited data, or data before it, ends the wait; arbitrary bytes do not.
     */
    private void startTimeout(long timeoutMs, String description) {
        cancelTimeout();
        owner.waiting(this, watching, timeoutMs);
        timeoutTask = context.channel()
                .eventLoop()
                .schedule(
                        () -> {
                            timeoutTask = context.channel()
                                    .eventLoop()
                                    .schedule(
                                            () -> timedOut(timeoutMs, description),
                                            EXTRA_LOOP_PASS_MS,
                                            TimeUnit.MILLISECONDS);
                        },
                        timeoutMs,
                        TimeUnit.MILLISECONDS);
    }

    private void cancelTimeout() {
        if (timeoutTask != null) {
            timeoutTask.cancel(false);
        }
    }

    /**
     * Ends the call, unless this machine is the reason for the silence: closing would drop unread input in the socket.
     */
    private void timedOut(long timeoutMs, String description) {
        if (unreadable || !requestWritten) {
            startTimeout(timeoutMs, description);
            return;
        }
        if (watching) {
            owner.watchSilent(this, hasData);
        }
        exceptionCaught(context, new IOException(description + timeoutMs + " ms"));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
        if (!owner.accepts(this)) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            throw new IOException("the response is not valid HTTP");
        }
        answered = true;
        if (message instanceof HttpResponse response) {
            if (response.status().code() != STATUS_OK) {
                owner.statusReceived(response.status().code());
                throw new IOException(
                        "answered with status " + response.status().code());
            }
            startTimeout(watching ? timing.watchTimeoutMs(silentWatchesBefore) : timing.silenceMs(), SILENT_FOR);
        }
        if (message instanceof HttpContent content) {
            if (watching) {
                watchDataReceived(content.content());
            } else {
                listBody.writeBytes(content.content());
                if (listBody.readableBytes() > MAX_LIST_BYTES) {
                    throw new IOException("a list is longer than " + MAX_LIST_BYTES + " bytes");
                }
            }
            if (message instanceof LastHttpContent) {
                responseCompleted();
            }
        }
    }

    private void responseCompleted() throws IOException {
        if (watching) {
            throw new IOException("the watch has ended");
        }
        JsonNode list;
        try {
            list = Json.MAPPER.readTree(new ByteBufInputStream(listBody).readAllBytes());
        } catch (IOException e) {
            throw malformed("the list", e);
        }
        listBody.clear();
        read(list);
        owner.listReceived(this, askedMs, readFailedSinceRequest);
        sendRequest();
    }

    private void watchDataReceived(ByteBuf content) throws IOException {
        ListValues.Piece piece;
        try {
            piece = watchValues.feed(ByteBufUtil.getBytes(content));
        } catch (IOException e) {
            throw malformed("the watch from version " + version + ", at byte " + watchValues.byteOffset() + ",", e);
        }
        for (JsonNode value : piece.values()) {
            read(value);
        }
        if (piece.isSignOfLife()) {
            startTimeout(timing.silenceMs(), SILENT_FOR);
            hasData = true;
            owner.watchAlive(this);
        }
    }

    /** Reports malformed data, which may have contained an update that is now missed. */
    private IOException malformed(String where, Exception e) {
        owner.malformed(this);
        String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
        return new IOException(where + " can't be read: " + reason, e);
    }

    private void read(JsonNode json) throws IOException {
        NodeListUpdate update;
        try {
            update = NodeListUpdate.read(json);
        } catch (IllegalArgumentException e) {
            throw malformed("the update after version " + version, e);
        }
        owner.updateReceived(this, update, version);
        // A resumed watch may repeat known updates; an older one must not undo them.
        if (update.whole() || update.seq() > version) {
            boolean outdated = update.seq() < newestVersion;
            version = update.seq();
            newestVersion = version;
            owner.applyUpdate(this, update, outdated);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        failure = String.valueOf(cause.getMessage());
        owner.callFailed(this, failure);
        ctx.close();
    }

    /** Returns the reason why the call ended; valid once it has ended. */
    String failure() {
        return failure;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) throws IOException {
        cancelTimeout();
        if (listBody != null) {
            listBody.release();
            listBody = null;
        }
        if (watchValues != null) {
            watchValues.close();
        }
    }
}
