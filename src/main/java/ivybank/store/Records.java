package ivybank.store;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The bytes of a segment: a header, then records. docs/design/store.md has them one by one.
 *
 * <p>A record says where its batch begins. A batch is written only when the one before is forced, so a readable record proves
 * that all before its batch was on the disk once: what is unreadable there is damage, and not a write that a cut tore.
 */
final class Records {

    static final int FORMAT = 1;
    static final int HEADER = 24;
    /** Length, checksum, and where the batch begins. */
    static final int PREFIX = 12;
    /** Kind, and the length of the key. */
    static final int LEAST_BODY = 3;

    static final byte PUT = 1;
    static final byte DELETE = 2;
    private static final int MAGIC = 0x4956594c; // IVYL
    private static final int HEADER_CHECKED = 20;
    private static final int KEY_MASK = 0xffff;

    /** A record that was read: where it is, and what of the segment it takes. */
    record Read(byte kind, int at, int length, int batch, byte[] key, ByteBuffer value) {
        int end() {
            return at + length;
        }

        byte[] valueBytes() {
            byte[] bytes = new byte[value.remaining()];
            value.duplicate().get(bytes);
            return bytes;
        }
    }

    private Records() {}

    static ByteBuffer header(long segment) {
        ByteBuffer header = ByteBuffer.allocate(HEADER)
                .putInt(MAGIC)
                .putInt(FORMAT)
                .putLong(segment)
                .putInt(0);
        return header.putInt(checksum(header.array(), 0, HEADER_CHECKED)).flip();
    }

    /**
     * Whether the segment begins with its own header.
     *
     * @throws StoreException if a newer program has written it
     */
    static boolean hasHeader(ByteBuffer bytes, long segment) throws StoreException {
        if (bytes.limit() < HEADER
                || bytes.getInt(0) != MAGIC
                || bytes.getLong(8) != segment
                || bytes.getInt(HEADER_CHECKED) != checksum(bytes.array(), bytes.arrayOffset(), HEADER_CHECKED)) {
            return false;
        }
        newerThan(bytes.getInt(4), FORMAT, "segment " + segment);
        return true;
    }

    static void newerThan(int found, int known, String where) throws StoreException {
        if (found > known) {
            throw new StoreException(where + " is of format " + found + ", this program knows up to " + known
                    + ": start the newer program again");
        }
    }

    static int checksum(byte[] bytes, int from, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, from, length);
        return (int) checksum.getValue();
    }

    static int size(byte[] key, byte[] value) {
        return PREFIX + LEAST_BODY + key.length + value.length;
    }

    /** Appends a record that will stand at {@code at} of a segment; {@code value} is empty for a deletion. */
    static void write(ByteBuffer into, long segment, int at, int batch, byte kind, byte[] key, byte[] value) {
        int start = into.position();
        into.putInt(LEAST_BODY + key.length + value.length)
                .putInt(0)
                .putInt(batch)
                .put(kind)
                .putShort((short) key.length)
                .put(key)
                .put(value);
        into.putInt(start + 4, checksum(into, start, into.position() - start, segment, at));
    }

    /** Over the place, so that a block that was written to the wrong one is not taken for a record of it. */
    private static int checksum(ByteBuffer bytes, int start, int length, long segment, int at) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(16)
                .putLong(segment)
                .putInt(at)
                .putInt(bytes.getInt(start))
                .flip());
        checksum.update(bytes.array(), bytes.arrayOffset() + start + 8, length - 8);
        return (int) checksum.getValue();
    }

    /**
     * The record at {@code at} of a segment of which {@code bytes} begin at {@code from}; null if there is none that can be
     * read.
     *
     * @throws StoreException if it is whole and of a kind that this program does not know
     */
    static Read read(ByteBuffer bytes, int from, long segment, int at) throws StoreException {
        int start = at - from;
        int left = bytes.limit() - start;
        if (left < PREFIX + LEAST_BODY) {
            return null;
        }
        int body = bytes.getInt(start);
        if (body < LEAST_BODY
                || body > left - PREFIX
                || checksum(bytes, start, PREFIX + body, segment, at) != bytes.getInt(start + 4)) {
            return null;
        }
        byte kind = bytes.get(start + PREFIX);
        newerThan(kind, DELETE, "a record of segment " + segment);
        int keyLength = bytes.getShort(start + PREFIX + 1) & KEY_MASK;
        if (keyLength > body - LEAST_BODY) {
            return null;
        }
        byte[] key = new byte[keyLength];
        bytes.get(start + PREFIX + LEAST_BODY, key);
        int value = start + PREFIX + LEAST_BODY + keyLength;
        return new Read(
                kind,
                at,
                PREFIX + body,
                bytes.getInt(start + 8),
                key,
                bytes.slice(value, start + PREFIX + body - value).asReadOnlyBuffer());
    }
}
