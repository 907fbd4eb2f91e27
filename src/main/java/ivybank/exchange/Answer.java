package ivybank.exchange;

import java.nio.charset.StandardCharsets;

/** A final answer to the client; {@code retryAfterMs} 0 gives no advice. */
public record Answer(int status, String contentType, byte[] body, double retryAfterMs) {

    private static final byte[] NO_BODY = {};

    public static Answer served(String contentType, byte[] body) {
        return new Answer(200, contentType, body, 0);
    }

    public static Answer refused(double retryAfterMs) {
        return new Answer(503, null, NO_BODY, retryAfterMs);
    }

    /** A failure with its reason in words. */
    public static Answer told(int status, String reason) {
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
