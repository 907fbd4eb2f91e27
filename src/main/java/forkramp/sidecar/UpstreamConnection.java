package forkramp.sidecar;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

import forkramp.Balancer.Outcome;
import forkramp.sidecar.UpstreamAttempt.Ending;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One connection to an upstream, with one request at a time on it. It alone sees which bytes have left and what came
 * back, and so tells what became of an attempt.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {

    private static final int MAX_BODY = 64 * 1024;
    private static final int SERVED = 200;
    private static final int UNAVAILABLE = 503;
    private static final int TOO_LATE = 504;
    private static final String REJECTED = "X-Rejected";
    private static final String LOAD_REPORT = "X-Load-Report";
    private static final String BUDGET = "X-Budget-Ms";
    private static final String SERVICE = "api.internal";

    final Node node;
    /** When it was last handed back, by the module's clock. */
    double idleSinceMs;
    private final UpstreamPool pool;
    private final LoadReport reports;
    private Channel channel;
    private UpstreamAttempt attempt;
    private boolean written;
    private HttpResponse head;
    private ByteArrayOutputStream body;

    UpstreamConnection(Node node, UpstreamPool pool, LoadReport reports) {
        this.node = node;
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

    boolean active() {
        return channel.isActive();
    }

    void close() {
        channel.close();
    }

    void send(UpstreamAttempt next) {
        attempt = next;
        written = false;
        head = null;
        next.connection(this);
        ClientRequest request = next.request;
        HttpHeaders headers = request.headers().copy();
        headers.set(HttpHeaderNames.HOST, SERVICE);
        headers.set(BUDGET, Math.max(1, (long) next.timeoutMs));
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(),
                request.uri(), Unpooled.wrappedBuffer(request.body()), headers, EmptyHttpHeaders.INSTANCE);
        channel.writeAndFlush(message).addListener(write -> {
            if (attempt == next) {
                written = write.isSuccess();
                if (!written) {
                    finish(Ending.of(Outcome.CONNECT_FAILED), false);
                }
            }
        });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (attempt == null || message.decoderResult().isFailure()) {
            finish(Ending.of(Outcome.RESET), false); // bytes that nobody asked for, or that are no HTTP
            return;
        }
        if (message instanceof HttpResponse response) {
            head = response;
            body = new ByteArrayOutputStream();
        }
        if (message instanceof HttpContent content && head != null) {
            try {
                content.content().readBytes(body, content.content().readableBytes());
            } catch (IOException e) {
                throw new IllegalStateException("memory takes all bytes", e);
            }
            if (body.size() > MAX_BODY) {
                finish(Ending.of(Outcome.RESET), false);
            } else if (message instanceof LastHttpContent) {
                answered();
            }
        }
    }

    private void answered() {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            head = null; // the answer itself is still to come
            return;
        }
        // Without a length its end can't be told from a break, and a part of an answer must not be served.
        boolean whole = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
        if (!whole) {
            finish(Ending.of(Outcome.RESET), false);
            return;
        }
        Outcome outcome = outcome();
        boolean served = outcome == Outcome.OK;
        finish(new Ending(outcome, reports.read(head.headers().get(LOAD_REPORT)),
                served ? head.headers().get(HttpHeaderNames.CONTENT_TYPE) : null,
                served ? body.toByteArray() : null), written && HttpUtil.isKeepAlive(head));
    }

    private Outcome outcome() {
        int status = head.status().code();
        boolean turnedAway = (status == UNAVAILABLE || status == TOO_LATE) && "1".equals(head.headers().get(REJECTED));
        if (turnedAway) {
            return Outcome.REJECTED;
        }
        return status == SERVED ? Outcome.OK : Outcome.ERROR;
    }

    /** Ends the attempt at hand and hands the connection back, or closes it. */
    private void finish(Ending ending, boolean reusable) {
        UpstreamAttempt ended = attempt;
        attempt = null;
        head = null;
        body = null;
        // First the connection: the end of this attempt may bring the next one for it.
        if (reusable) {
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
        finish(Ending.of(written ? Outcome.RESET : Outcome.CONNECT_FAILED), false);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close(); // what it means for the attempt is told when the channel is inactive
    }
}
