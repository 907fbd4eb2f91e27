package ivybank.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import ivybank.common.Framing;
import ivybank.common.KeptHeaders;
import ivybank.discovery.Node;
import ivybank.exchange.Answer;
import ivybank.exchange.BodyBuffer;
import ivybank.exchange.BodyPipe;
import ivybank.exchange.ClientRequest;
import ivybank.memory.Reservation;
import ivybank.policy.Balancer.Outcome;
import ivybank.tally.Stage;
import ivybank.transport.RetryingSocketChannel;
import ivybank.upstream.UpstreamAttempt.Ending;
import ivybank.upstream.UpstreamSocketChannel.UnreadInput;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * One connection to a node, which carries one request at a time. It alone sees which bytes were written and which came back,
 * and so determines the outcome of an attempt. An answer counts when the read that delivered it has ended, so that further
 * input right behind it is seen before the connection is used again: such input was once taken for the next request's answer.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {

    private static final long UPLOAD_STALL_TIMEOUT_MS = 5000;
    private static final double STALL_CHECKS = 5; // within the stall timeout
    /** The longest pause within an answer after which it still counts as arriving. */
    private static final double MAX_ARRIVAL_GAP_MS = 1500;

    private static final int MAX_INTERIM_RESPONSES = 16;
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_GATEWAY_TIMEOUT = 504;
    private static final String REJECTED = "X-Rejected";
    private static final String LOAD_REPORT = "X-Load-Report";
    private static final String CALL_ID = "X-Call-Id";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String BUDGET = "X-Budget-Ms";
    private static final String SERVICE = "api.internal";

    /** The header fields that are used of an answer. */
    static final HttpHeadersFactory USED_HEADERS = KeptHeaders.factory(List.of(
            HttpHeaderNames.CONTENT_LENGTH.toString(),
            HttpHeaderNames.TRANSFER_ENCODING.toString(),
            HttpHeaderNames.CONNECTION.toString(),
            HttpHeaderNames.CONTENT_TYPE.toString(),
            HttpHeaderNames.UPGRADE.toString(),
            REJECTED,
            LOAD_REPORT));

    final Node node;
    /** The address to which the connection leads; its node may have moved since. */
    final SocketAddress address;
    /** Whether this is a spare connection, opened to save an attempt a wait. */
    final boolean spare;
    /** The time at which the connection was last returned to the pool, by the clock of the decision module. */
    double idleSinceMs;
    /** The time of its last answer, by the clock of the decision module. */
    double answeredMs = Double.NEGATIVE_INFINITY;

    private final ResponseDecoder decoder;
    private final UpstreamPool pool;
    private final LoadReport reports;
    private Channel channel;
    private UpstreamAttempt attempt;
    private boolean written;
    private HttpResponse head;
    /** The body of the answer, while it is kept whole, or null. */
    private BodyBuffer body;
    /** The rest of a long answer that is being forwarded, or null. */
    private BodyPipe rest;

    /** The number of bytes of the long answer that have arrived. */
    private long forwardedBytes;
    /** The rest of a long request that is being forwarded, or null. */
    private BodyPipe upload;

    private ScheduledFuture<?> uploadTimeout;
    /** Whether the connection has failed instead of being closed in order. */
    private boolean broken;

    private int interimResponses;
    /** The time at which the last part of the answer arrived, by the clock of the decision module. */
    private double lastInputMs;
    /**
     * The time at which the request was written or the head of its answer arrived, by the clock of the decision module.
     */
    private double phaseSinceMs;
    /** The end of the attempt by a complete answer, until the read has ended; otherwise null. */
    private Ending pendingEnding;

    private boolean reusable;

    UpstreamConnection(Node node, boolean spare, ResponseDecoder decoder, UpstreamPool pool, LoadReport reports) {
        this.node = node;
        this.spare = spare;
        this.address = node.address;
        this.decoder = decoder;
        this.pool = pool;
        this.reports = reports;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /** Returns whether the last byte of the current request has been written. */
    boolean written() {
        return written;
    }

    /** Returns whether the channel exists and is connected. */
    boolean active() {
        return channel != null && channel.isActive();
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /** Returns how far the current attempt has come, for the log. */
    String progress() {
        String request = written
                ? "request written"
                : upload == null ? "request not written" : "request not written, " + upload.heldBytes() + " bytes held";
        if (head == null) {
            return request + ", no answer";
        }
        long received = rest != null ? forwardedBytes : body.size();
        return request + ", answer " + head.status().code() + " with " + received + " bytes so far, last input "
                + Math.round(pool.nowMs() - lastInputMs) + " ms ago";
    }

    /** Logs that this program ends the current attempt. */
    void reportLocalEnd(LocalEndReason reason) {
        pool.reportLocalEnd(attempt, reason, progress());
    }

    /** Checks for unread input; unless there is none, the connection must be closed. */
    UnreadInput unreadInput() {
        return channel instanceof UpstreamSocketChannel socket ? socket.unreadInput() : UnreadInput.NONE;
    }

    /**
     * Tries to connect, read and write once without an event where one is awaited, because the selector may report none.
     */
    void verify() {
        boolean waits = attempt != null || channel != null && !channel.isActive();
        if (waits && channel instanceof UpstreamSocketChannel socket) {
            socket.pollAndRearm();
        }
    }

    /**
     * Sends an attempt, unless the invariant guard denies it: then the attempt ends as not sent and the connection stays free.
     */
    void send(UpstreamAttempt next) {
        long budgetMs = Math.max(1, (long) next.budgetMs());
        if (!next.mayBeWritten((double) budgetMs).isAllowed()) {
            pool.returnUnused(this);
            next.end(Ending.of(Outcome.NOT_SENT));
            return;
        }
        write(next, budgetMs);
    }

    private void write(UpstreamAttempt next, long budgetMs) {
        attempt = next;
        written = false;
        head = null;
        interimResponses = 0;
        phaseSinceMs = pool.nowMs();
        next.writeStarted(this, phaseSinceMs);
        ClientRequest request = next.request;
        HttpHeaders headers = headers(request, budgetMs);
        if (request.remainingBody() != null) {
            channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(), headers));
            upload = request.remainingBody();
            upload.attach(new Upload(next));
            return;
        }
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                Unpooled.wrappedBuffer(request.body()),
                headers,
                EmptyHttpHeaders.INSTANCE);
        Reservation copy = pool.memory().reservePart(request.body().length);
        channel.writeAndFlush(message).addListener(write -> {
            copy.release();
            requestWritten(next, write.isSuccess());
        });
    }

    private static HttpHeaders headers(ClientRequest request, long budgetMs) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set(HttpHeaderNames.HOST, SERVICE);
        headers.set(CALL_ID, request.callId());
        headers.set(BUDGET, budgetMs);
        if (request.idempotencyKey() != null) {
            headers.set(IDEMPOTENCY_KEY, request.idempotencyKey());
        }
        if (request.method().equals(HttpMethod.POST)) {
            if (request.contentLength() >= 0) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, request.contentLength());
            } else {
                headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
        }
        return headers;
    }

    /**
     * Writes a part of a request. A reset that a write detects first closes the channel like a normal close, and a truncated answer
     * without a length then seemed complete. Nothing is sent behind a part that could not be written, whatever the reason.
     */
    private ChannelFuture writePart(ByteBuf part) {
        return channel.writeAndFlush(new DefaultHttpContent(part)).addListener(write -> {
            if (!write.isSuccess()) {
                broken = true;
                close();
            }
        });
    }

    private void requestWritten(UpstreamAttempt sent, boolean whole) {
        if (attempt == sent) {
            written = whole;
            if (!whole) {
                finish(Ending.of(Outcome.CONNECT_FAILED), false);
            } else if (sent.request.remainingBody() != null) {
                sent.startTimer(channel.eventLoop());
            }
        }
    }

    /**
     * Forwards the rest of a long request as it arrives. A request that breaks off is not completed, and so has not run.
     */
    private final class Upload implements BodyPipe.Sink {
        private final UpstreamAttempt sent;

        Upload(UpstreamAttempt sent) {
            this.sent = sent;
        }

        @Override
        public void write(ByteBuf part, Runnable released) {
            if (attempt != sent) {
                part.release();
                released.run();
                return;
            }
            writePart(part).addListener(done -> released.run());
            updateUpload(channel.isWritable());
        }

        @Override
        public void ended(boolean whole) {
            if (attempt != sent) {
                return;
            }
            if (whole) {
                upload = null;
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                        .addListener(write -> requestWritten(sent, write.isSuccess()));
            } else {
                finish(Ending.of(Outcome.CONNECT_FAILED), false);
            }
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (upload != null) {
            updateUpload(ctx.channel().isWritable());
        }
    }

    /**
     * Applies back pressure to the upload. Ends the attempt, which has not run, if the node does not read for too long.
     */
    private void updateUpload(boolean writable) {
        upload.setDemand(writable);
        if (uploadTimeout != null) {
            uploadTimeout.cancel(false);
        }
        UpstreamAttempt sent = attempt;
        uploadTimeout = writable
                ? null
                : channel.eventLoop()
                        .schedule(
                                () -> {
                                    if (attempt == sent && upload != null) {
                                        reportLocalEnd(LocalEndReason.UPLOAD_STALL);
                                        finish(Ending.of(Outcome.CONNECT_FAILED), false);
                                    }
                                },
                                UPLOAD_STALL_TIMEOUT_MS,
                                TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (pendingEnding != null || attempt == null) {
            reusable = false; // unexpected input
        } else if (message.decoderResult().isFailure()) {
            failMalformed("can't be read");
        } else if (message instanceof HttpResponse response) {
            startResponse(response);
        }
        lastInputMs = pool.nowMs();
        if (message instanceof HttpContent content && head != null) {
            addBody(content.content());
            if (message instanceof LastHttpContent && head != null) {
                answerCompleted();
            }
        }
    }

    /** Handles the head of a response, unless it already shows that no usable answer follows. */
    private void startResponse(HttpResponse response) {
        boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        // Without a length, the answer ends with the connection, which must have been announced: otherwise the end
        // can't be distinguished from a failure, and a truncated answer must not be served.
        boolean bounded = HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response)
                || !HttpUtil.isKeepAlive(response);
        if (!written && response.status().code() == STATUS_OK) {
            pool.reportMalformedAnswer(node, "arrived before its request was sent");
            finish(Ending.of(Outcome.CONNECT_FAILED), false); // a node starts with the last byte, so it has not run
        } else if (!Framing.isUnambiguous(response) || !interim && !bounded) {
            failMalformed("has no clear end");
        } else if (Framing.isTooLong(response)) {
            failMalformed("is too long");
        } else if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
                || interim && ++interimResponses > MAX_INTERIM_RESPONSES) {
            failMalformed("has too many interim responses or switches protocols");
        } else {
            head = response;
            dropBody();
            body = new BodyBuffer(pool.memory(), HttpUtil.getContentLength(response, -1L), 0);
            if (!interim) {
                pool.responseStarted(node, pool.nowMs() - phaseSinceMs);
                endPhase(Stage.FIRST_BYTE);
            }
        }
    }

    /** Records the time since the request was written, or since the previous stage. */
    private void endPhase(Stage stage) {
        double nowMs = pool.nowMs();
        pool.recordStage(stage, nowMs - phaseSinceMs);
        phaseSinceMs = nowMs;
    }

    private void addBody(ByteBuf part) {
        if (rest != null) {
            forwardedBytes += part.readableBytes();
            if (forwardedBytes > Framing.MAX_BODY_BYTES) {
                failMalformed("is too long");
            } else {
                rest.write(part.retain());
            }
            return;
        }
        boolean isLong = Math.max(HttpUtil.getContentLength(head, 0L), (long) body.size() + part.readableBytes())
                > Framing.MAX_BUFFERED_BODY_BYTES;
        boolean isRecorded = attempt.request.sendRecord() != null;
        if (!isLong && body.tryAppend(part)) {
            return;
        }
        if (!isLong && isRecorded && outcome() == Outcome.OK) {
            reportLocalEnd(LocalEndReason.NO_MEMORY);
            finish(Ending.of(Outcome.CANCELLED), false); // it can't be forwarded before it is recorded
        } else {
            forwardAnswer(part);
        }
    }

    /** Returns whether an answer may be in the socket because the event loop has stalled. */
    boolean mayHaveUnreadAnswer() {
        return pool.isStalled();
    }

    /** Returns for how long an answer that can be served still counts as arriving, in milliseconds; 0 if none does. */
    double arrivalRemainingMs() {
        boolean begun = head != null && outcome() == Outcome.OK;
        return begun ? Math.max(0, MAX_ARRIVAL_GAP_MS - (pool.nowMs() - lastInputMs)) : 0;
    }

    /**
     * Forwards an answer that is arriving when its time ends, and may be a long one, as it has no length. Returns false if it can't be:
     * nothing of its body has come, it is a short one that will be late, or it has to be recorded before.
     */
    boolean forwardArrivingAnswer() {
        if (body == null
                || body.size() == 0
                || HttpUtil.isContentLengthSet(head)
                || attempt.request.sendRecord() != null) {
            return false;
        }
        forwardAnswer(Unpooled.EMPTY_BUFFER);
        return true;
    }

    /** Returns whether the answer that is being forwarded is longer than one that is kept whole. */
    boolean hasLongAnswer() {
        return forwardedBytes > Framing.MAX_BUFFERED_BODY_BYTES
                || head != null && HttpUtil.getContentLength(head, 0L) > Framing.MAX_BUFFERED_BODY_BYTES;
    }

    /** Returns whether more of the answer is read only when the client has taken what was read. */
    boolean isAnswerHeldBack() {
        return !channel.config().isAutoRead();
    }

    /** Ends the answer that is being forwarded, unless its end was just read. */
    void breakOffAnswer() {
        if (rest != null && pendingEnding == null) {
            reportLocalEnd(LocalEndReason.ANSWER_END);
            finish(Ending.of(Outcome.TIMEOUT), false);
        }
    }

    /** Starts to forward an answer that is too long to be kept whole, that there is no memory for, or whose time ends. */
    private void forwardAnswer(ByteBuf part) {
        if (outcome() != Outcome.OK) {
            finish(Ending.of(outcome()), false); // the body of a failure is not used
        } else if (attempt.request.sendRecord() != null) {
            failMalformed("is too long to be recorded");
        } else {
            forwardedBytes = (long) body.size() + part.readableBytes();
            BodyBuffer beginning = body;
            body = null; // it belongs to the pipe from now on
            rest = new BodyPipe(
                    new BodyPipe.Source() {
                        @Override
                        public void setDemand(boolean more) {
                            channel.config().setAutoRead(more);
                        }

                        @Override
                        public void abandoned() {
                            close();
                        }
                    },
                    pool.memory());
            rest.write(Unpooled.wrappedBuffer(beginning.toArray()), beginning.reservation());
            rest.write(part.retain());
            watchStall(attempt);
            attempt.forwardAnswer(Answer.streamed(
                    head.headers().get(HttpHeaderNames.CONTENT_TYPE), rest, HttpUtil.getContentLength(head, -1L)));
        }
    }

    /**
     * Ends a long answer that stalls: no other timeout runs once it is being forwarded, so its client would wait forever.
     */
    private void watchStall(UpstreamAttempt passing) {
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (attempt != passing || rest == null || pendingEnding != null) {
                                return;
                            }
                            if (!channel.config().isAutoRead()) {
                                lastInputMs = pool.nowMs(); // the client is what stalls
                            }
                            if (pool.nowMs() - lastInputMs > pool.stallMs()) {
                                failMalformed("stalls after " + forwardedBytes + " bytes");
                            } else {
                                watchStall(passing);
                            }
                        },
                        (long) (pool.stallMs() / STALL_CHECKS),
                        TimeUnit.MILLISECONDS);
    }

    private void answerCompleted() {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            head = null; // the final response is still to come
            return;
        }
        if (broken) {
            return; // the decoder takes any close for the end of an answer without a length
        }
        Outcome outcome = outcome();
        boolean served = outcome == Outcome.OK;
        pendingEnding = new Ending(
                outcome,
                reports.read(head.headers().getAll(LOAD_REPORT)),
                served ? head.headers().get(HttpHeaderNames.CONTENT_TYPE) : null,
                served && body != null ? body.toArray() : null);
        reusable = written && HttpUtil.isKeepAlive(head);
        if (rest != null) {
            rest.end(true);
            channel.config().setAutoRead(true);
        }
        head = null;
    }

    private void dropBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (ctx.channel() instanceof RetryingSocketChannel socket && !socket.getAndClearHasRead()) {
            ctx.fireChannelReadComplete(); // a read that failed, or found nothing without an event
            return;
        }
        boolean unexpectedInput = !reusable || decoder.hasRemainingInput();
        if (pendingEnding != null) {
            endPhase(Stage.ANSWER_READ);
            finish(pendingEnding, !unexpectedInput);
        } else if (attempt == null && active()) {
            pool.reportUnexpectedInput(this);
            close();
        }
        ctx.fireChannelReadComplete();
    }

    /**
     * Fails the attempt because of an answer that may belong to another request, or be truncated or endless; the request may have
     * run.
     */
    private void failMalformed(String reason) {
        pool.reportMalformedAnswer(node, reason);
        finish(Ending.of(Outcome.RESET), false);
    }

    private Outcome outcome() {
        int status = head.status().code();
        boolean rejected = (status == STATUS_UNAVAILABLE || status == STATUS_GATEWAY_TIMEOUT)
                && "1".equals(head.headers().get(REJECTED));
        if (rejected) {
            return Outcome.REJECTED;
        }
        return status == STATUS_OK ? Outcome.OK : Outcome.ERROR;
    }

    /** Ends the current attempt, and returns the connection to the pool or closes it. */
    private void finish(Ending ending, boolean reuse) {
        UpstreamAttempt ended = attempt;
        attempt = null;
        if (rest != null) {
            rest.end(false); // no effect if it has ended in order
            rest = null;
        }
        if (upload != null) {
            upload.abandon();
            upload = null;
        }
        head = null;
        BodyBuffer answered = body;
        body = null;
        pendingEnding = null;
        answeredMs = pool.nowMs();
        boolean rejected = ending.outcome() == Outcome.REJECTED;
        if (rejected) {
            pool.requestRejected(node);
        }
        // The connection comes first: the end of this attempt may start the next one on it.
        if (reuse && !(rejected && spare)) {
            pool.returnAnswered(this);
        } else {
            close();
        }
        if (ended != null) {
            ended.end(ending);
        }
        if (answered != null) {
            answered.release(); // the client's connection has reserved what it writes
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        // A complete answer counts even where the connection was closed right behind it.
        finish(
                pendingEnding != null ? pendingEnding : Ending.of(written ? Outcome.RESET : Outcome.CONNECT_FAILED),
                false);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        broken = true;
        ctx.close(); // channelInactive ends the attempt
    }
}
