package ivybank.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * An answer with a length, as a client has received it.
 *
 * @param head the head as it came, with its end
 */
record ReceivedAnswer(String head, int status, String body) {

    private static final String LENGTH_FIELD = "content-length: ";
    private static final int STATUS_AT = "HTTP/1.1 ".length();
    private static final int STATUS_END = STATUS_AT + 3;

    /**
     * Reads an answer.
     *
     * @throws IOException also where the connection ends before the answer does
     */
    static ReceivedAnswer read(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        String head = LongAnswers.head(in);
        if (head == null) {
            throw new IOException("the connection has ended");
        }
        String fields = head.toLowerCase(Locale.ROOT);
        int at = fields.indexOf(LENGTH_FIELD) + LENGTH_FIELD.length();
        int length = Integer.parseInt(fields.substring(at, fields.indexOf('\r', at)));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the connection has ended within the body");
        }
        return new ReceivedAnswer(
                head,
                Integer.parseInt(head.substring(STATUS_AT, STATUS_END)),
                new String(body, StandardCharsets.US_ASCII));
    }

    /** Returns whether the connection ends behind it. */
    boolean closes() {
        return head.toLowerCase(Locale.ROOT).contains("connection: close");
    }
}
