package ivybank.client;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;
import ivybank.common.KeptHeaders;
import java.util.List;
import java.util.function.DoubleConsumer;

/** A strict version of Netty's request decoder, which also reports whether a partial request has been received. */
final class RequestDecoder extends HttpRequestDecoder {

    private static final double NANOS_IN_MS = 1e6;

    private boolean discarding;
    private DoubleConsumer workListener = workedMs -> {};

    /** @param headers creates the header fields of requests; those of trailers are dropped */
    RequestDecoder(HttpHeadersFactory headers) {
        super(new HttpDecoderConfig().setHeadersFactory(headers).setTrailersFactory(KeptHeaders.factory(List.of())));
    }

    /**
     * Discards all further input. It is still read, so that an end of stream behind it is noticed, but not parsed, which
     * would take too long.
     */
    void discard() {
        discarding = true;
    }

    /** Has this receiver notified of each part of the input that was processed, with the milliseconds that it took. */
    void setWorkListener(DoubleConsumer listener) {
        workListener = listener;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        long startNanos = System.nanoTime();
        if (discarding) {
            ReferenceCountUtil.release(bytes);
        } else {
            super.channelRead(ctx, bytes);
        }
        workListener.accept((System.nanoTime() - startNanos) / NANOS_IN_MS);
    }

    /** Returns whether bytes have been received that do not form a request yet. */
    boolean hasPartialInput() {
        return actualReadableBytes() > 0;
    }

    /**
     * Rejects a request with both Content-Length and Transfer-Encoding, which may hide another request in its body. Netty
     * would drop the length and continue.
     */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
    }
}
