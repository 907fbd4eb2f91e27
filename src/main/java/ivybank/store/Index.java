package ivybank.store;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;

/**
 * Maps each key to the location of its current record, and counts the live bytes of each segment. Keys are not kept but known by
 * 128 bits of their SHA-256, so that a key takes {@value #MAX_BYTES_PER_KEY} bytes at the most, however long it is. Open addressing
 * in parallel arrays.
 */
final class Index {

    /** The most that one key takes, in bytes of heap, but for a moment while the arrays grow. */
    static final int MAX_BYTES_PER_KEY = 56;

    private static final int MIN_CAPACITY = 64;
    /** The arrays are full to three quarters at the most, and to a half when they have grown. */
    private static final double MAX_LOAD = 0.75;

    private static final double GROWTH = 1.5;

    /** The position of a record. */
    record Location(Segment segment, int offset, int length) {}

    /** What a key is known by. */
    private record Digest(long high, long low) {}

    private final MessageDigest sha256;
    private long[] high;
    private long[] low;
    /** The segment of the key in each slot; null marks a free slot. */
    private Segment[] segments;

    private int[] offsets;
    private int[] lengths;
    private int size;

    Index() {
        try {
            sha256 = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each Java platform has SHA-256", e);
        }
        allocate(MIN_CAPACITY);
    }

    private void allocate(int capacity) {
        high = new long[capacity];
        low = new long[capacity];
        segments = new Segment[capacity];
        offsets = new int[capacity];
        lengths = new int[capacity];
    }

    Location get(Key key) {
        int slot = find(digest(key));
        return segments[slot] == null ? null : location(slot);
    }

    int size() {
        return size;
    }

    /** Returns the locations of all keys, in no order. */
    List<Location> locations() {
        List<Location> all = new ArrayList<>(size);
        for (int slot = 0; slot < segments.length; slot++) {
            if (segments[slot] != null) {
                all.add(location(slot));
            }
        }
        return all;
    }

    void put(Key key, Location location) {
        location.segment.liveBytes += location.length;
        Digest digest = digest(key);
        int slot = find(digest);
        if (segments[slot] != null) {
            markDead(slot);
        } else if (++size > MAX_LOAD * segments.length) {
            grow();
            slot = find(digest);
        }
        set(slot, digest, location);
    }

    /** Removes a key whose deletion was written to the segment. */
    void delete(Key key, Segment segment, int length) {
        segment.deletionBytes += length;
        int slot = find(digest(key));
        if (segments[slot] != null) {
            markDead(slot);
            size--;
            free(slot);
        }
    }

    /** Changes the location of a key, provided that the old one is still current. */
    void move(Key key, Location old, Location updated) {
        Digest digest = digest(key);
        int slot = find(digest);
        if (segments[slot] != null && location(slot).equals(old)) {
            updated.segment.liveBytes += updated.length;
            markDead(slot);
            set(slot, digest, updated);
        }
    }

    /** Forgets all keys, and returns the memory that they take. */
    void clear() {
        size = 0;
        allocate(MIN_CAPACITY);
    }

    private Digest digest(Key key) {
        byte[] hash = sha256.digest(key.bytes());
        ByteBuffer bits = ByteBuffer.wrap(hash);
        return new Digest(bits.getLong(), bits.getLong());
    }

    /** Returns the slot of a key, or the free slot in which it would be. */
    private int find(Digest digest) {
        int slot = home(digest.high);
        while (segments[slot] != null && (high[slot] != digest.high || low[slot] != digest.low)) {
            slot = next(slot);
        }
        return slot;
    }

    private int home(long highBits) {
        return (int) Long.remainderUnsigned(highBits, segments.length);
    }

    private int next(int slot) {
        return slot + 1 == segments.length ? 0 : slot + 1;
    }

    private Location location(int slot) {
        return new Location(segments[slot], offsets[slot], lengths[slot]);
    }

    private void set(int slot, Digest digest, Location location) {
        high[slot] = digest.high;
        low[slot] = digest.low;
        segments[slot] = location.segment;
        offsets[slot] = location.offset;
        lengths[slot] = location.length;
    }

    private void markDead(int slot) {
        segments[slot].liveBytes -= lengths[slot];
    }

    /** Frees a slot, and moves up those behind it that are not in the slot of their hash. */
    private void free(int slot) {
        int hole = slot;
        int each = next(slot);
        while (segments[each] != null) {
            if (distance(home(high[each]), each) >= distance(hole, each)) {
                copy(each, hole);
                hole = each;
            }
            each = next(each);
        }
        segments[hole] = null;
    }

    /** Returns how many slots one is behind another. */
    private int distance(int from, int to) {
        return to >= from ? to - from : to - from + segments.length;
    }

    private void copy(int from, int to) {
        high[to] = high[from];
        low[to] = low[from];
        segments[to] = segments[from];
        offsets[to] = offsets[from];
        lengths[to] = lengths[from];
    }

    private void grow() {
        long[] oldHigh = high;
        long[] oldLow = low;
        Segment[] oldSegments = segments;
        int[] oldOffsets = offsets;
        int[] oldLengths = lengths;
        allocate((int) (segments.length * GROWTH));
        for (int slot = 0; slot < oldSegments.length; slot++) {
            if (oldSegments[slot] != null) {
                Digest digest = new Digest(oldHigh[slot], oldLow[slot]);
                set(find(digest), digest, new Location(oldSegments[slot], oldOffsets[slot], oldLengths[slot]));
            }
        }
    }
}
