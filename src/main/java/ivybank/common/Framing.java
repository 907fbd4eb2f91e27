package ivybank.common;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** Checks of how a message's head delimits its body, beyond those of Netty's decoders. */
public final class Framing {

    /** The size up to which a body is buffered whole, so that it can be sent again; a longer one is streamed. */
    public static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;
    /** The maximum size of a body. */
    public static final long MAX_BODY_BYTES = 32L << 20;

    private Framing() {}

    /** Returns whether the end of the body is defined in a single way that all recipients interpret alike. */
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
