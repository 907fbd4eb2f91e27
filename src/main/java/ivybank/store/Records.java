package ivybank.store;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes a segment: a header, followed by records. docs/design/store.md describes the layout.
 *
 * <p>Each record holds the offset at which its batch begins. A batch is written only after the previous one was
 * forced, so a readable record proves that everything before its batch was once on the disk. Unreadable bytes there
 * are corruption and not a write that was torn by a power cut.
 */
final class Records {

    static final int FORMAT = 1;
    static final int SEGMENT_HEADER_BYTES = 24;
    /** Size of the length, the checksum and the batch offset of a record. */
    static final int PREFIX_BYTES = 12;
    /** Size of the kind and the key length of a record. */
    static final int MIN_BODY_BYTES = 3;

    static final byte PUT = 1;
    static final byte DELETE = 2;
    private static final int MAGIC = 0x4956594c; // IVYL
    private static final int HEADER_CHECKSUM_OFFSET = 20;
    private static final int KEY_MASK = 0xffff;

    /** A decoded record, with its offset and length in the segment. */
    record StoredRecord(byte kind, int offset, int length, int batchStart, byte[] key, ByteBuffer value) {
        int end() {
            return offset + length;
        }

        byte[] valueBytes() {
            byte[] bytes = new byte[value.remaining()];
            value.duplicate().get(bytes);
            return bytes;
        }
    }

    private Records() {}

    static ByteBuffer header(long segment) {
        ByteBuffer header = ByteBuffer.allocate(SEGMENT_HEADER_BYTES)
                .putInt(MAGIC)
                .putInt(FORMAT)
                .putLong(segment)
                .putInt(0);
        return header.putInt(checksum(header.array(), 0, HEADER_CHECKSUM_OFFSET))
                .flip();
    }

    /**
     * Returns whether the segment begins with its own header.
     *
     * @throws StoreException if the segment has a newer format
     */
    static boolean hasHeader(ByteBuffer bytes, long segment) throws StoreException {
        if (bytes.limit() < SEGMENT_HEADER_BYTES
                || bytes.getInt(0) != MAGIC
                || bytes.getLong(8) != segment
                || bytes.getInt(HEADER_CHECKSUM_OFFSET)
                        != checksum(bytes.array(), bytes.arrayOffset(), HEADER_CHECKSUM_OFFSET)) {
            return false;
        }
        rejectNewerFormat(bytes.getInt(4), FORMAT, "segment " + segment);
        return true;
    }

    /** Throws if the format that was found is newer than the newest known one. */
    static void rejectNewerFormat(int found, int newestKnown, String where) throws StoreException {
        if (found > newestKnown) {
            throw new StoreException(where + " is of format " + found + ", this program knows up to " + newestKnown
                    + "; start the newer program version again");
        }
    }

    static int checksum(byte[] bytes, int from, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, from, length);
        return (int) checksum.getValue();
    }

    static int encodedBytes(byte[] key, byte[] value) {
        return PREFIX_BYTES + MIN_BODY_BYTES + key.length + value.length;
    }

    /** Encodes a record that will be written at {@code offset} of a segment. {@code value} is empty for a deletion. */
    static void write(ByteBuffer into, long segment, int offset, int batchStart, byte kind, byte[] key, byte[] value) {
        int start = into.position();
        into.putInt(MIN_BODY_BYTES + key.length + value.length)
                .putInt(0)
                .putInt(batchStart)
                .put(kind)
                .putShort((short) key.length)
                .put(key)
                .put(value);
        into.putInt(start + 4, checksum(into, start, into.position() - start, segment, offset));
    }

    /** Computes a checksum that includes the position, so that a block written to a wrong position is not accepted. */
    private static int checksum(ByteBuffer bytes, int start, int length, long segment, int offset) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(16)
                .putLong(segment)
                .putInt(offset)
                .putInt(bytes.getInt(start))
                .flip());
        checksum.update(bytes.array(), bytes.arrayOffset() + start + 8, length - 8);
        return (int) checksum.getValue();
    }

    /**
     * Decodes the record at {@code offset} of a segment. Returns null if there is no readable record.
     *
     * @param bytes a part of the segment, which begins at {@code bufferStart}
     * @throws StoreException if the record is intact but of a kind that this program does not know
     */
    static StoredRecord read(ByteBuffer bytes, int bufferStart, long segment, int offset) throws StoreException {
        int start = offset - bufferStart;
        int available = bytes.limit() - start;
        if (available < PREFIX_BYTES + MIN_BODY_BYTES) {
            return null;
        }
        int bodyBytes = bytes.getInt(start);
        if (bodyBytes < MIN_BODY_BYTES
                || bodyBytes > available - PREFIX_BYTES
                || checksum(bytes, start, PREFIX_BYTES + bodyBytes, segment, offset) != bytes.getInt(start + 4)) {
            return null;
        }
        byte kind = bytes.get(start + PREFIX_BYTES);
        rejectNewerFormat(kind, DELETE, "a record of segment " + segment);
        int keyLength = bytes.getShort(start + PREFIX_BYTES + 1) & KEY_MASK;
        if (keyLength > bodyBytes - MIN_BODY_BYTES) {
            return null;
        }
        byte[] key = new byte[keyLength];
        bytes.get(start + PREFIX_BYTES + MIN_BODY_BYTES, key);
        int valueStart = start + PREFIX_BYTES + MIN_BODY_BYTES + keyLength;
        return new StoredRecord(
                kind,
                offset,
                PREFIX_BYTES + bodyBytes,
                bytes.getInt(start + 8),
                key,
                bytes.slice(valueStart, start + PREFIX_BYTES + bodyBytes - valueStart)
                        .asReadOnlyBuffer());
    }
}
