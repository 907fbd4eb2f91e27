package ivybank.upstream;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import ivybank.common.KeptHeaders;
import java.util.List;

/** A strict version of Netty's response decoder, which also reports input beyond the responses that it has decoded. */
final class ResponseDecoder extends HttpResponseDecoder {

    /** @param headers creates the header fields of responses; those of trailers are dropped */
    ResponseDecoder(HttpHeadersFactory headers) {
        super(new HttpDecoderConfig().setHeadersFactory(headers).setTrailersFactory(KeptHeaders.factory(List.of())));
    }

    /** Returns whether undecoded bytes follow the last response. */
    boolean hasRemainingInput() {
        return actualReadableBytes() > 0;
    }

    /** Rejects a response whose end is ambiguous: Netty would drop the length and continue. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("response has both Content-Length and Transfer-Encoding");
    }

    /** Rejects a header line without a colon, which Netty would accept as a field without a value. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') { // Netty has found a colon or a space here
            throw new IllegalArgumentException("a header name is not followed by a colon");
        }
        return super.splitHeaderName(line, start, length);
    }
}
