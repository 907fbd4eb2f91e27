package ivybank.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import ivybank.common.Framing;
import ivybank.common.NextSelect;
import ivybank.exchange.BodyPipe;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * Puts requests together and passes them on as {@link Read}: whole ones, and the beginning of those that are too long to be
 * kept, whose rest follows through a pipe. The first thing that can't be read is passed on as the status that it is owed,
 * and nothing behind it is looked at. Guards against requests that hide behind what this sidecar and an upstream would read
 * in two ways, and against bodies without end.
 */
final class RequestReader extends SimpleChannelInboundHandler<HttpObject> {

    /**
     * A whole request; or the beginning of one, with its {@code rest}; or, with a {@code status}, the end of all that can be
     * read; or {@link #LAST}.
     */
    record Read(HttpRequest head, byte[] body, int status, BodyPipe rest) {

        /** The last byte of a long request has come. */
        static final Read LAST = new Read(null, null, 0, null);
    }

    private final RequestDecoder decoder;
    private BodyPipe.Source source;
    private HttpRequest head;
    private ByteArrayOutputStream body;
    private BodyPipe rest;
    private long bodyBytes;
    private boolean unreadable;
    /** The body whose last byte has come, until the end of the next pass over the sockets. */
    private BodyPipe ending;

    private ByteBuf lastPart;

    RequestReader(RequestDecoder decoder) {
        this.decoder = decoder;
    }

    /** Who is told how the rest of a long request is taken. */
    void source(BodyPipe.Source of) {
        source = of;
    }

    /** Whether a request has begun that is not whole yet. */
    boolean midRequest() {
        return !unreadable && (head != null || decoder.holdsPart());
    }

    /** From now on nothing that comes is looked at. */
    void stop() {
        unreadable = true;
        decoder.discard();
    }

    /** What has come of the body of the request that has begun. */
    long bodyBytes() {
        return bodyBytes;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
        endRest(ctx);
        if (unreadable) {
            return;
        }
        int status = take(ctx, message);
        if (status > 0) {
            stop();
            BodyPipe broken = rest;
            reset();
            ctx.fireChannelRead(new Read(null, null, status, null));
            if (broken != null) {
                broken.end(false);
            }
        } else if (message instanceof LastHttpContent) {
            BodyPipe ended = rest;
            Read whole = ended != null ? null : new Read(head, body.toByteArray(), 0, null);
            reset();
            if (ended != null) {
                ending = ended;
                NextSelect.runAfter(ctx.executor(), () -> endRest(ctx));
            } else {
                ctx.fireChannelRead(whole);
            }
        }
    }

    /**
     * Guards nodes against a long request whose client has left while nobody took its body: its end and the client's stand in the
     * socket one behind the other, and the last byte goes on only when there is no end behind it.
     */
    private void endRest(ChannelHandlerContext ctx) {
        if (ending != null) {
            BodyPipe ended = ending;
            ending = null;
            ByteBuf last = lastPart;
            lastPart = null;
            ended.write(last);
            ended.end(true);
            ctx.fireChannelRead(Read.LAST);
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        if (lastPart != null) {
            lastPart.release();
            lastPart = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        ending = null; // the client has left: it stays as it is, not whole
        ctx.fireChannelInactive();
    }

    private void reset() {
        head = null;
        body = null;
        rest = null;
        bodyBytes = 0;
    }

    /** Takes a part of a request; returns the status that it is owed if it can't be used, else 0. */
    private int take(ChannelHandlerContext ctx, HttpObject message) throws IOException {
        if (message.decoderResult().isFailure()) {
            return HttpStatus.BAD_REQUEST;
        }
        if (message instanceof HttpRequest next) {
            int status = begin(ctx, next);
            if (status > 0) {
                return status;
            }
        }
        if (message instanceof HttpContent content) {
            ByteBuf part = content.content();
            bodyBytes += part.readableBytes();
            if (bodyBytes > Framing.MAX_BODY_BYTES) {
                return HttpStatus.TOO_LARGE;
            }
            if (rest == null && bodyBytes > Framing.MAX_BUFFERED_BODY_BYTES) {
                rest = new BodyPipe(source);
                ctx.fireChannelRead(new Read(head, body.toByteArray(), 0, rest));
                body = null;
            }
            if (rest != null && message instanceof LastHttpContent) {
                lastPart = part.retain(); // with it the node would have all
            } else if (rest != null) {
                rest.write(part.retain());
            } else {
                part.readBytes(body, part.readableBytes());
            }
        }
        return 0;
    }

    private int begin(ChannelHandlerContext ctx, HttpRequest next) {
        head = next;
        body = new ByteArrayOutputStream(0);
        if (!Framing.isUnambiguous(next)) {
            return HttpStatus.BAD_REQUEST;
        }
        if (Framing.isTooLong(next)) {
            return HttpStatus.TOO_LARGE;
        }
        if (HttpUtil.is100ContinueExpected(next)) {
            // A client that waits for leave to send its body is given it at once.
            ctx.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        } else if (next.headers().contains(HttpHeaderNames.EXPECT)) {
            return HttpStatus.EXPECTATION_FAILED;
        }
        return 0;
    }
}
