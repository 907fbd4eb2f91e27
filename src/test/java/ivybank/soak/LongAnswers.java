package ivybank.soak;

import ivybank.testing.FakeServer;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import java.util.Locale;

/** An upstream that reads each request whole, and answers with 4 MB where its target asks for a long answer. */
final class LongAnswers {

    private static final int LONG_ANSWER_BYTES = 4 << 20;
    private static final byte[] LONG_BODY = new byte[LONG_ANSWER_BYTES];
    private static final String LONG_HEAD = "HTTP/1.1 200 OK\r\nContent-Length: " + LONG_ANSWER_BYTES + "\r\n\r\n";

    static {
        Arrays.fill(LONG_BODY, (byte) 'x');
    }

    private LongAnswers() {}

    /** Plays one connection. */
    static void serve(FakeServer.Connection connection) throws IOException {
        InputStream in = new BufferedInputStream(connection.socket.getInputStream());
        for (String head = head(in); head != null; head = head(in)) {
            in.skipNBytes(length(head));
            if (head.contains("obj=long")) {
                connection.write(LONG_HEAD);
                connection.socket.getOutputStream().write(LONG_BODY);
            } else {
                connection.write(FakeServer.OK);
            }
        }
    }

    /** Reads a head with its end; null at the end of the connection. */
    static String head(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            text.append((char) next);
        }
        return text.toString();
    }

    private static long length(String head) {
        String field = "content-length:";
        return head.toLowerCase(Locale.ROOT)
                .lines()
                .filter(line -> line.startsWith(field))
                .mapToLong(line -> Long.parseLong(line.substring(field.length()).strip()))
                .findFirst()
                .orElse(0);
    }
}
