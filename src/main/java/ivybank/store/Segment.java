package ivybank.store;

import java.io.IOException;
import java.nio.ByteBuffer;

/** One file of records. Records of keys that have since been overwritten or deleted are dead. */
final class Segment {

    private static final int MIN_BUFFER_BYTES = 4096;

    final long number;
    final Disk.File file;
    /** End of the forced part of the file. Bytes beyond it are not part of the segment. */
    int confirmedBytes;
    /** Size of the records that the index refers to. */
    int liveBytes;
    /** Size of the deletions. They are needed for as long as an older segment may hold a record that they delete. */
    int deletionBytes;

    Segment(long number, Disk.File file, int confirmedBytes) {
        this.number = number;
        this.file = file;
        this.confirmedBytes = confirmedBytes;
    }

    static String fileName(long number) {
        return String.format("segment-%016x", number);
    }

    static String checkpointFileName(long number) {
        return String.format("checkpoint-%016x", number);
    }

    static String quarantineFileName(long number) {
        return String.format("quarantine-%016x", number);
    }

    /** Creates an empty segment. Its header is forced, its name in the folder is not. */
    static Segment create(Disk disk, long number) throws IOException {
        Disk.File file = disk.create(fileName(number));
        try {
            Disk.writeFully(file, 0, Records.header(number));
            file.force();
            return new Segment(number, file, Records.SEGMENT_HEADER_BYTES);
        } catch (IOException | RuntimeException e) {
            file.close();
            throw e;
        }
    }

    /**
     * Returns the number of bytes that a compaction would drop.
     *
     * @param isOldest whether no older segment is left, so that deletions are not needed either
     */
    int deadBytes(boolean isOldest) {
        return confirmedBytes - Records.SEGMENT_HEADER_BYTES - neededBytes(isOldest);
    }

    /** Returns the number of bytes that a compaction must keep. */
    int neededBytes(boolean isOldest) {
        return liveBytes + (isOldest ? 0 : deletionBytes);
    }

    /** Reads the record at an offset. Returns null if it can't be read any more. */
    Records.StoredRecord read(int offset, int length) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(length);
        Disk.readFully(file, offset, bytes);
        return Records.read(bytes.flip(), offset, number, offset);
    }

    /** Reads the file from its start up to an offset. */
    ByteBuffer readUpTo(int end) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(Math.max(end, MIN_BUFFER_BYTES));
        bytes.limit(end);
        Disk.readFully(file, 0, bytes);
        return bytes.flip();
    }
}
