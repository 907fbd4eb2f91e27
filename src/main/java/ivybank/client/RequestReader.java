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
import ivybank.common.KeptHeaders;
import ivybank.common.NextSelect;
import ivybank.exchange.BodyBuffer;
import ivybank.exchange.BodyPipe;
import ivybank.memory.MessageMemory;
import ivybank.memory.Reservation;

/**
 * Assembles requests and passes them on as {@link RequestEvent}s: complete ones, and the beginning of those too long to be
 * buffered, whose remaining body follows through a pipe. The first malformed input is passed on as the status that answers
 * it, and nothing behind it is parsed. This prevents request smuggling, where this sidecar and a node would interpret a
 * message differently, and bounds bodies.
 */
final class RequestReader extends SimpleChannelInboundHandler<HttpObject> {

    /**
     * A complete request; the beginning of a long one, with its {@code remainingBody}; the end of all valid input, with a
     * {@code status}; {@link #BODY_ENDING} or {@link #BODY_COMPLETE}.
     */
    record RequestEvent(HttpRequest head, byte[] body, Reservation memory, int status, BodyPipe remainingBody) {

        private static final byte[] NO_BODY = {};

        /** The last byte of a long request has been read, and is about to be passed on. */
        static final RequestEvent BODY_ENDING = invalid(0);

        /** The last byte of a long request has been read and passed on. */
        static final RequestEvent BODY_COMPLETE = invalid(0);

        static RequestEvent invalid(int status) {
            return new RequestEvent(null, NO_BODY, Reservation.NONE, status, null);
        }

        static RequestEvent whole(HttpRequest head, BodyBuffer body) {
            return new RequestEvent(head, body.toArray(), body.reservation(), 0, null);
        }

        static RequestEvent streamed(HttpRequest head, Reservation memory, BodyPipe body) {
            return new RequestEvent(head, NO_BODY, memory, 0, body);
        }

        /** Drops the body of a request that is not processed. */
        void release() {
            memory.release();
            if (remainingBody != null) {
                remainingBody.abandon();
            }
        }
    }

    /** What a request takes beside the texts of its head and its body, in bytes of heap. */
    private static final int HEAD_OVERHEAD_BYTES = 1024;

    private final RequestDecoder decoder;
    private final MessageMemory memory;
    private BodyPipe.Source source;
    private HttpRequest head;
    private BodyBuffer body;
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
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        completeBody(ctx);
        if (unreadable) {
            return;
        }
        int status = accept(ctx, message);
        if (status > 0) {
            stop();
            BodyPipe abortedBody = remainingBody;
            reset();
            ctx.fireChannelRead(RequestEvent.invalid(status));
            if (abortedBody != null) {
                abortedBody.end(false);
            }
        } else if (message instanceof LastHttpContent) {
            endRequest(ctx);
        }
    }

    private void endRequest(ChannelHandlerContext ctx) {
        if (remainingBody != null) {
            completedBody = remainingBody;
            reset();
            NextSelect.runAfter(ctx.executor(), () -> completeBody(ctx));
        } else {
            RequestEvent complete = RequestEvent.whole(head, body);
            body = null; // it belongs to the request from now on
            reset();
            ctx.fireChannelRead(complete);
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
            ctx.fireChannelRead(RequestEvent.BODY_ENDING);
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
        dropBody();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        completedBody = null; // the client has disconnected: the body stays incomplete
        ctx.fireChannelInactive();
    }

    private void dropBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    private void reset() {
        head = null;
        dropBody();
        remainingBody = null;
        bodyBytes = 0;
    }

    /** Accepts a part of a request, and returns the status to answer if it is invalid, else 0. */
    private int accept(ChannelHandlerContext ctx, HttpObject message) {
        if (message.decoderResult().isFailure()) {
            return HttpStatus.BAD_REQUEST;
        }
        if (message instanceof HttpRequest request) {
            int status = acceptHead(ctx, request);
            if (status > 0) {
                return status;
            }
        }
        return message instanceof HttpContent content ? acceptContent(ctx, content) : 0;
    }

    private int acceptContent(ChannelHandlerContext ctx, HttpContent content) {
        ByteBuf part = content.content();
        bodyBytes += part.readableBytes();
        if (bodyBytes > Framing.MAX_BODY_BYTES) {
            return HttpStatus.CONTENT_TOO_LARGE;
        }
        if (remainingBody == null && bodyBytes > Framing.MAX_BUFFERED_BODY_BYTES) {
            streamBody(ctx);
        }
        if (remainingBody == null) {
            return body.tryAppend(part) ? 0 : HttpStatus.SERVICE_UNAVAILABLE;
        }
        if (content instanceof LastHttpContent) {
            finalChunk = part.retain(); // sending it would complete the request at the node
        } else {
            remainingBody.write(part.retain());
        }
        return 0;
    }

    /** Passes on the request, whose body is too long to be kept whole. */
    private void streamBody(ChannelHandlerContext ctx) {
        remainingBody = new BodyPipe(source, memory);
        Reservation headMemory = body.takeHead();
        remainingBody.write(Unpooled.wrappedBuffer(body.toArray()), body.reservation());
        body = null; // it belongs to the pipe from now on
        ctx.fireChannelRead(RequestEvent.streamed(head, headMemory, remainingBody));
    }

    private int acceptHead(ChannelHandlerContext ctx, HttpRequest request) {
        head = request;
        if (!Framing.isUnambiguous(request)) {
            return HttpStatus.BAD_REQUEST;
        }
        if (Framing.isTooLong(request)) {
            return HttpStatus.CONTENT_TOO_LARGE;
        }
        int headBytes = HEAD_OVERHEAD_BYTES + request.uri().length() + KeptHeaders.heapBytes(request.headers());
        body = new BodyBuffer(memory, HttpUtil.getContentLength(request, -1L), headBytes);
        if (!body.tryReserveHead()) {
            return HttpStatus.SERVICE_UNAVAILABLE;
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
