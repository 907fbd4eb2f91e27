package ivybank.store;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The part of the index that a finished segment brings, beside it, so that a start need not read the records. It is worth
 * nothing by itself: whatever is wrong with it, the segment is read instead.
 */
final class Checkpoint {

    private static final int MAGIC = 0x4956594b; // IVYK
    private static final int FORMAT = 1;
    private static final int FIXED = 24;
    private static final int MOST = 1 << 28;

    /** Takes the records of a segment, in order. */
    interface Visitor {
        void record(byte kind, byte[] key, int at, int length);
    }

    /** Collects a segment's records while they are written. */
    static final class Builder {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private int count;

        void add(byte kind, byte[] key, int at, int length) {
            DataOutputStream out = new DataOutputStream(bytes);
            try {
                out.writeByte(kind);
                out.writeInt(at);
                out.writeInt(length);
                out.writeShort(key.length);
                out.write(key);
            } catch (IOException e) {
                throw new IllegalStateException("memory can't fail to be written", e);
            }
            count++;
        }

        /** Puts it beside its segment; not forced, since a torn one does no harm. */
        void write(Disk disk, Segment segment) throws IOException {
            ByteBuffer all = ByteBuffer.allocate(FIXED + bytes.size() + 4);
            all.putInt(MAGIC)
                    .putInt(FORMAT)
                    .putLong(segment.number)
                    .putInt(segment.confirmed)
                    .putInt(count)
                    .put(bytes.toByteArray());
            all.putInt(Records.checksum(all.array(), 0, all.position()));
            String name = Segment.checkpoint(segment.number);
            disk.delete(name);
            try (Disk.File file = disk.create(name)) {
                Disk.writeFully(file, 0, all.flip());
            }
        }
    }

    private Checkpoint() {}

    /** Shows what stands in it; false, and nothing shown, if it is not whole or not of this state of the segment. */
    static boolean read(Disk disk, Segment segment, Visitor visitor) throws IOException {
        ByteBuffer bytes = Disk.readAll(disk, Segment.checkpoint(segment.number), MOST);
        int end = bytes.limit() - 4;
        if (end < FIXED
                || bytes.getInt(0) != MAGIC
                || bytes.getInt(4) != FORMAT
                || bytes.getLong(8) != segment.number
                || bytes.getInt(16) != segment.confirmed
                || bytes.getInt(end) != Records.checksum(bytes.array(), 0, end)) {
            return false;
        }
        int count = bytes.getInt(20);
        bytes.position(FIXED);
        for (int i = 0; i < count; i++) {
            byte kind = bytes.get();
            int at = bytes.getInt();
            int length = bytes.getInt();
            byte[] key = new byte[bytes.getShort() & 0xffff];
            bytes.get(key);
            visitor.record(kind, key, at, length);
        }
        return true;
    }
}
