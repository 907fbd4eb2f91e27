package ivybank.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * The log and its index: appends batches, goes on to the next segment, compacts step by step. One thread uses it, and each
 * call blocks until the disk is done.
 *
 * <p>A write or force that fails is final for its segment: it counts up to what was confirmed before, and what comes next goes
 * into another. Nothing is tried again that the disk has said is lost.
 */
final class SegmentLog implements Closeable {

    private final Disk disk;
    private final Limits limits;
    private final List<Segment> segments;
    private final List<Long> quarantined;
    private final Index index;
    private Checkpoint.Builder tail;
    private long next;
    private Segment active;
    /** The last segment can't be written any more; the next append begins another. */
    private boolean broken;

    private Compaction compaction;
    private long compactions;
    private long failures;

    SegmentLog(
            Disk disk,
            Limits limits,
            List<Segment> segments,
            Index index,
            Checkpoint.Builder tail,
            long next,
            List<Long> quarantined) {
        this.disk = disk;
        this.limits = limits;
        this.segments = segments;
        this.index = index;
        this.tail = tail;
        this.next = next;
        this.quarantined = quarantined;
        this.active = segments.get(segments.size() - 1);
    }

    int keys() {
        return index.size();
    }

    long compactions() {
        return compactions;
    }

    /** Writes and forces that have failed so far. */
    long failures() {
        return failures;
    }

    /** Bytes of all segments, with those of a compaction under way. */
    long used() {
        long used = compaction == null ? 0 : compaction.written();
        for (Segment segment : segments) {
            used += segment.confirmed;
        }
        return used;
    }

    /** Bytes that are left within the limit; deletions may use a part of what is spared for compaction. */
    long room(boolean deletionsAlone) {
        return limits.disk() - used() - (long) limits.segment() * (deletionsAlone ? 1 : Limits.SPARE_SEGMENTS);
    }

    /** The value of a key; null if there is none. */
    byte[] get(Key key) throws IOException {
        Index.Place place = index.get(key);
        if (place == null) {
            return null;
        }
        Records.Read read = place.segment().read(place.at(), place.length());
        if (read == null || read.kind() != Records.PUT || !new Key(read.key()).equals(key)) {
            throw new StoreException(Segment.name(place.segment().number) + ": the record at byte " + place.at()
                    + " can't be read any more");
        }
        return read.valueBytes();
    }

    /** Shows all keys with their values; a value that can't be read any more ends it. */
    void forEach(BiConsumer<byte[], byte[]> each) throws IOException {
        List<Key> keys = new ArrayList<>(index.size());
        index.forEach((key, place) -> keys.add(key));
        for (Key key : keys) {
            each.accept(key.bytes(), get(key));
        }
    }

    /** Writes and forces a batch; when it returns all of it is confirmed, when it throws none of it counts. */
    void append(List<Op> batch) throws IOException {
        int size = batch.stream().mapToInt(Op::size).sum();
        if (broken || active.confirmed + size > limits.segment() && active.confirmed > Records.HEADER) {
            roll();
        }
        int from = active.confirmed;
        ByteBuffer bytes = ByteBuffer.allocate(size);
        for (Op op : batch) {
            Records.write(
                    bytes,
                    active.number,
                    from + bytes.position(),
                    from,
                    op.isDeletion() ? Records.DELETE : Records.PUT,
                    op.key().bytes(),
                    op.bytes());
        }
        try {
            Disk.writeFully(active.file, from, bytes.flip());
            active.file.force();
        } catch (IOException e) {
            breakOff();
            throw e;
        }
        active.confirmed += size;
        int at = from;
        for (Op op : batch) {
            int length = op.size();
            apply(op, at, length);
            at += length;
        }
    }

    /** Leaves the segment as it was confirmed; what can't be cut off is past its end by the next manifest. */
    private void breakOff() {
        broken = true;
        failures++;
        try {
            active.file.truncate(active.confirmed);
        } catch (IOException e) {
            failures++;
        }
    }

    private void apply(Op op, int at, int length) {
        tail.add(op.isDeletion() ? Records.DELETE : Records.PUT, op.key().bytes(), at, length);
        if (op.isDeletion()) {
            index.delete(op.key(), active, length);
        } else {
            index.put(op.key(), new Index.Place(active, at, length));
        }
    }

