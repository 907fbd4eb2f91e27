package ivybank.rehearsal.latency;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Reads one HTTP/1.1 response with a {@code Content-Length} from the bytes of a connection, without allocating. It keeps
 * the status and the first bytes of the body, which is where nodes repeat the request's id.
 */
final class ResponseReader {

    /** What is known of the response so far. */
    enum State {
        INCOMPLETE,
        COMPLETE,
        /** It is no response that this reader can read, or more bytes followed it. */
        MALFORMED
    }

    private static final byte[] LENGTH_HEADER = "content-length:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] VERSION = "HTTP/1.1 ".getBytes(StandardCharsets.US_ASCII);
    private static final int STATUS_DIGITS = 3;
    private static final int MOST_BODY = 64 * 1024;

    private final byte[] bytes;
    private int count;

    private int status;
    private int bodyStart;
    private int bodyLength;

    /** For responses of up to so many bytes, head and body. */
    ResponseReader(int capacity) {
        bytes = new byte[capacity];
        reset();
    }

    /** Forgets what was read: the next byte begins a response. */
    void reset() {
        count = 0;
        status = 0;
        bodyStart = -1;
        bodyLength = -1;
    }

    /** Whether any byte of the response has come. */
    boolean isBegun() {
        return count > 0;
    }

    /** Takes all bytes of a buffer. */
    State read(ByteBuffer buffer) {
        int more = buffer.remaining();
        if (more > bytes.length - count) {
            return State.MALFORMED;
        }
        buffer.get(bytes, count, more);
        count += more;
        if (bodyStart < 0 && !readHead()) {
            return status < 0 ? State.MALFORMED : State.INCOMPLETE;
        }
        int left = bodyStart + bodyLength - count;
        return left > 0 ? State.INCOMPLETE : left == 0 ? State.COMPLETE : State.MALFORMED;
    }

    int status() {
        return status;
    }

    /** Whether the body begins with these bytes. */
    boolean bodyStartsWith(byte[] wanted) {
        return bodyLength >= wanted.length && matches(bodyStart, wanted);
    }

    /** Reads the head if it is whole; a status of -1 then says that it can't be read. */
    private boolean readHead() {
        int lineStart = 0;
        for (int at = 1; at < count; at++) {
            if (bytes[at] != '\n' || bytes[at - 1] != '\r') {
                continue;
            }
            if (at - 1 == lineStart) {
                return endHead(at + 1);
            }
            if (startsWithIgnoringCase(lineStart, at)) {
                bodyLength = number(lineStart + LENGTH_HEADER.length, at - 1);
            }
            lineStart = at + 1;
        }
        return false;
    }

    private boolean endHead(int afterHead) {
        status = matches(0, VERSION) ? number(VERSION.length, VERSION.length + STATUS_DIGITS) : -1;
        if (bodyLength < 0 || bodyLength > MOST_BODY || status < 0) {
            status = -1;
            return false;
        }
        bodyStart = afterHead;
        return true;
    }

    private boolean matches(int from, byte[] wanted) {
        if (from < 0 || from + wanted.length > count) {
            return false;
        }
        for (int i = 0; i < wanted.length; i++) {
            if (bytes[from + i] != wanted[i]) {
                return false;
            }
        }
        return true;
    }

    private boolean startsWithIgnoringCase(int from, int until) {
        if (until - from < LENGTH_HEADER.length) {
            return false;
        }
        for (int i = 0; i < LENGTH_HEADER.length; i++) {
            if (Character.toLowerCase(bytes[from + i]) != LENGTH_HEADER[i]) {
                return false;
            }
        }
        return true;
    }

    /** A decimal number between two positions, blanks round it left out; -1 if there is none. */
    private int number(int from, int until) {
        int value = -1;
        for (int i = from; i < until; i++) {
            if (bytes[i] == ' ') {
                continue;
            }
            if (bytes[i] < '0' || bytes[i] > '9' || value > MOST_BODY) {
                return -1;
            }
            value = Math.max(value, 0) * 10 + bytes[i] - '0';
        }
        return value;
    }
}
