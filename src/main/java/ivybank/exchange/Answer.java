package ivybank.exchange;

import java.nio.charset.StandardCharsets;

/**
 * A final answer to the client.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body, or null
 * @param body the body; empty for a long one
 * @param retryAfterMs the delay to announce in Retry-After, in milliseconds; 0 for none
 * @param remainingBody a long body, or null
 * @param contentLength the length of the whole body in bytes, or -1 if it is unknown until its end
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

    /** Returns an answer whose body is still to come. */
    public static Answer streamed(String contentType, BodyPipe remainingBody, long contentLength) {
        return new Answer(200, contentType, NO_BODY, 0, remainingBody, contentLength);
    }

    public static Answer refused(double retryAfterMs) {
        return new Answer(503, null, NO_BODY, retryAfterMs);
    }

    /** Returns an answer that states why a request failed. */
    public static Answer failure(int status, String reason) {
        return new Answer(status, "text/plain", (reason + "\n").getBytes(StandardCharsets.UTF_8), 0);
    }

    /** Returns whether a node has served the request. */
    public boolean isServed() {
        return status == 200;
    }

    /** Returns whether the answer means that a retry is harmless. */
    public boolean isRefusal() {
        return status == 503 || status == 429;
    }

    public static Answer status(int status) {
        return new Answer(status, null, NO_BODY, 0);
    }
}
