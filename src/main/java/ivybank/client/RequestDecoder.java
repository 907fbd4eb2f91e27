package ivybank.client;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;

/** Netty's decoder of requests, made strict, and telling whether a request has begun that is not whole yet. */
final class RequestDecoder extends HttpRequestDecoder {

    private boolean discarding;

    /** From now on what comes is read, so that an end behind it is seen, but not looked at: that takes too long. */
    void discard() {
        discarding = true;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        if (discarding) {
            ReferenceCountUtil.release(bytes);
        } else {
            super.channelRead(ctx, bytes);
        }
    }

    /** Whether bytes have come that are no request yet. */
    boolean holdsPart() {
        return actualReadableBytes() > 0;
    }

    /** Guards against a request that hides in the body of another one: Netty would drop the length and go on. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a length and a transfer coding");
    }
}
