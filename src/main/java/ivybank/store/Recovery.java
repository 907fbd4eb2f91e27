package ivybank.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Brings a folder back to a state in which it can be used, and says what was found. Done twice it finds the same; cut short
 * at any step, it starts over.
 */
final class Recovery {

    private static final int MOST_SEGMENT = 1 << 30;

    private final Disk disk;
    private final boolean degrade;
    private final List<String> damage = new ArrayList<>();
    private final List<Long> quarantined = new ArrayList<>();
    private final List<Segment> segments = new ArrayList<>();
    private final Index index = new Index();
    private Checkpoint.Builder tail = new Checkpoint.Builder();
    private long next;
    private int cutBytes;
    private int records;
    private int checkpoints;
    private boolean dry;
    private boolean rewritten;
    private boolean lastWasSealed;

    private Recovery(Disk disk, boolean degrade) {
        this.disk = disk;
        this.degrade = degrade;
    }

    /** The log as it is to go on, and the report. */
    record Recovered(SegmentLog log, RecoveryReport report) {}

    /**
     * Recovers.
     *
     * @param degrade whether to go on without what is damaged, which is put aside, rather than refuse
     * @throws StoreException if confirmed data are damaged and {@code degrade} is false, or the manifest is
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
     * Reads every record, changes nothing and tells what a start would find, damage included.
     *
     * @throws StoreException if there is no store, or one whose manifest can't be read
     */
    static RecoveryReport check(Disk disk) throws IOException {
        Recovery recovery = new Recovery(disk, false);
        recovery.dry = true;
        List<String> names = disk.names();
        if (!names.contains(Manifest.NAME)) {
            throw new StoreException("there is no store here: no manifest");
        }
        try {
            List<Manifest.Entry> entries = Manifest.read(disk).segments();
            for (int i = 0; i < entries.size(); i++) {
                recovery.load(entries.get(i), i == entries.size() - 1, names);
            }
            return recovery.report();
        } finally {
            for (Segment segment : recovery.segments) {
                segment.file.close();
            }
        }
    }

    private RecoveryReport report() {
        return new RecoveryReport(segments.size(), records, index.size(), checkpoints, cutBytes, damage);
    }

    private Recovered recover(Limits limits) throws IOException {
        List<String> names = disk.names();
        if (!names.contains(Manifest.NAME)) {
            begin(names);
            names = disk.names();
        }
        Manifest manifest = Manifest.read(disk);
        next = manifest.next();
        quarantined.addAll(manifest.quarantined());
        for (int i = 0; i < manifest.segments().size(); i++) {
            load(manifest.segments().get(i), i == manifest.segments().size() - 1, names);
        }
        if (!damage.isEmpty() && !degrade) {
            throw new StoreException("confirmed data are damaged, and nothing is changed: " + String.join("; ", damage)
                    + "; put back a copy of the folder, or allow to go on without them");
        }
        if (segments.isEmpty() || rewritten) {
            if (segments.isEmpty() || rewritten && lastWasSealed) {
                segments.add(Segment.create(disk, next++));
                tail = new Checkpoint.Builder();
            }
            disk.forceNames();
            Manifest.of(next, segments, quarantined).write(disk);
        }
        sweep();
        return new Recovered(new SegmentLog(disk, limits, segments, index, tail, next, quarantined), report());
    }

    /** A folder without a manifest is new, unless it holds records. */
    private void begin(List<String> names) throws IOException {
        for (String name : names) {
            if (name.startsWith("segment-") || name.startsWith("quarantine-")) {
                ByteBuffer bytes = Disk.readAll(disk, name, MOST_SEGMENT);
                if (bytes.limit() > Records.HEADER) {
                    throw new StoreException(
                            "the manifest is missing, and " + name + " holds records: nothing is changed; put back"
                                    + " a copy of the folder, or move it away to begin with an empty one");
                }
                disk.delete(name);
            }
        }
        Segment first = Segment.create(disk, 0);
        first.file.close();
        disk.forceNames();
        new Manifest(1, List.of(new Manifest.Entry(0, Records.HEADER)), List.of()).write(disk);
    }

    private void load(Manifest.Entry entry, boolean last, List<String> names) throws IOException {
        String name = Segment.name(entry.segment());
        if (!names.contains(name)) {
            damage.add(name + " is missing");
            rewritten = true;
            lastWasSealed = last;
            return;
        }
        Segment segment = new Segment(entry.segment(), disk.open(name), entry.confirmed());
        segments.add(segment);
        if (!dry
                && !last
                && names.contains(Segment.checkpoint(segment.number))
                && segment.file.size() >= segment.confirmed
                && Checkpoint.read(disk, segment, (kind, key, at, length) -> apply(segment, kind, key, at, length))) {
            checkpoints++;
            return;
        }
        scan(segment, last);
    }

