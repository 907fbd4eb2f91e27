package ivybank.common;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** What a message's head says of its body, beyond what Netty's decoders check. */
public final class Framing {

    /** What is handled whole, and can be sent again; a longer body is passed on in pieces. */
    public static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;
    /** The most that a body may hold. */
    public static final long MAX_BODY_BYTES = 32L << 20;

    private Framing() {}

    /** Whether the end of the body is told in one way that all readers take alike. */
    public static boolean isUnambiguous(HttpMessage head) {
        List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (lengths.size() > 1 || !lengths.stream().allMatch(Framing::isNumber)) {
            return false;
        }
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean plain = codings.isEmpty();
        boolean chunked = codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
        HttpVersion version = head.protocolVersion();
        return version.equals(HttpVersion.HTTP_1_1) && (plain || chunked)
                || version.equals(HttpVersion.HTTP_1_0) && plain;
    }

    private static boolean isNumber(String text) {
        return !text.isEmpty() && text.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    public static boolean isTooLong(HttpMessage head) {
        return HttpUtil.getContentLength(head, 0L) > MAX_BODY_BYTES;
    }
}
