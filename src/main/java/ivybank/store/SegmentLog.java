package ivybank.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * The log of records and its index: appends batches, rolls over to new segments, and compacts step by step. It is used
 * by one thread, and each call blocks until the disk has finished.
 *
 * <p>A failed write or force is final for its segment: the segment ends where it was confirmed before, and the next
 * batch goes to a new one. A write that the disk reported as failed is never retried in place.
 */
final class SegmentLog implements Closeable {

    private final Disk disk;
    private final Limits limits;
    private final List<Segment> segments;
    private final List<Long> quarantined;
    private final Index index;
    private Checkpoint.Builder activeCheckpoint;
    private long nextSegmentNumber;
    private Segment active;
    /** True if the active segment can't be written any more; the next append then begins a new one. */
    private boolean activeBroken;

    private Compaction compaction;
    private long compactions;
    private long failures;

    SegmentLog(
            Disk disk,
            Limits limits,
            List<Segment> segments,
            Index index,
            Checkpoint.Builder activeCheckpoint,
            long nextSegmentNumber,
            List<Long> quarantined) {
        this.disk = disk;
        this.limits = limits;
        this.segments = segments;
        this.index = index;
        this.activeCheckpoint = activeCheckpoint;
        this.nextSegmentNumber = nextSegmentNumber;
        this.quarantined = quarantined;
        this.active = segments.get(segments.size() - 1);
    }

    int keyCount() {
        return index.size();
    }

    long compactions() {
        return compactions;
    }

    /** Returns the number of writes and forces that have failed so far. */
    long failures() {
        return failures;
    }

    /** Returns the size of all segments, including the output of a running compaction. */
    long usedBytes() {
        long used = compaction == null ? 0 : compaction.writtenBytes();
        for (Segment segment : segments) {
            used += segment.confirmedBytes;
        }
        return used;
    }

    /** Returns the free bytes within the limit. Deletions may use a part of the space reserved for compaction. */
    long freeBytes(boolean forDeletion) {
        return limits.disk() - usedBytes() - (long) limits.segment() * (forDeletion ? 1 : Limits.RESERVED_SEGMENTS);
    }

    /** Returns the value of a key, or null if there is none. */
    byte[] get(Key key) throws IOException {
        Index.Location location = index.get(key);
        if (location == null) {
            return null;
        }
        Records.StoredRecord record = read(location);
        if (!new Key(record.key()).equals(key)) {
            throw new StoreException(Segment.fileName(location.segment().number) + ": the record at byte "
                    + location.offset() + " is of another key");
        }
        return record.valueBytes();
    }

    /**
     * Passes all keys and their values to a consumer, in the order in which they were written last.
     *
     * @throws StoreException at the first value that can't be read any more
     */
    void forEach(BiConsumer<byte[], byte[]> each) throws IOException {
        IdentityHashMap<Segment, Integer> positions = new IdentityHashMap<>();
        segments.forEach(segment -> positions.put(segment, positions.size()));
        List<Index.Location> locations = index.locations();
        locations.sort(Comparator.<Index.Location>comparingInt(location -> positions.get(location.segment()))
                .thenComparingInt(Index.Location::offset));
        for (Index.Location location : locations) {
            Records.StoredRecord record = read(location);
            each.accept(record.key(), record.valueBytes());
        }
    }

    private static Records.StoredRecord read(Index.Location location) throws IOException {
        Records.StoredRecord record = location.segment().read(location.offset(), location.length());
        if (record == null || record.kind() != Records.PUT) {
            throw new StoreException(Segment.fileName(location.segment().number) + ": the record at byte "
                    + location.offset() + " can't be read any more");
        }
        return record;
    }

    /** Writes and forces a batch: all of it is confirmed if this returns, and none of it if this throws. */
    void append(List<Mutation> batch) throws IOException {
        int size = batch.stream().mapToInt(Mutation::encodedBytes).sum();
        if (activeBroken
                || active.confirmedBytes + size > limits.segment()
                        && active.confirmedBytes > Records.SEGMENT_HEADER_BYTES) {
            rollOver();
        }
        int from = active.confirmedBytes;
        ByteBuffer bytes = ByteBuffer.allocate(size);
        for (Mutation mutation : batch) {
            Records.write(
                    bytes,
                    active.number,
                    from + bytes.position(),
                    from,
                    mutation.isDeletion() ? Records.DELETE : Records.PUT,
                    mutation.key().bytes(),
                    mutation.valueBytes());
        }
        try {
            Disk.writeFully(active.file, from, bytes.flip());
            active.file.force();
        } catch (IOException e) {
            discardUnconfirmed();
            throw e;
        }
        active.confirmedBytes += size;
        int offset = from;
        for (Mutation mutation : batch) {
            int length = mutation.encodedBytes();
            apply(mutation, offset, length);
            offset += length;
        }
    }

    /** Truncates the segment to its confirmed size. If that fails, the next manifest still excludes the rest. */
    private void discardUnconfirmed() {
        activeBroken = true;
        failures++;
        try {
            active.file.truncate(active.confirmedBytes);
        } catch (IOException e) {
            failures++;
        }
    }