    private void apply(Segment segment, byte kind, byte[] key, int at, int length) {
        records++;
        if (kind == Records.PUT) {
            index.put(new Key(key), new Index.Place(segment, at, length));
        } else {
            index.delete(new Key(key), segment, length);
        }
    }

    /** Reads the records one by one; in the last segment also those that the manifest does not know of yet. */
    private void scan(Segment segment, boolean last) throws IOException {
        int size = (int) Math.min(MOST_SEGMENT, segment.file.size());
        int end = last ? size : Math.min(size, segment.confirmed);
        ByteBuffer bytes = segment.readTo(end);
        List<Records.Read> good = new ArrayList<>();
        int before = damage.size();
        if (!Records.hasHeader(bytes, segment.number)) {
            damage.add(Segment.name(segment.number) + ": its header can't be read");
        }
        int at = Records.HEADER;
        while (at < end) {
            Records.Read read = Records.read(bytes, 0, segment.number, at);
            if (read != null) {
                good.add(read);
                at = read.end();
                continue;
            }
            int resumed = resume(bytes, segment, at);
            boolean provedLater = isProvedLater(bytes, segment, at, resumed);
            if (at < segment.confirmed || provedLater) {
                int to = provedLater || !last ? resumed : Math.max(resumed, Math.min(segment.confirmed, end));
                damage.add(Segment.name(segment.number) + ": bytes " + at + " to " + to + " can't be read");
                at = to;
            } else {
                break; // what a cut tore: it was never confirmed, nor was anything behind it
            }
        }
        if (end < segment.confirmed) {
            damage.add(
                    Segment.name(segment.number) + ": ends at " + end + ", was confirmed up to " + segment.confirmed);
        }
        if (damage.size() > before) {
            if (degrade) {
                salvage(segment, good, last);
            }
            return;
        }
        for (Records.Read read : good) {
            apply(segment, read.kind(), read.key(), read.at(), read.length());
            if (last) {
                tail.add(read.kind(), read.key(), read.at(), read.length());
            }
        }
        if (last) {
            cutBytes = size - at;
            segment.confirmed = at;
            if (dry) {
                return;
            }
            if (cutBytes > 0) {
                segment.file.truncate(at);
            }
            // What is read now may never have been forced, and is built upon from here on.
            segment.file.force();
        }
    }

    /** The next place at which a record can be read; the end if there is none. */
    private static int resume(ByteBuffer bytes, Segment segment, int from) throws StoreException {
        for (int at = from + 1; at <= bytes.limit() - Records.PREFIX - Records.LEAST_BODY; at++) {
            if (Records.read(bytes, 0, segment.number, at) != null) {
                return at;
            }
        }
        return bytes.limit();
    }

    /** Whether a later record proves that this place was forced: its batch begins behind it. */
    private static boolean isProvedLater(ByteBuffer bytes, Segment segment, int at, int resumed) throws StoreException {
        for (int from = resumed; from < bytes.limit(); ) {
            Records.Read read = Records.read(bytes, 0, segment.number, from);
            if (read == null) {
                from = resume(bytes, segment, from);
            } else if (read.batch() > at) {
                return true;
            } else {
                from = read.end();
            }
        }
        return false;
    }

    /** Writes what is good of a damaged segment into a new one, and leaves the damaged one aside. */
    private void salvage(Segment damaged, List<Records.Read> good, boolean last) throws IOException {
        Segment fresh = Segment.create(disk, next++);
        segments.set(segments.size() - 1, fresh);
        damaged.file.close();
        quarantined.add(damaged.number);
        rewritten = true;
        lastWasSealed = last;
        ByteBuffer all =
                ByteBuffer.allocate(good.stream().mapToInt(Records.Read::length).sum());
        for (Records.Read read : good) {
            int at = Records.HEADER + all.position();
            Records.write(all, fresh.number, at, Records.HEADER, read.kind(), read.key(), read.valueBytes());
            apply(fresh, read.kind(), read.key(), at, read.length());
        }
        Disk.writeFully(fresh.file, Records.HEADER, all.flip());
        fresh.file.force();
        fresh.confirmed = Records.HEADER + all.limit();
    }

    /** Removes what no manifest names: what a cut left of a step that was not finished, or had just been. */
    private void sweep() throws IOException {
        Set<String> kept = new HashSet<>(Set.of(Manifest.NAME));
        segments.forEach(segment -> {
            kept.add(Segment.name(segment.number));
            kept.add(Segment.checkpoint(segment.number));
        });
        List<String> names = disk.names();
        for (long number : quarantined) {
            kept.add(Segment.quarantine(number));
            if (names.contains(Segment.name(number))) {
                disk.rename(Segment.name(number), Segment.quarantine(number));
            }
        }
        for (String name : disk.names()) {
            boolean ours = name.startsWith("segment-") || name.startsWith("checkpoint-") || name.startsWith("manifest");
            if (ours && !kept.contains(name)) {
                disk.delete(name);
            }
        }
        disk.forceNames();
    }
}
