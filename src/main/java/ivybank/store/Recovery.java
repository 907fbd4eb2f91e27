package ivybank.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Restores the store in a folder to a usable state and reports what was found. Recovery is idempotent, and one that is
 * interrupted at any step can be run again.
 */
final class Recovery {

    private static final int MAX_SEGMENT_BYTES = 1 << 30;

    private final Disk disk;
    private final boolean degrade;
    private final List<String> damage = new ArrayList<>();
    private final List<Long> quarantined = new ArrayList<>();
    private final List<Segment> segments = new ArrayList<>();
    private final Index index = new Index();
    private Checkpoint.Builder activeCheckpoint = new Checkpoint.Builder();
    private long nextSegmentNumber;
    private int cutBytes;
    private int recordCount;
    private int checkpointCount;
    private boolean readOnly;
    /** True if the segments differ from those in the manifest, which is then rewritten. */
    private boolean segmentsReplaced;

    /** True if the active segment is missing or was replaced, so that a new one is needed. */
    private boolean activeSegmentLost;

    private Recovery(Disk disk, boolean degrade) {
        this.disk = disk;
        this.degrade = degrade;
    }

    /** The recovered log and the report. */
    record Recovered(SegmentLog log, RecoveryReport report) {}

    /**
     * Recovers the store of a folder, or creates one if the folder is new.
     *
     * @param degrade whether to quarantine corrupt segments and continue without the lost data, rather than fail
     * @throws StoreException if confirmed data are corrupt and {@code degrade} is false, or if the manifest is corrupt
     */
    static Recovered run(Disk disk, Limits limits, boolean degrade) throws IOException {
        Recovery recovery = new Recovery(disk, degrade);
        try {
            return recovery.recover(limits);
        } catch (IOException | RuntimeException e) {
            for (Segment segment : recovery.segments) {
                segment.file.close();
            }
            throw e;
        }
    }

    /**
     * Reads every record and reports what a start would find, including corrupt data, without changing anything.
     *
     * @throws StoreException if there is no store, or if its manifest can't be read
     */
    static RecoveryReport verify(Disk disk) throws IOException {
        Recovery recovery = new Recovery(disk, false);
        recovery.readOnly = true;
        List<String> names = disk.names();
        if (!names.contains(Manifest.NAME)) {
            throw new StoreException("the folder holds no store: it has no manifest");
        }
        try {
            List<Manifest.Entry> entries = Manifest.read(disk).segments();
            for (int i = 0; i < entries.size(); i++) {
                recovery.loadSegment(entries.get(i), i == entries.size() - 1, names);
            }
            return recovery.report();
        } finally {
            for (Segment segment : recovery.segments) {
                segment.file.close();
            }
        }
    }

    private RecoveryReport report() {
        return new RecoveryReport(segments.size(), recordCount, index.size(), checkpointCount, cutBytes, damage);
    }

    private Recovered recover(Limits limits) throws IOException {
        List<String> names = disk.names();
        if (!names.contains(Manifest.NAME)) {
            initialize(names);
            names = disk.names();
        }
        Manifest manifest = Manifest.read(disk);
        nextSegmentNumber = manifest.nextSegmentNumber();
        quarantined.addAll(manifest.quarantined());
        for (int i = 0; i < manifest.segments().size(); i++) {
            loadSegment(manifest.segments().get(i), i == manifest.segments().size() - 1, names);
        }
        if (!damage.isEmpty() && !degrade) {
            throw new StoreException("confirmed data are corrupt (nothing was changed): " + String.join("; ", damage)
                    + "; restore a copy of the folder, or allow the store to go on without these data");
        }
        if (segments.isEmpty() || segmentsReplaced) {
            if (segments.isEmpty() || segmentsReplaced && activeSegmentLost) {
                segments.add(Segment.create(disk, nextSegmentNumber++));
                activeCheckpoint = new Checkpoint.Builder();
            }
            disk.forceNames();
            Manifest.of(nextSegmentNumber, segments, quarantined).write(disk);
        }
        deleteUnreferencedFiles();
        return new Recovered(
                new SegmentLog(disk, limits, segments, index, activeCheckpoint, nextSegmentNumber, quarantined),
                report());
    }

