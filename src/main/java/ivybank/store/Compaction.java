package ivybank.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Copies what lives in a run of finished segments into a new one, by bounded steps. */
final class Compaction {

    /** What is read, and forced, at a time: a batch that waits meanwhile waits no longer than this takes. */
    private static final int STEP = 128 * 1024;

    private record Move(Key key, Index.Place from, Index.Place to) {}

    private final Disk disk;
    private final Index index;
    private final List<Segment> sources;
    private final boolean oldest;
    private final long number;
    private final List<Move> moves = new ArrayList<>();
    private final Checkpoint.Builder checkpoint = new Checkpoint.Builder();
    private Segment output;
    private int source;
    private int at = Records.HEADER;

    /** @param oldest whether there is nothing before the run: then a deletion has nothing more to delete */
    Compaction(Disk disk, Index index, List<Segment> sources, boolean oldest, long number) {
        this.disk = disk;
        this.index = index;
        this.sources = sources;
        this.oldest = oldest;
        this.number = number;
    }

    List<Segment> sources() {
        return sources;
    }

    /** What was written; null if nothing of the run lives. */
    Segment output() {
        return output;
    }

    int written() {
        return output == null ? 0 : output.confirmed;
    }

    /** Goes on by a step; true when all is copied and forced. */
    boolean step() throws IOException {
        if (source == sources.size()) {
            if (output != null) {
                checkpoint.write(disk, output);
            }
            return true;
        }
        Segment from = sources.get(source);
        int length = Math.min(STEP, from.confirmed - at);
        ByteBuffer bytes = ByteBuffer.allocate(length);
        Disk.readFully(from.file, at, bytes);
        bytes.flip();
        List<Records.Read> kept = new ArrayList<>();
        int size = 0;
        int next = at;
        while (next < at + length) {
            Records.Read read = Records.read(bytes, at, from.number, next);
            if (read == null && next == at) {
                read = longRecord(from, next); // longer than a step, or damaged
            }
            if (read == null) {
                break;
            }
            next = read.end();
            if (lives(from, read)) {
                kept.add(read);
                size += read.length();
            }
        }
        copy(from, kept, size);
        at = next;
        if (at >= from.confirmed) {
            source++;
            at = Records.HEADER;
        }
        return false;
    }

    private static Records.Read longRecord(Segment from, int at) throws IOException {
        ByteBuffer prefix = ByteBuffer.allocate(Records.PREFIX);
        Disk.readFully(from.file, at, prefix);
        int length = prefix.getInt(0);
        Records.Read read = length < 0 || length > from.confirmed - at - Records.PREFIX
                ? null
                : from.read(at, Records.PREFIX + length);
        if (read == null) {
            throw new StoreException(
                    Segment.name(from.number) + ": the record at byte " + at + " can't be read any more");
        }
        return read;
    }

    private boolean lives(Segment from, Records.Read read) {
        Index.Place place = index.get(new Key(read.key()));
        return read.kind() == Records.PUT
                ? place != null && place.segment() == from && place.at() == read.at()
                : !oldest && place == null;
    }

    private void copy(Segment from, List<Records.Read> kept, int size) throws IOException {
        if (kept.isEmpty()) {
            return;
        }
        if (output == null) {
            output = Segment.create(disk, number);
        }
        int batch = output.confirmed;
        ByteBuffer bytes = ByteBuffer.allocate(size);
        for (Records.Read read : kept) {
            int place = batch + bytes.position();
            Records.write(bytes, number, place, batch, read.kind(), read.key(), read.valueBytes());
            checkpoint.add(read.kind(), read.key(), place, read.length());
            if (read.kind() == Records.DELETE) {
                output.deletions += read.length();
            } else {
                moves.add(new Move(
                        new Key(read.key()),
                        new Index.Place(from, read.at(), read.length()),
                        new Index.Place(output, place, read.length())));
            }
        }
        Disk.writeFully(output.file, batch, bytes.flip());
        output.file.force();
        output.confirmed += size;
    }

    /** Lets the index follow, but for keys that were written again or deleted meanwhile. */
    void moveKeys() {
        moves.forEach(move -> index.move(move.key, move.from, move.to));
    }

    /**
     * Gives up. The file stays until the next start sweeps it away: a manifest that names it may have reached the disk, although
     * writing it was said to have failed.
     */
    void leave() throws IOException {
        if (output != null) {
            output.file.close();
        }
    }
}