    private void apply(Mutation mutation, int offset, int length) {
        activeCheckpoint.add(
                mutation.isDeletion() ? Records.DELETE : Records.PUT,
                mutation.key().bytes(),
                offset,
                length);
        if (mutation.isDeletion()) {
            index.delete(mutation.key(), active, length);
        } else {
            index.put(mutation.key(), new Index.Location(active, offset, length));
        }
    }

    /** Begins a new segment if the active one can't be written any more. */
    void repair() throws IOException {
        if (activeBroken) {
            rollOver();
        }
    }

    /** Begins a new segment, so that the active one can be compacted too. */
    void sealActiveSegment() throws IOException {
        if (active.confirmedBytes > Records.SEGMENT_HEADER_BYTES) {
            rollOver();
        }
    }

    /** Seals the active segment and begins a new one. */
    private void rollOver() throws IOException {
        Segment created;
        try {
            created = Segment.create(disk, nextSegmentNumber++);
        } catch (IOException e) {
            failures++;
            throw e;
        }
        try {
            disk.forceNames();
            segments.add(created);
            writeManifest();
        } catch (IOException e) {
            segments.remove(created);
            created.file.close();
            activeBroken = true;
            failures++;
            throw e;
        }
        Segment sealed = active;
        Checkpoint.Builder builder = activeCheckpoint;
        active = created;
        activeCheckpoint = new Checkpoint.Builder();
        activeBroken = false;
        try {
            builder.write(disk, sealed);
        } catch (IOException e) {
            failures++; // the next start reads the segment instead
        }
    }

    private void writeManifest() throws IOException {
        Manifest.of(nextSegmentNumber, segments, quarantined).write(disk);
    }

    /** Returns whether a compaction is running, or enough bytes are dead to justify the writes of a new one. */
    boolean wantsCompaction() {
        return compaction != null || chooseRun(limits.segment() / 2) != null;
    }

    /**
     * Performs one bounded step of the running compaction, or of a new one. A compaction reads sealed segments only,
     * so that concurrent appends do not affect it, except that keys written meanwhile keep their new location when it
     * ends.
     *
     * @param minDeadBytes bytes that must be dead for a new compaction to begin
     */
    void compact(int minDeadBytes) throws IOException {
        if (compaction == null) {
            int[] run = chooseRun(minDeadBytes);
            if (run == null) {
                return;
            }
            compaction = new Compaction(
                    disk, index, List.copyOf(segments.subList(run[0], run[1])), run[0] == 0, nextSegmentNumber++);
        }
        try {
            if (compaction.step()) {
                replaceRun(compaction);
                compaction = null;
                compactions++;
            }
        } catch (IOException e) {
            failures++;
            compaction.abort();
            compaction = null;
            throw e;
        }
    }

    boolean isCompacting() {
        return compaction != null;
    }

    /**
     * Returns the run of adjacent sealed segments with the most dead bytes whose live bytes fit into one segment, as
     * its start and exclusive end. Returns null if the run has too few dead bytes.
     */
    private int[] chooseRun(int minDeadBytes) {
        int[] best = null;
        int mostDeadBytes = Math.max(1, minDeadBytes) - 1;
        for (int from = 0; from < segments.size() - 1; from++) {
            int liveBytes = Records.SEGMENT_HEADER_BYTES;
            int deadBytes = 0;
            for (int to = from; to < segments.size() - 1; to++) {
                liveBytes += segments.get(to).neededBytes(from == 0);
                deadBytes += segments.get(to).deadBytes(from == 0);
                if (liveBytes > limits.segment()) {
                    break;
                }
                if (deadBytes > mostDeadBytes) {
                    mostDeadBytes = deadBytes;
                    best = new int[] {from, to + 1};
                }
            }
        }
        return best;
    }

    /** Replaces the run by the new segment. The change takes effect when the manifest is replaced. */
    private void replaceRun(Compaction completed) throws IOException {
        List<Segment> sources = completed.sources();
        Segment output = completed.output();
        int position = segments.indexOf(sources.get(0));
        List<Segment> before = List.copyOf(segments);
        segments.removeAll(sources);
        if (output != null) {
            segments.add(position, output);
        }
        try {
            disk.forceNames();
            writeManifest();
        } catch (IOException e) {
            segments.clear();
            segments.addAll(before);
            throw e;
        }
        completed.updateIndex();
        for (Segment each : sources) {
            each.file.close();
            disk.delete(Segment.fileName(each.number));
            disk.delete(Segment.checkpointFileName(each.number));
        }
    }

    /** Records the confirmed sizes, so that a start can tell a torn write from corruption, and closes the files. */
    @Override
    public void close() throws IOException {
        try {
            if (compaction != null) {
                compaction.abort();
            }
            writeManifest();
        } finally {
            for (Segment segment : segments) {
                segment.file.close();
            }
            disk.close();
            index.clear();
        }
    }

    /** Closes the files as they are, without recording the confirmed sizes. */
    void closeWithoutManifest() throws IOException {
        for (Segment segment : segments) {
            segment.file.close();
        }
        disk.close();
    }
}
