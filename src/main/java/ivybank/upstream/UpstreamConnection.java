package ivybank.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import ivybank.common.Framing;
import ivybank.discovery.Node;
import ivybank.exchange.Answer;
import ivybank.exchange.BodyPipe;
import ivybank.exchange.ClientRequest;
import ivybank.policy.Balancer.Outcome;
import ivybank.tally.Stage;
import ivybank.transport.RetryingSocketChannel;
import ivybank.upstream.UpstreamAttempt.Ending;
import ivybank.upstream.UpstreamSocketChannel.UnreadInput;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * One connection to an upstream, with one request at a time on it. It alone sees which bytes have left and what came
 * back, and so tells what became of an attempt. An answer counts when the read that brought it has ended, so that what
 * comes right behind it is seen before the connection is used again: such a surplus once was the next request's answer.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {

    private static final long LONGEST_STALL_MS = 5000;
    private static final double STALL_LOOKS = 5; // in the time that it may stand still
    private static final int MOST_INTERIM_ANSWERS = 16;
    private static final int SERVED = 200;
    private static final int UNAVAILABLE = 503;
    private static final int TOO_LATE = 504;
    private static final String REJECTED = "X-Rejected";
    private static final String LOAD_REPORT = "X-Load-Report";
    private static final String CALL_ID = "X-Call-Id";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String BUDGET = "X-Budget-Ms";
    private static final String SERVICE = "api.internal";

    final Node node;
    /** Where it leads; its node may have moved since. */
    final SocketAddress address;
    /** Whether it was opened to spare an attempt a wait. */
    final boolean spare;
    /** When it was last handed back, by the module's clock. */
    double idleSinceMs;
    /** When its last answer came, by the module's clock. */
    double answeredMs = Double.NEGATIVE_INFINITY;

    private final AnswerDecoder decoder;
    private final UpstreamPool pool;
    private final LoadReport reports;
    private Channel channel;
    private UpstreamAttempt attempt;
    private boolean written;
    private HttpResponse head;
    private ByteArrayOutputStream body;
    /** The rest of a long answer that is being passed on, else null; and how much of it has come. */
    private BodyPipe rest;

    private long passed;
    /** When its last part came, by the module's clock. */
    private double partMs;
    /** The rest of a long request that is being passed on, else null. */
    private BodyPipe upload;

    private ScheduledFuture<?> stalled;
    /** Whether it has ended otherwise than in order. */
    private boolean broken;

    private int interimAnswers;
    /** When the request was written, or the head of its answer came, by the module's clock. */
    private double phaseSinceMs;
    /** What the answer that has come whole makes of the attempt, until the read has ended; else null. */
    private Ending whole;

    private boolean reusable;

    UpstreamConnection(Node node, boolean spare, AnswerDecoder decoder, UpstreamPool pool, LoadReport reports) {
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

    /** Whether the last byte of the request at hand has left. */
    boolean written() {
        return written;
    }

    /** Whether its channel was made and is up. */
    boolean active() {
        return channel != null && channel.isActive();
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /** What stands unread; the connection has to be closed unless there is nothing. */
    UnreadInput unreadInput() {
        return channel instanceof UpstreamSocketChannel socket ? socket.unreadInput() : UnreadInput.NONE;
    }

    /** Connects, reads and writes once without being told to, where something is waited for: the selector may be told nothing. */
    void verify() {
        boolean waits = attempt != null || channel != null && !channel.isActive();
        if (waits && channel instanceof UpstreamSocketChannel socket) {
            socket.pollAndRearm();
        }
    }

    /** Sends an attempt, unless the guard denies it: then it ends as not sent, and the connection is free. */
    void send(UpstreamAttempt next) {
        long toldMs = Math.max(1, (long) next.toldMs());
        if (!next.mayBeWritten((double) toldMs).isAllowed()) {
            pool.unused(this);
            next.end(Ending.of(Outcome.NOT_SENT));
            return;
        }
        write(next, toldMs);
    }

    private void write(UpstreamAttempt next, long toldMs) {
        attempt = next;
        written = false;
        head = null;
        interimAnswers = 0;
        phaseSinceMs = pool.nowMs();
        next.writing(this, phaseSinceMs);
        ClientRequest request = next.request;
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set(HttpHeaderNames.HOST, SERVICE);
        headers.set(CALL_ID, request.callId());
        headers.set(BUDGET, toldMs);
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
        if (request.remainingBody() != null) {
            channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(), headers));
            writePart(Unpooled.wrappedBuffer(request.body()));
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
        channel.writeAndFlush(message).addListener(write -> written(next, write.isSuccess()));
    }

    /**
     * Guards clients against a part of an answer: a reset that a write finds first closes the channel as an end in order would,
     * and an answer without a length seemed whole.
     */
    private void writePart(ByteBuf part) {
        channel.writeAndFlush(new DefaultHttpContent(part)).addListener(write -> broken |= !write.isSuccess());
    }

    private void written(UpstreamAttempt sent, boolean whole) {
        if (attempt == sent) {
            written = whole;
            if (!whole) {
                finish(Ending.of(Outcome.CONNECT_FAILED), false);
            } else if (sent.request.remainingBody() != null) {
                sent.startTimer(channel.eventLoop());
            }
        }
    }

    /** The rest of a long request, as it comes. One that breaks off goes no further, and so has not run. */
    private final class Upload implements BodyPipe.Sink {
        private final UpstreamAttempt sent;

        Upload(UpstreamAttempt sent) {
            this.sent = sent;
        }

        @Override
        public void write(ByteBuf part) {
            if (attempt != sent) {
                part.release();
                return;
            }
            writePart(part);
            writable(channel.isWritable());
        }

        @Override
        public void ended(boolean whole) {
            if (attempt != sent) {
                return;
            }
            if (whole) {
                upload = null;
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                        .addListener(write -> written(sent, write.isSuccess()));
            } else {
                finish(Ending.of(Outcome.CONNECT_FAILED), false);
            }
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (upload != null) {
            writable(ctx.channel().isWritable());
        }
    }

    /** Guards a request's client against a node that reads no further: such an attempt has not run, and ends. */
    private void writable(boolean more) {
        upload.setDemand(more);
        if (stalled != null) {
            stalled.cancel(false);
        }
        UpstreamAttempt sent = attempt;
        stalled = more
                ? null
                : channel.eventLoop()
                        .schedule(
                                () -> {
                                    if (attempt == sent && upload != null) {
                                        finish(Ending.of(Outcome.CONNECT_FAILED), false);
                                    }
                                },
                                LONGEST_STALL_MS,
                                TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (whole != null || attempt == null) {
            reusable = false; // more than was asked for
        } else if (message.decoderResult().isFailure()) {
            spoilt("can't be read");
        } else if (message instanceof HttpResponse response) {
            begin(response);
        }
        if (message instanceof HttpContent content && head != null) {
            add(content.content());
            if (message instanceof LastHttpContent && head != null) {
                answered();
            }
        }
    }

    /** Takes the head of an answer, unless it alone tells that no answer worth reading follows. */
    private void begin(HttpResponse response) {
        boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        // Without a length its end is that of the connection, which must have been announced: else it can't be told
        // from
        // a break, and a part of an answer must not be served.
        boolean bounded = HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response)
                || !HttpUtil.isKeepAlive(response);
        if (!written && response.status().code() == SERVED) {
            pool.spoilt(node, "came before its request had left");
            finish(Ending.of(Outcome.CONNECT_FAILED), false); // a node begins with the last byte, so it has not run
        } else if (!Framing.isUnambiguous(response) || !interim && !bounded) {
            spoilt("doesn't tell where it ends");
        } else if (Framing.isTooLong(response)) {
            spoilt("is too long");
        } else if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
                || interim && ++interimAnswers > MOST_INTERIM_ANSWERS) {
            spoilt("only announces others");
        } else {
            head = response;
            body = new ByteArrayOutputStream();
            if (!interim) {
                pool.answering(node, pool.nowMs() - phaseSinceMs);
                endPhase(Stage.FIRST_BYTE);
            }
        }
    }

    /** Counts the time since the request was written, or since the stage before. */
    private void endPhase(Stage stage) {
        double nowMs = pool.nowMs();
        pool.took(stage, nowMs - phaseSinceMs);
        phaseSinceMs = nowMs;
    }

    private void add(ByteBuf part) {
        if (rest != null) {
            passed += part.readableBytes();
            partMs = pool.nowMs();
            if (passed > Framing.MAX_BODY_BYTES) {
                spoilt("is too long");
            } else {
                rest.write(part.retain());
            }
            return;
        }
        if (body.size() + part.readableBytes() > Framing.MAX_BUFFERED_BODY_BYTES) {
            passOn(part);
            return;
        }
        try {
            part.readBytes(body, part.readableBytes());
        } catch (IOException e) {
            throw new IllegalStateException("memory takes all bytes", e);
        }
    }

    /** Begins to pass on an answer that is too long to be kept. */
    private void passOn(ByteBuf part) {
        if (outcome() != Outcome.OK) {
            finish(Ending.of(outcome()), false); // what it says is of no interest
        } else if (attempt.request.sendRecord() != null) {
            spoilt("is too long to be put on record");
        } else {
            passed = (long) body.size() + part.readableBytes();
            rest = new BodyPipe(new BodyPipe.Source() {
                @Override
                public void setDemand(boolean more) {
                    channel.config().setAutoRead(more);
                }

                @Override
                public void abandoned() {
                    close();
                }
            });
            rest.write(part.retain());
            partMs = pool.nowMs();
            watchStall(attempt);
            attempt.begin(Answer.streamed(
                    head.headers().get(HttpHeaderNames.CONTENT_TYPE),
                    body.toByteArray(),
                    rest,
                    HttpUtil.getContentLength(head, -1L)));
        }
    }

    /** Guards clients against a node that begins a long answer and never ends it: no other time runs any more. */
    private void watchStall(UpstreamAttempt passing) {
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (attempt != passing || rest == null || whole != null) {
                                return;
                            }
                            if (!channel.config().isAutoRead()) {
                                partMs = pool.nowMs(); // it is the client that takes no more
                            }
                            if (pool.nowMs() - partMs > pool.stallMs()) {
                                spoilt("stands still after " + passed + " bytes");
                            } else {
                                watchStall(passing);
                            }
                        },
                        (long) (pool.stallMs() / STALL_LOOKS),
                        TimeUnit.MILLISECONDS);
    }

    private void answered() {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            head = null; // the answer itself is still to come
            return;
        }
        if (broken) {
            return; // the decoder takes any end for that of an answer without a length
        }
        Outcome outcome = outcome();
        boolean served = outcome == Outcome.OK;
        whole = new Ending(
                outcome,
                reports.read(head.headers().getAll(LOAD_REPORT)),
                served ? head.headers().get(HttpHeaderNames.CONTENT_TYPE) : null,
                served ? body.toByteArray() : null);
        reusable = written && HttpUtil.isKeepAlive(head);
        if (rest != null) {
            rest.end(true);
            channel.config().setAutoRead(true);
        }
        head = null;
        body = null;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (ctx.channel() instanceof RetryingSocketChannel socket && !socket.getAndClearHasRead()) {
            ctx.fireChannelReadComplete(); // a read that failed, or found nothing where the selector was not asked
            return;
        }
        boolean surplus = !reusable || decoder.holdsMore();
        if (whole != null) {
            endPhase(Stage.ANSWER_READ);
            finish(whole, !surplus);
        } else if (attempt == null && active()) {
            pool.surplus(this);
            close();
        }
        ctx.fireChannelReadComplete();
    }

    /** Guards clients against an answer that may be another one's, cut or endless: it has failed and may have run. */
    private void spoilt(String how) {
        pool.spoilt(node, how);
        finish(Ending.of(Outcome.RESET), false);
    }

    private Outcome outcome() {
        int status = head.status().code();
        boolean turnedAway = (status == UNAVAILABLE || status == TOO_LATE)
                && "1".equals(head.headers().get(REJECTED));
        if (turnedAway) {
            return Outcome.REJECTED;
        }
        return status == SERVED ? Outcome.OK : Outcome.ERROR;
    }

    /** Ends the attempt at hand and hands the connection back, or closes it. */
    private void finish(Ending ending, boolean useAgain) {
        UpstreamAttempt ended = attempt;
        attempt = null;
        if (rest != null) {
            rest.end(false); // unless it has ended whole
            rest = null;
        }
        if (upload != null) {
            upload.abandon();
            upload = null;
        }
        head = null;
        body = null;
        whole = null;
        answeredMs = pool.nowMs();
        boolean turnedAway = ending.outcome() == Outcome.REJECTED;
        if (turnedAway) {
            pool.turnedAway(node);
        }
        // First the connection: the end of this attempt may bring the next one for it.
        if (useAgain && !(turnedAway && spare)) {
            pool.handBack(this);
        } else {
            close();
        }
        if (ended != null) {
            ended.end(ending);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        // An answer that came whole counts, also where the connection ended right behind it.
        finish(whole != null ? whole : Ending.of(written ? Outcome.RESET : Outcome.CONNECT_FAILED), false);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        broken = true;
        ctx.close(); // what it means for the attempt is told when the channel is inactive
    }
}
