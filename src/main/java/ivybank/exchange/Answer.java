package ivybank.exchange;

import java.nio.charset.StandardCharsets;

/**
 * A final answer to the client; {@code retryAfterMs} 0 gives no advice. Of a long one {@code body} is the beginning and
 * {@code rest} what is still to come, else null; {@code length} is that of all, or -1 where only its end will tell.
 */
public record Answer(
        int status, String contentType, byte[] body, double retryAfterMs, BodyPipe remainingBody, long contentLength) {

    private static final byte[] NO_BODY = {};

    public Answer(int status, String contentType, byte[] body, double retryAfterMs) {
        this(status, contentType, body, retryAfterMs, null, body.length);
    }

    public static Answer served(String contentType, byte[] body) {
        return new Answer(200, contentType, body, 0);
    }

    /** One whose end is still to come. */
    public static Answer streamed(String contentType, byte[] body, BodyPipe rest, long length) {
        return new Answer(200, contentType, body, 0, rest, length);
    }

    public static Answer refused(double retryAfterMs) {
        return new Answer(503, null, NO_BODY, retryAfterMs);
    }

    /** A failure with its reason in words. */
    public static Answer failure(int status, String reason) {
        return new Answer(status, "text/plain", (reason + "\n").getBytes(StandardCharsets.UTF_8), 0);
    }

    /** Whether a node has served it. */
    public boolean isServed() {
        return status == 200;
    }

    /** Whether it says that trying again is harmless. */
    public boolean isRefusal() {
        return status == 503 || status == 429;
    }

    public static Answer status(int status) {
        return new Answer(status, null, NO_BODY, 0);
    }
}
