package ivybank.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Copies the records that are still needed of a run of sealed segments into a new segment, in steps of bounded size.
 */
final class Compaction {

    /**
     * The number of bytes read and forced in one step, which bounds how long a step delays the next batch of writes.
     */
    private static final int STEP_BYTES = 128 * 1024;

    /** A record that was copied: its key, where it was, and where it is now. */
    private record Relocation(Key key, Index.Location from, Index.Location to) {}

    private final Disk disk;
    private final Index index;
    private final List<Segment> sources;
    private final boolean startsAtOldest;
    private final long number;
    private final List<Relocation> relocations = new ArrayList<>();
    private final Checkpoint.Builder checkpoint = new Checkpoint.Builder();
    private Segment output;
    private int sourceIndex;
    private int offset = Records.SEGMENT_HEADER_BYTES;

    /**
     * Creates a compaction of adjacent segments.
     *
     * @param startsAtOldest whether the run begins with the oldest segment; its deletions are then dropped too, because
     *     no older segment can hold a record that they delete
     * @param number the number of the new segment
     */
    Compaction(Disk disk, Index index, List<Segment> sources, boolean startsAtOldest, long number) {
        this.disk = disk;
        this.index = index;
        this.sources = sources;
        this.startsAtOldest = startsAtOldest;
        this.number = number;
    }

    List<Segment> sources() {
        return sources;
    }

    /** Returns the new segment, or null if no record of the run is still needed. */
    Segment output() {
        return output;
    }

    int writtenBytes() {
        return output == null ? 0 : output.confirmedBytes;
    }

    /** Performs one step. Returns true when all records that are still needed are copied and forced. */
    boolean step() throws IOException {
        if (sourceIndex == sources.size()) {
            if (output != null) {
                checkpoint.write(disk, output);
            }
            return true;
        }
        Segment from = sources.get(sourceIndex);
        int length = Math.min(STEP_BYTES, from.confirmedBytes - offset);
        ByteBuffer bytes = ByteBuffer.allocate(length);
        Disk.readFully(from.file, offset, bytes);
        bytes.flip();
        List<Records.StoredRecord> kept = new ArrayList<>();
        int keptBytes = 0;
        int nextOffset = offset;
        while (nextOffset < offset + length) {
            Records.StoredRecord record = Records.read(bytes, offset, from.number, nextOffset);
            if (record == null && nextOffset == offset) {
                record = readLongRecord(from, nextOffset); // exceeds one step, or is corrupt
            }
            if (record == null) {
                break;
            }
            nextOffset = record.end();
            if (isLive(from, record)) {
                kept.add(record);
                keptBytes += record.length();
            }
        }
        copy(from, kept, keptBytes);
        offset = nextOffset;
        if (offset >= from.confirmedBytes) {
            sourceIndex++;
            offset = Records.SEGMENT_HEADER_BYTES;
        }
        return false;
    }

    private static Records.StoredRecord readLongRecord(Segment from, int offset) throws IOException {
        ByteBuffer prefix = ByteBuffer.allocate(Records.PREFIX_BYTES);
        Disk.readFully(from.file, offset, prefix);
        int length = prefix.getInt(0);
        Records.StoredRecord record = length < 0 || length > from.confirmedBytes - offset - Records.PREFIX_BYTES
                ? null
                : from.read(offset, Records.PREFIX_BYTES + length);
        if (record == null) {
            throw new StoreException(
                    Segment.fileName(from.number) + ": the record at byte " + offset + " can't be read any more");
        }
        return record;
    }

    private boolean isLive(Segment from, Records.StoredRecord record) {
        Index.Location location = index.get(new Key(record.key()));
        return record.kind() == Records.PUT
                ? location != null && location.segment() == from && location.offset() == record.offset()
                : !startsAtOldest && location == null;
    }

    private void copy(Segment from, List<Records.StoredRecord> kept, int keptBytes) throws IOException {
        if (kept.isEmpty()) {
            return;
        }
        if (output == null) {
            output = Segment.create(disk, number);
        }
        int batchStart = output.confirmedBytes;
        ByteBuffer bytes = ByteBuffer.allocate(keptBytes);
        for (Records.StoredRecord record : kept) {
            int target = batchStart + bytes.position();
            Records.write(bytes, number, target, batchStart, record.kind(), record.key(), record.valueBytes());
            checkpoint.add(record.kind(), record.key(), target, record.length());
            if (record.kind() == Records.DELETE) {
                output.deletionBytes += record.length();
            } else {
                relocations.add(new Relocation(
                        new Key(record.key()),
                        new Index.Location(from, record.offset(), record.length()),
                        new Index.Location(output, target, record.length())));
            }
        }
        Disk.writeFully(output.file, batchStart, bytes.flip());
        output.file.force();
        output.confirmedBytes += keptBytes;
    }

    /** Points the index to the copies, except for keys that were written or deleted during the compaction. */
    void updateIndex() {
        relocations.forEach(relocation -> index.move(relocation.key, relocation.from, relocation.to));
    }

    /**
     * Abandons the compaction. The file of the new segment stays until the next start removes it: a manifest that
     * lists it may have reached the disk although writing that manifest reported a failure.
     */
    void abort() throws IOException {
        if (output != null) {
            output.file.close();
        }
    }
}
