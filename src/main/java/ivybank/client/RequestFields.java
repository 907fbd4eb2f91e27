package ivybank.client;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * Reads request header fields strictly. A node closes a connection on which it reads a malformed request, with whatever else
 * is in progress there, and rejects values that it can't use; each of these would count against a healthy node.
 */
final class RequestFields {

    private static final int MAX_TOKEN_LENGTH = 128;
    private static final int MAX_DIGITS = 7; // less than three hours in milliseconds

    private final HttpHeaders headers;

    RequestFields(HttpHeaders headers) {
        this.headers = headers;
    }

    /** Returns the value of a field that holds a name, as received; null if it is absent, repeated or not fit to forward. */
    String token(String name) {
        List<String> values = headers.getAll(name);
        boolean valid = values.size() == 1 && values.get(0).length() <= MAX_TOKEN_LENGTH && isPlain(values.get(0));
        return valid ? values.get(0) : null;
    }

    boolean isTokenOrAbsent(String name) {
        return !headers.contains(name) || token(name) != null;
    }

    /**
     * Returns a field's value in whole milliseconds, which must be in decimal digits alone; 0 if it is absent, repeated,
     * malformed or too large.
     */
    int milliseconds(String name) {
        String text = token(name);
        boolean isNumber =
                text != null && text.length() <= MAX_DIGITS && text.chars().allMatch(c -> c >= '0' && c <= '9');
        return isNumber ? Integer.parseInt(text) : 0;
    }

    /** Returns the request target as a path, also if it was sent with the server's name (RFC 9112, section 3.2.2). */
    static String originForm(String target) {
        if (!target.regionMatches(true, 0, "http://", 0, "http://".length())) {
            return target;
        }
        int path = target.indexOf('/', "http://".length());
        return path < 0 ? "/" : target.substring(path);
    }

    /** Returns whether the text consists of visible ASCII characters and is not empty. */
    static boolean isPlain(String text) {
        return !text.isEmpty() && text.chars().allMatch(c -> c > ' ' && c < 127);
    }
}