    /**
     * Creates an empty store in a folder without a manifest. A folder that holds records is not new, and is rejected.
     */
    private void initialize(List<String> names) throws IOException {
        for (String name : names) {
            if (name.startsWith("segment-") || name.startsWith("quarantine-")) {
                ByteBuffer bytes = Disk.readAll(disk, name, MAX_SEGMENT_BYTES);
                if (bytes.limit() > Records.SEGMENT_HEADER_BYTES) {
                    throw new StoreException(
                            "the manifest is missing, and " + name + " holds records: nothing was changed; restore"
                                    + " a copy of the folder, or move it away to start with an empty one");
                }
                disk.delete(name);
            }
        }
        Segment first = Segment.create(disk, 0);
        first.file.close();
        disk.forceNames();
        new Manifest(1, List.of(new Manifest.Entry(0, Records.SEGMENT_HEADER_BYTES)), List.of()).write(disk);
    }

    private void loadSegment(Manifest.Entry entry, boolean last, List<String> names) throws IOException {
        String name = Segment.fileName(entry.segment());
        if (!names.contains(name)) {
            damage.add(name + " is missing");
            segmentsReplaced = true;
            activeSegmentLost = last;
            return;
        }
        Segment segment = new Segment(entry.segment(), disk.open(name), entry.confirmedBytes());
        segments.add(segment);
        if (!readOnly
                && !last
                && names.contains(Segment.checkpointFileName(segment.number))
                && segment.file.size() >= segment.confirmedBytes
                && Checkpoint.read(
                        disk, segment, (kind, key, offset, length) -> addToIndex(segment, kind, key, offset, length))) {
            checkpointCount++;
            return;
        }
        scan(segment, last);
    }

    private void addToIndex(Segment segment, byte kind, byte[] key, int offset, int length) {
        recordCount++;
        if (kind == Records.PUT) {
            index.put(new Key(key), new Index.Location(segment, offset, length));
        } else {
            index.delete(new Key(key), segment, length);
        }
    }

    /** Reads the records one by one. In the last segment this includes records beyond the size in the manifest. */
    private void scan(Segment segment, boolean last) throws IOException {
        int size = (int) Math.min(MAX_SEGMENT_BYTES, segment.file.size());
        int end = last ? size : Math.min(size, segment.confirmedBytes);
        ByteBuffer bytes = segment.readUpTo(end);
        List<Records.StoredRecord> readable = new ArrayList<>();
        int damageBefore = damage.size();
        if (!Records.hasHeader(bytes, segment.number)) {
            damage.add(Segment.fileName(segment.number) + ": its header can't be read");
        }
        int offset = Records.SEGMENT_HEADER_BYTES;
        while (offset < end) {
            Records.StoredRecord record = Records.read(bytes, 0, segment.number, offset);
            if (record != null) {
                readable.add(record);
                offset = record.end();
                continue;
            }
            int resumeOffset = nextReadable(bytes, segment, offset);
            boolean confirmedLater = isConfirmedByLaterRecord(bytes, segment, offset, resumeOffset);
            if (offset < segment.confirmedBytes || confirmedLater) {
                int to = confirmedLater || !last
                        ? resumeOffset
                        : Math.max(resumeOffset, Math.min(segment.confirmedBytes, end));
                damage.add(Segment.fileName(segment.number) + ": bytes " + offset + " to " + to + " can't be read");
                offset = to;
            } else {
                break; // torn by a power cut: neither it nor anything after it was ever confirmed
            }
        }
        if (end < segment.confirmedBytes) {
            damage.add(Segment.fileName(segment.number) + ": ends at " + end + ", was confirmed up to "
                    + segment.confirmedBytes);
        }
        if (damage.size() > damageBefore) {
            if (degrade) {
                salvage(segment, readable, last);
            }
            return;
        }
        for (Records.StoredRecord record : readable) {
            addToIndex(segment, record.kind(), record.key(), record.offset(), record.length());
            if (last) {
                activeCheckpoint.add(record.kind(), record.key(), record.offset(), record.length());
            }
        }
        if (last) {
            cutBytes = size - offset;
            segment.confirmedBytes = offset;
            if (readOnly) {
                return;
            }
            if (cutBytes > 0) {
                segment.file.truncate(offset);
            }
            // Some of the records may not have been forced yet, and later batches rely on them.
            segment.file.force();
        }
    }

