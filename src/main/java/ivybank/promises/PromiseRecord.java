package ivybank.promises;

import ivybank.exchange.Answer;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The stored state of a promise: sent or acked, its Unix time in ms, and the answer if it is acked. */
record PromiseRecord(PromiseState state, double atMs, Answer answer) {

    private static final byte KIND_SENT = 1;
    private static final byte KIND_ACKED = 2;
    /** The number of bytes of the kind and the time. */
    private static final int SENT_BYTES = 9;
    /** The number of bytes of the kind, the time, the status and the length of the content type. */
    private static final int ACKED_HEADER_BYTES = 13;

    /** Encodes the record for the store. */
    byte[] encode() {
        if (answer == null) {
            return ByteBuffer.allocate(SENT_BYTES)
                    .put(KIND_SENT)
                    .putLong((long) atMs)
                    .array();
        }
        byte[] type = (answer.contentType() == null ? "" : answer.contentType()).getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(ACKED_HEADER_BYTES + type.length + answer.body().length)
                .put(KIND_ACKED)
                .putLong((long) atMs)
                .putShort((short) answer.status())
                .putShort((short) type.length)
                .put(type)
                .put(answer.body())
                .array();
    }

    /** Decodes a record of the store. */
    static PromiseRecord decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        byte kind = in.get();
        long atMs = in.getLong();
        if (kind == KIND_SENT) {
            return new PromiseRecord(PromiseState.SENT, atMs, null);
        }
        int status = in.getShort();
        byte[] type = new byte[in.getShort()];
        in.get(type);
        byte[] body = new byte[in.remaining()];
        in.get(body);
        return new PromiseRecord(
                PromiseState.ACKED,
                atMs,
                new Answer(status, type.length == 0 ? null : new String(type, StandardCharsets.UTF_8), body, 0));
    }
}
