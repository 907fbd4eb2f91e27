package ivybank.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Which segments there are, the oldest first, and how much of each was forced when this was written; the last is the one that
 * is appended to. It is replaced as one step and holds itself twice, so that one damaged place does not take the store with it.
 */
record Manifest(long next, List<Entry> segments, List<Long> quarantined) {

    static final String NAME = "manifest";
    static final String NEW = "manifest.new";
    private static final int MAGIC = 0x4956594d; // IVYM
    private static final int FORMAT = 1;
    private static final int FIXED = 32;
    private static final int MOST = 1 << 20;

    /** A segment, and up to where it is confirmed; of all but the last that is all that counts. */
    record Entry(long segment, int confirmed) {}

    Manifest {
        segments = List.copyOf(segments);
        quarantined = List.copyOf(quarantined);
    }

    /** Of these segments as they are confirmed now. */
    static Manifest of(long next, List<Segment> segments, List<Long> quarantined) {
        return new Manifest(
                next,
                segments.stream()
                        .map(each -> new Entry(each.number, each.confirmed))
                        .toList(),
                quarantined);
    }

    /** Puts it in the place of the one before. */
    void write(Disk disk) throws IOException {
        int length = FIXED + 12 * segments.size() + 8 * quarantined.size() + 4;
        ByteBuffer bytes = ByteBuffer.allocate(2 * length);
        for (int copy = 0; copy < 2; copy++) {
            int start = bytes.position();
            bytes.putInt(MAGIC)
                    .putInt(FORMAT)
                    .putInt(length)
                    .putLong(next)
                    .putInt(segments.size())
                    .putInt(quarantined.size())
                    .putInt(0);
            segments.forEach(entry -> bytes.putLong(entry.segment).putInt(entry.confirmed));
            quarantined.forEach(bytes::putLong);
            bytes.putInt(Records.checksum(bytes.array(), start, length - 4));
        }
        disk.delete(NEW);
        try (Disk.File file = disk.create(NEW)) {
            Disk.writeFully(file, 0, bytes.flip());
            file.force();
        }
        disk.rename(NEW, NAME);
        disk.forceNames();
    }

    /** Reads it, by either of its copies. */
    static Manifest read(Disk disk) throws IOException {
        ByteBuffer bytes = Disk.readAll(disk, NAME, MOST);
        for (int at = 0; at <= bytes.limit() - FIXED; at++) {
            // The second copy is looked for, since the first one's length may be what is damaged.
            Manifest found = bytes.getInt(at) == MAGIC ? copy(bytes, at) : null;
            if (found != null) {
                return found;
            }
        }
        throw new StoreException(
                "the manifest can't be read (both copies are damaged): nothing is changed; put back a copy of the"
                        + " folder, or move it away to begin with an empty one");
    }

    private static Manifest copy(ByteBuffer bytes, int at) throws StoreException {
        int length = bytes.getInt(at + 8);
        if (length < FIXED + 4
                || length > bytes.limit() - at
                || Records.checksum(bytes.array(), at, length - 4) != bytes.getInt(at + length - 4)) {
            return null;
        }
        Records.newerThan(bytes.getInt(at + 4), FORMAT, "the manifest");
        List<Entry> segments = new ArrayList<>();
        List<Long> quarantined = new ArrayList<>();
        int count = bytes.getInt(at + 20);
        int aside = bytes.getInt(at + 24);
        int next = at + FIXED;
        for (int i = 0; i < count; i++, next += 12) {
            segments.add(new Entry(bytes.getLong(next), bytes.getInt(next + 8)));
        }
        for (int i = 0; i < aside; i++, next += 8) {
            quarantined.add(bytes.getLong(next));
        }
        return new Manifest(bytes.getLong(at + 12), segments, quarantined);
    }
}
