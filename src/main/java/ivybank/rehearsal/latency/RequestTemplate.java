package ivybank.rehearsal.latency;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The bytes of a safe request with a place for its id, which is also what the request is about. Ids are hexadecimal
 * digits; the first tells the route, so that nodes can spoil the answers of one route alone.
 */
final class RequestTemplate {

    /** Bytes of an id. */
    static final int ID_BYTES = 16;

    private static final byte[] DIGITS = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private static final int BITS_OF_DIGIT = 4;
    private static final int DIGIT_MASK = 15;

    private final byte[] head;
    private final byte[] middle;
    private final byte[] tail;

    /** For requests of a class, which clients wait for so long. */
    RequestTemplate(String requestClass, long budgetMs) {
        head = ascii("GET /" + requestClass + "?obj=");
        middle = ascii(" HTTP/1.1\r\nHost: api\r\nX-Call-Id: ");
        tail = ascii("\r\nX-Caller: overhead\r\nX-Budget-Ms: " + budgetMs + "\r\n\r\n");
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Bytes of a whole request. */
    int size() {
        return head.length + middle.length + tail.length + 2 * ID_BYTES;
    }

    /** Writes a request with this id to a buffer that has room for it. */
    void write(byte[] id, ByteBuffer buffer) {
        buffer.put(head).put(id).put(middle).put(id).put(tail);
    }

    /** Fills an id: the route, the number of the run, and the number of the request in it. */
    static void fillId(byte[] id, Route route, int run, int request) {
        id[0] = DIGITS[route.ordinal()];
        long rest = (long) run << Integer.SIZE | request;
        for (int i = ID_BYTES - 1; i > 0; i--) {
            id[i] = DIGITS[(int) rest & DIGIT_MASK];
            rest >>>= BITS_OF_DIGIT;
        }
    }

    /** Whether an id's first digit is that of a route. */
    static boolean isOf(Route route, byte firstDigit) {
        return firstDigit == DIGITS[route.ordinal()];
    }
}
