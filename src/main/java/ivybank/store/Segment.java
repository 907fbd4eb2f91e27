package ivybank.store;

import java.io.IOException;
import java.nio.ByteBuffer;

/** One file of records. What it holds of keys that were written again or deleted since is dead. */
final class Segment {

    private static final int LEAST_READ = 4096;

    final long number;
    final Disk.File file;
    /** Up to where it is forced; nothing beyond counts. */
    int confirmed;
    /** Bytes of records that are still what their keys stand for. */
    int live;
    /** Bytes of deletions, which are needed for as long as an older segment may hold what they delete. */
    int deletions;

    Segment(long number, Disk.File file, int confirmed) {
        this.number = number;
        this.file = file;
        this.confirmed = confirmed;
    }

    static String name(long number) {
        return String.format("segment-%016x", number);
    }

    static String checkpoint(long number) {
        return String.format("checkpoint-%016x", number);
    }

    static String quarantine(long number) {
        return String.format("quarantine-%016x", number);
    }

    /** A new, empty one, whose header is forced and whose name is not. */
    static Segment create(Disk disk, long number) throws IOException {
        Disk.File file = disk.create(name(number));
        try {
            Disk.writeFully(file, 0, Records.header(number));
            file.force();
            return new Segment(number, file, Records.HEADER);
        } catch (IOException | RuntimeException e) {
            file.close();
            throw e;
        }
    }

    /** Bytes that a compaction would drop; {@code oldest}: there is nothing before that a deletion could be needed for. */
    int dead(boolean oldest) {
        return confirmed - Records.HEADER - needed(oldest);
    }

    int needed(boolean oldest) {
        return live + (oldest ? 0 : deletions);
    }

    /** The record at a place; null if it can't be read any more. */
    Records.Read read(int at, int length) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(length);
        Disk.readFully(file, at, bytes);
        return Records.read(bytes.flip(), at, number, at);
    }

    /** All of it, up to so far. */
    ByteBuffer readTo(int end) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(Math.max(end, LEAST_READ));
        bytes.limit(end);
        Disk.readFully(file, 0, bytes);
        return bytes.flip();
    }
}
