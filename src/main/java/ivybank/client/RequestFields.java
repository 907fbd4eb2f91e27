package ivybank.client;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * Reads the fields of a request strictly. Guards healthy upstreams: they close on what they can't read, whatever else
 * waits there, and turn away what they can't use, and each of that would count against them.
 */
final class RequestFields {

    private static final int LONGEST_TOKEN = 128;
    private static final int MOST_DIGITS = 7; // less than three hours in milliseconds

    private final HttpHeaders headers;

    RequestFields(HttpHeaders headers) {
        this.headers = headers;
    }

    /** The value of a field that names something, as it came; null if it is absent, repeated or unfit to send on. */
    String token(String name) {
        List<String> values = headers.getAll(name);
        boolean fit = values.size() == 1 && values.get(0).length() <= LONGEST_TOKEN && isPlain(values.get(0));
        return fit ? values.get(0) : null;
    }

    boolean isTokenOrAbsent(String name) {
        return !headers.contains(name) || token(name) != null;
    }

    /** Whole milliseconds, in digits alone; 0 if the field is absent, repeated, malformed or out of reason. */
    int milliseconds(String name) {
        String text = token(name);
        boolean digits =
                text != null && text.length() <= MOST_DIGITS && text.chars().allMatch(c -> c >= '0' && c <= '9');
        return digits ? Integer.parseInt(text) : 0;
    }

    /** The target as a path, also where it came with the server's name in front (RFC 9112, 3.2.2). */
    static String originForm(String target) {
        if (!target.regionMatches(true, 0, "http://", 0, "http://".length())) {
            return target;
        }
        int path = target.indexOf('/', "http://".length());
        return path < 0 ? "/" : target.substring(path);
    }

    /** Whether it is written in visible ASCII and not empty. */
    static boolean isPlain(String text) {
        return !text.isEmpty() && text.chars().allMatch(c -> c > ' ' && c < 127);
    }
}