    /** Begins another segment where the last one can't be written any more. */
    void repair() throws IOException {
        if (broken) {
            roll();
        }
    }

    /** Goes on in another segment, so that the last one can be compacted too. */
    void finishSegment() throws IOException {
        if (active.confirmed > Records.HEADER) {
            roll();
        }
    }

    /** Finishes the last segment and begins another. */
    private void roll() throws IOException {
        Segment fresh;
        try {
            fresh = Segment.create(disk, next++);
        } catch (IOException e) {
            failures++;
            throw e;
        }
        try {
            disk.forceNames();
            segments.add(fresh);
            writeManifest();
        } catch (IOException e) {
            segments.remove(fresh);
            fresh.file.close();
            broken = true;
            failures++;
            throw e;
        }
        Segment finished = active;
        Checkpoint.Builder builder = tail;
        active = fresh;
        tail = new Checkpoint.Builder();
        broken = false;
        try {
            builder.write(disk, finished);
        } catch (IOException e) {
            failures++; // the start will read the segment instead
        }
    }

    private void writeManifest() throws IOException {
        Manifest.of(next, segments, quarantined).write(disk);
    }

    // ---- Compaction.

    /** Whether there is enough that is dead for a compaction to be worth its writing. */
    boolean wantsCompaction() {
        return compaction != null || choose(limits.segment() / 2) != null;
    }

    /**
     * Goes on with a compaction by one bounded step, or begins one. The segments that it reads are finished: nothing that is
     * appended meanwhile matters to it, but for the keys that have moved on when it ends.
     *
     * @param leastDead bytes without which none is begun
     */
    void compact(int leastDead) throws IOException {
        if (compaction == null) {
            int[] run = choose(leastDead);
            if (run == null) {
                return;
            }
            compaction =
                    new Compaction(disk, index, List.copyOf(segments.subList(run[0], run[1])), run[0] == 0, next++);
        }
        try {
            if (compaction.step()) {
                replace(compaction);
                compaction = null;
                compactions++;
            }
        } catch (IOException e) {
            failures++;
            compaction.leave();
            compaction = null;
            throw e;
        }
    }

    boolean isCompacting() {
        return compaction != null;
    }

    /** The run of finished segments with the most dead bytes whose live ones fit into one; null if it has too few. */
    private int[] choose(int leastDead) {
        int[] best = null;
        int most = Math.max(1, leastDead) - 1;
        for (int from = 0; from < segments.size() - 1; from++) {
            int live = Records.HEADER;
            int dead = 0;
            for (int to = from; to < segments.size() - 1; to++) {
                live += segments.get(to).needed(from == 0);
                dead += segments.get(to).dead(from == 0);
                if (live > limits.segment()) {
                    break;
                }
                if (dead > most) {
                    most = dead;
                    best = new int[] {from, to + 1};
                }
            }
        }
        return best;
    }

    /** Puts the new segment in the place of the run. Until the manifest is replaced the run is what counts, then it is not. */
    private void replace(Compaction done) throws IOException {
        List<Segment> old = done.sources();
        Segment output = done.output();
        int place = segments.indexOf(old.get(0));
        List<Segment> before = List.copyOf(segments);
        segments.removeAll(old);
        if (output != null) {
            segments.add(place, output);
        }
        try {
            disk.forceNames();
            writeManifest();
        } catch (IOException e) {
            segments.clear();
            segments.addAll(before);
            throw e;
        }
        done.moveKeys();
        for (Segment each : old) {
            each.file.close();
            disk.delete(Segment.name(each.number));
            disk.delete(Segment.checkpoint(each.number));
        }
    }

    /** Writes down how much is confirmed, so that a start can tell a cut from damage, and closes the files. */
    @Override
    public void close() throws IOException {
        try {
            if (compaction != null) {
                compaction.leave();
            }
            writeManifest();
        } finally {
            for (Segment segment : segments) {
                segment.file.close();
            }
            disk.close();
        }
    }

    /** Closes the files as they are. */
    void abandon() throws IOException {
        for (Segment segment : segments) {
            segment.file.close();
        }
        disk.close();
    }
}
