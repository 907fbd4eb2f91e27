package ivybank.promises;

import ivybank.exchange.Answer;
import ivybank.promises.PromiseTable.State;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** What is on record of an identity: sent or acked, since when (Unix time, ms), and the answer of one that is acked. */
record Entry(State state, double atMs, Answer answer) {

    private static final byte SENT = 1;
    private static final byte ACKED = 2;

    byte[] bytes() {
        if (answer == null) {
            return ByteBuffer.allocate(9).put(SENT).putLong((long) atMs).array();
        }
        byte[] type = (answer.contentType() == null ? "" : answer.contentType()).getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(13 + type.length + answer.body().length)
                .put(ACKED)
                .putLong((long) atMs)
                .putShort((short) answer.status())
                .putShort((short) type.length)
                .put(type)
                .put(answer.body())
                .array();
    }

    static Entry read(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        byte kind = in.get();
        long atMs = in.getLong();
        if (kind == SENT) {
            return new Entry(State.SENT, atMs, null);
        }
        int status = in.getShort();
        byte[] type = new byte[in.getShort()];
        in.get(type);
        byte[] body = new byte[in.remaining()];
        in.get(body);
        return new Entry(
                State.ACKED,
                atMs,
                new Answer(status, type.length == 0 ? null : new String(type, StandardCharsets.UTF_8), body, 0));
    }
}