    /** Returns the next offset at which a record can be read, or the end of the segment if there is none. */
    private static int nextReadable(ByteBuffer bytes, Segment segment, int from) throws StoreException {
        for (int offset = from + 1; offset <= bytes.limit() - Records.PREFIX_BYTES - Records.MIN_BODY_BYTES; offset++) {
            if (Records.read(bytes, 0, segment.number, offset) != null) {
                return offset;
            }
        }
        return bytes.limit();
    }

    /** Returns whether a later record proves that this offset was forced, because its batch begins after it. */
    private static boolean isConfirmedByLaterRecord(ByteBuffer bytes, Segment segment, int offset, int searchFrom)
            throws StoreException {
        for (int from = searchFrom; from < bytes.limit(); ) {
            Records.StoredRecord record = Records.read(bytes, 0, segment.number, from);
            if (record == null) {
                from = nextReadable(bytes, segment, from);
            } else if (record.batchStart() > offset) {
                return true;
            } else {
                from = record.end();
            }
        }
        return false;
    }

    /** Copies the readable records of a corrupt segment into a new one, and quarantines the corrupt one. */
    private void salvage(Segment damaged, List<Records.StoredRecord> readable, boolean last) throws IOException {
        Segment replacement = Segment.create(disk, nextSegmentNumber++);
        segments.set(segments.size() - 1, replacement);
        damaged.file.close();
        quarantined.add(damaged.number);
        segmentsReplaced = true;
        activeSegmentLost = last;
        ByteBuffer content = ByteBuffer.allocate(
                readable.stream().mapToInt(Records.StoredRecord::length).sum());
        for (Records.StoredRecord record : readable) {
            int offset = Records.SEGMENT_HEADER_BYTES + content.position();
            Records.write(
                    content,
                    replacement.number,
                    offset,
                    Records.SEGMENT_HEADER_BYTES,
                    record.kind(),
                    record.key(),
                    record.valueBytes());
            addToIndex(replacement, record.kind(), record.key(), offset, record.length());
        }
        Disk.writeFully(replacement.file, Records.SEGMENT_HEADER_BYTES, content.flip());
        replacement.file.force();
        replacement.confirmedBytes = Records.SEGMENT_HEADER_BYTES + content.limit();
    }

    /**
     * Deletes files that the manifest does not list: remains of a step that a power cut interrupted, or of one just
     * completed.
     */
    private void deleteUnreferencedFiles() throws IOException {
        Set<String> referenced = new HashSet<>(Set.of(Manifest.NAME));
        segments.forEach(segment -> {
            referenced.add(Segment.fileName(segment.number));
            referenced.add(Segment.checkpointFileName(segment.number));
        });
        List<String> names = disk.names();
        for (long number : quarantined) {
            referenced.add(Segment.quarantineFileName(number));
            if (names.contains(Segment.fileName(number))) {
                disk.rename(Segment.fileName(number), Segment.quarantineFileName(number));
            }
        }
        for (String name : disk.names()) {
            boolean isStoreFile =
                    name.startsWith("segment-") || name.startsWith("checkpoint-") || name.startsWith("manifest");
            if (isStoreFile && !referenced.contains(name)) {
                disk.delete(name);
            }
        }
        disk.forceNames();
    }
}
