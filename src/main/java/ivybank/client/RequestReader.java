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
import ivybank.memory.MessageMemory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * Assembles requests and passes them on as {@link RequestEvent}s: complete ones, and the beginning of those too long to be
 * buffered, whose remaining body follows through a pipe. The first malformed input is passed on as the status that answers
 * it, and nothing behind it is parsed. This prevents request smuggling, where this sidecar and a node would interpret a
 * message differently, and bounds bodies.
 */
final class RequestReader extends SimpleChannelInboundHandler<HttpObject> {

    /**
     * A complete request; the beginning of a long one, with its {@code remainingBody}; the end of all valid input, with a
     * {@code status}; or {@link #BODY_COMPLETE}.
     */
    record RequestEvent(HttpRequest head, byte[] body, int status, BodyPipe remainingBody) {

        /** The last byte of a long request has been read. */
        static final RequestEvent BODY_COMPLETE = new RequestEvent(null, null, 0, null);
    }

    private final RequestDecoder decoder;
    private final MessageMemory memory;
    private BodyPipe.Source source;
    private HttpRequest head;
    private ByteArrayOutputStream body;
    private BodyPipe remainingBody;
    private long bodyBytes;
    private boolean unreadable;
    /** The body whose last byte has been read, until the end of the next pass over the sockets. */
    private BodyPipe completedBody;

    private ByteBuf finalChunk;

    /** @param memory where bodies are reserved */
    RequestReader(RequestDecoder decoder, MessageMemory memory) {
        this.decoder = decoder;
        this.memory = memory;
    }

    /** Sets the source that is notified of the demand for the rest of a long request. */
    void setSource(BodyPipe.Source bodySource) {
        source = bodySource;
    }

    /** Returns whether a partial request has been received. */
    boolean isMidRequest() {
        return !unreadable && (head != null || decoder.hasPartialInput());
    }

    /** Returns whether the last byte of a long request has been read that has not been passed on yet. */
    boolean hasCompleteBody() {
        return completedBody != null;
    }

    /** Stops parsing input. */
    void stop() {
        unreadable = true;
        decoder.discard();
    }

    /** Returns the number of body bytes received of the current request. */
    long bodyBytes() {
        return bodyBytes;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
        completeBody(ctx);
        if (unreadable) {
            return;
        }
        int status = accept(ctx, message);
        if (status > 0) {
            stop();
            BodyPipe abortedBody = remainingBody;
            reset();
            ctx.fireChannelRead(new RequestEvent(null, null, status, null));
            if (abortedBody != null) {
                abortedBody.end(false);
            }
        } else if (message instanceof LastHttpContent) {
            BodyPipe endedBody = remainingBody;
            RequestEvent complete = endedBody != null ? null : new RequestEvent(head, body.toByteArray(), 0, null);
            reset();
            if (endedBody != null) {
                completedBody = endedBody;
                NextSelect.runAfter(ctx.executor(), () -> completeBody(ctx));
            } else {
                ctx.fireChannelRead(complete);
            }
        }
    }

    /**
     * Passes on the last part of a long request's body, one pass over the sockets after it was read. Where nobody consumed
     * the body for a while, the client's end of stream may follow it in the socket; the last byte is sent to a node only if
     * it does not.
     */
    private void completeBody(ChannelHandlerContext ctx) {
        if (completedBody != null) {
            BodyPipe endedBody = completedBody;
            completedBody = null;
            ByteBuf lastPart = finalChunk;
            finalChunk = null;
            endedBody.write(lastPart);
            endedBody.end(true);
            ctx.fireChannelRead(RequestEvent.BODY_COMPLETE);
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        if (finalChunk != null) {
            finalChunk.release();
            finalChunk = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        completedBody = null; // the client has disconnected: the body stays incomplete
        ctx.fireChannelInactive();
    }

    private void reset() {
        head = null;
        body = null;
        remainingBody = null;
        bodyBytes = 0;
    }

    /** Accepts a part of a request, and returns the status to answer if it is invalid, else 0. */
    private int accept(ChannelHandlerContext ctx, HttpObject message) throws IOException {
        if (message.decoderResult().isFailure()) {
            return HttpStatus.BAD_REQUEST;
        }
        if (message instanceof HttpRequest request) {
            int status = acceptHead(ctx, request);
            if (status > 0) {
                return status;
            }
        }
        if (message instanceof HttpContent content) {
            ByteBuf part = content.content();
            bodyBytes += part.readableBytes();
            if (bodyBytes > Framing.MAX_BODY_BYTES) {
                return HttpStatus.CONTENT_TOO_LARGE;
            }
            if (remainingBody == null && bodyBytes > Framing.MAX_BUFFERED_BODY_BYTES) {
                remainingBody = new BodyPipe(source, memory);
                ctx.fireChannelRead(new RequestEvent(head, body.toByteArray(), 0, remainingBody));
                body = null;
            }
            if (remainingBody != null && message instanceof LastHttpContent) {
                finalChunk = part.retain(); // sending it would complete the request at the node
            } else if (remainingBody != null) {
                remainingBody.write(part.retain());
            } else {
                part.readBytes(body, part.readableBytes());
            }
        }
        return 0;
    }

    private int acceptHead(ChannelHandlerContext ctx, HttpRequest request) {
        head = request;
        body = new ByteArrayOutputStream(0);
        if (!Framing.isUnambiguous(request)) {
            return HttpStatus.BAD_REQUEST;
        }
        if (Framing.isTooLong(request)) {
            return HttpStatus.CONTENT_TOO_LARGE;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            // A client that waits for 100 Continue gets it at once.
            ctx.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        } else if (request.headers().contains(HttpHeaderNames.EXPECT)) {
            return HttpStatus.EXPECTATION_FAILED;
        }
        return 0;
    }
}
