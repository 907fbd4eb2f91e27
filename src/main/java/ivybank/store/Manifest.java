package ivybank.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The list of segments, oldest first, with the forced size of each at the time of writing. The last segment is the one
 * that is appended to. The file is replaced atomically and holds two copies of its content, so that one corrupt place
 * does not make the store unusable.
 *
 * @param nextSegmentNumber the number of the next segment to be created
 * @param segments the segments in use, oldest first
 * @param quarantined the numbers of the corrupt segments that were set aside
 */
record Manifest(long nextSegmentNumber, List<Entry> segments, List<Long> quarantined) {

    static final String NAME = "manifest";
    static final String TEMPORARY_NAME = "manifest.new";
    private static final int MAGIC = 0x4956594d; // IVYM
    private static final int FORMAT = 1;
    private static final int HEADER_BYTES = 32;
    private static final int SEGMENT_ENTRY_BYTES = 12;
    private static final int QUARANTINED_ENTRY_BYTES = 8;
    private static final int CHECKSUM_BYTES = 4;
    private static final int MAX_FILE_BYTES = 1 << 20;

    /** A segment and its confirmed size. Only the last segment may hold confirmed records beyond that size. */
    record Entry(long segment, int confirmedBytes) {}

    Manifest {
        segments = List.copyOf(segments);
        quarantined = List.copyOf(quarantined);
    }

    /** Creates a manifest of the segments with their current confirmed sizes. */
    static Manifest of(long nextSegmentNumber, List<Segment> segments, List<Long> quarantined) {
        return new Manifest(
                nextSegmentNumber,
                segments.stream()
                        .map(each -> new Entry(each.number, each.confirmedBytes))
                        .toList(),
                quarantined);
    }

    /** Replaces the manifest file. */
    void write(Disk disk) throws IOException {
        int length = HEADER_BYTES
                + SEGMENT_ENTRY_BYTES * segments.size()
                + QUARANTINED_ENTRY_BYTES * quarantined.size()
                + CHECKSUM_BYTES;
        ByteBuffer bytes = ByteBuffer.allocate(2 * length);
        for (int copy = 0; copy < 2; copy++) {
            int start = bytes.position();
            bytes.putInt(MAGIC)
                    .putInt(FORMAT)
                    .putInt(length)
                    .putLong(nextSegmentNumber)
                    .putInt(segments.size())
                    .putInt(quarantined.size())
                    .putInt(0);
            segments.forEach(entry -> bytes.putLong(entry.segment).putInt(entry.confirmedBytes));
            quarantined.forEach(bytes::putLong);
            bytes.putInt(Records.checksum(bytes.array(), start, length - CHECKSUM_BYTES));
        }
        disk.delete(TEMPORARY_NAME);
        try (Disk.File file = disk.create(TEMPORARY_NAME)) {
            Disk.writeFully(file, 0, bytes.flip());
            file.force();
        }
        disk.rename(TEMPORARY_NAME, NAME);
        disk.forceNames();
    }

    /** Reads the manifest from the first copy that is intact. */
    static Manifest read(Disk disk) throws IOException {
        ByteBuffer bytes = Disk.readAll(disk, NAME, MAX_FILE_BYTES);
        for (int start = 0; start <= bytes.limit() - HEADER_BYTES; start++) {
            // The second copy is searched for, because the length of the first one may be corrupt.
            Manifest found = bytes.getInt(start) == MAGIC ? parseCopy(bytes, start) : null;
            if (found != null) {
                return found;
            }
        }
        throw new StoreException(
                "the manifest can't be read (both copies are corrupt): nothing was changed; restore a copy of the"
                        + " folder, or move it away to start with an empty one");
    }

    /** Parses the copy that begins at {@code start}. Returns null if its length or checksum is wrong. */
    private static Manifest parseCopy(ByteBuffer bytes, int start) throws StoreException {
        int length = bytes.getInt(start + 8);
        if (length < HEADER_BYTES + CHECKSUM_BYTES
                || length > bytes.limit() - start
                || Records.checksum(bytes.array(), start, length - CHECKSUM_BYTES)
                        != bytes.getInt(start + length - CHECKSUM_BYTES)) {
            return null;
        }
        Records.rejectNewerFormat(bytes.getInt(start + 4), FORMAT, "the manifest");
        List<Entry> segments = new ArrayList<>();
        List<Long> quarantined = new ArrayList<>();
        int segmentCount = bytes.getInt(start + 20);
        int quarantinedCount = bytes.getInt(start + 24);
        int position = start + HEADER_BYTES;
        for (int i = 0; i < segmentCount; i++, position += SEGMENT_ENTRY_BYTES) {
            segments.add(new Entry(bytes.getLong(position), bytes.getInt(position + 8)));
        }
        for (int i = 0; i < quarantinedCount; i++, position += QUARANTINED_ENTRY_BYTES) {
            quarantined.add(bytes.getLong(position));
        }
        return new Manifest(bytes.getLong(start + 12), segments, quarantined);
    }
}
