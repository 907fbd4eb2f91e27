package ivybank.store;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The index entries of one sealed segment, in a file next to it, so that a start need not read the segment's records.
 * A checkpoint is only a cache: if it is missing, corrupt or out of date, recovery reads the segment instead.
 */
final class Checkpoint {

    private static final int MAGIC = 0x4956594b; // IVYK
    private static final int FORMAT = 1;
    private static final int HEADER_BYTES = 24;
    private static final int CHECKSUM_BYTES = 4;
    private static final int MAX_FILE_BYTES = 1 << 28;

    /** Receives the records of a segment in order. */
    interface Visitor {
        void record(byte kind, byte[] key, int offset, int length);
    }

    /** Collects the entries of a segment while its records are written. */
    static final class Builder {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private int count;

        void add(byte kind, byte[] key, int offset, int length) {
            DataOutputStream out = new DataOutputStream(bytes);
            try {
                out.writeByte(kind);
                out.writeInt(offset);
                out.writeInt(length);
                out.writeShort(key.length);
                out.write(key);
            } catch (IOException e) {
                throw new IllegalStateException("writing to memory failed", e);
            }
            count++;
        }

        /** Writes the checkpoint file. It is not forced, because a torn one is detected and ignored. */
        void write(Disk disk, Segment segment) throws IOException {
            ByteBuffer content = ByteBuffer.allocate(HEADER_BYTES + bytes.size() + CHECKSUM_BYTES);
            content.putInt(MAGIC)
                    .putInt(FORMAT)
                    .putLong(segment.number)
                    .putInt(segment.confirmedBytes)
                    .putInt(count)
                    .put(bytes.toByteArray());
            content.putInt(Records.checksum(content.array(), 0, content.position()));
            String name = Segment.checkpointFileName(segment.number);
            disk.delete(name);
            try (Disk.File file = disk.create(name)) {
                Disk.writeFully(file, 0, content.flip());
            }
        }
    }

    private Checkpoint() {}

    /**
     * Passes the entries of a segment's checkpoint to the visitor. Returns false, without calling the visitor, if the
     * checkpoint is corrupt or belongs to another state of the segment.
     */
    static boolean read(Disk disk, Segment segment, Visitor visitor) throws IOException {
        ByteBuffer bytes = Disk.readAll(disk, Segment.checkpointFileName(segment.number), MAX_FILE_BYTES);
        int end = bytes.limit() - CHECKSUM_BYTES;
        if (end < HEADER_BYTES
                || bytes.getInt(0) != MAGIC
                || bytes.getInt(4) != FORMAT
                || bytes.getLong(8) != segment.number
                || bytes.getInt(16) != segment.confirmedBytes
                || bytes.getInt(end) != Records.checksum(bytes.array(), 0, end)) {
            return false;
        }
        int count = bytes.getInt(20);
        bytes.position(HEADER_BYTES);
        for (int i = 0; i < count; i++) {
            byte kind = bytes.get();
            int offset = bytes.getInt();
            int length = bytes.getInt();
            byte[] key = new byte[bytes.getShort() & 0xffff];
            bytes.get(key);
            visitor.record(kind, key, offset, length);
        }
        return true;
    }
}
