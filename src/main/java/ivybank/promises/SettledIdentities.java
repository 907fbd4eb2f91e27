package ivybank.promises;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The identities whose requests have ended, in the order of their ends. Compact, as there may be very many: entries stand one behind the
 * other in chunks, and a hash table has their places. An entry is {@code state 1, time 8, length 4, identity}. Pure; used on one
 * thread.
 */
final class SettledIdentities {

    /** An identity, the state in which its request has ended, and when, in milliseconds. */
    record Settled(String identity, PromiseState state, double sinceMs) {}

    /** The number of bytes of an entry beside the identity. */
    static final int ENTRY_HEADER_BYTES = 1 + Long.BYTES + Integer.BYTES;
    /** The most that an identity takes in the hash table, which is half full at the least once it has grown. */
    static final int MAX_SLOT_BYTES = 2 * Long.BYTES;

    private static final int CHUNK_BITS = 16;
    /** The size of the parts in which memory is taken and returned, and of the longest entry. */
    static final int CHUNK_BYTES = 1 << CHUNK_BITS;

    private static final byte REMOVED = 0;
    private static final byte ACKED = 1;
    private static final byte IN_DOUBT = 2;

    private static final int TIME_OFFSET = 1;
    private static final int LENGTH_OFFSET = TIME_OFFSET + Long.BYTES;
    private static final int MIN_SLOTS = 64;
    private static final double MAX_LOAD = 0.75;
    private static final double GROWTH = 1.5;
    private static final long FREE = -1;
    private static final int HASH_FACTOR = 0x01000193;
    private static final int HASH_MIX = 0x9e3779b1;

    private final int seed;
    /** The chunks with entries; the place of an entry is the number of its chunk, from the first ever on, and its offset there. */
    private final List<ByteBuffer> chunks = new ArrayList<>();

    private long firstChunk;
    /** Where the oldest entry is, or a removed one before it. */
    private long oldestPlace;

    private long[] slots = freeSlots(MIN_SLOTS);
    private int size;

    /** @param seed makes the hashes differ between processes, so that nobody can choose identities of one hash */
    SettledIdentities(int seed) {
        this.seed = seed;
    }

    private static long[] freeSlots(int count) {
        long[] slots = new long[count];
        Arrays.fill(slots, FREE);
        return slots;
    }

    int size() {
        return size;
    }

    /** Returns what the entries take, in bytes: whole chunks. */
    long bytes() {
        return (long) chunks.size() * CHUNK_BYTES;
    }

    /** Returns what is known of an identity, or null. */
    Settled get(String identity) {
        long place = slots[find(bytesOf(identity))];
        return place == FREE ? null : entry(place);
    }

    /** Removes an identity, and returns what was known of it, or null. */
    Settled remove(String identity) {
        int slot = find(bytesOf(identity));
        long place = slots[slot];
        if (place == FREE) {
            return null;
        }
        Settled removed = entry(place);
        remove(slot, place);
        return removed;
    }

    /**
     * Adds an identity as the latest one. It must not be known.
     *
     * @throws IllegalArgumentException if it is longer than a chunk
     */
    void add(String identity, PromiseState state, double sinceMs) {
        byte[] bytes = bytesOf(identity);
        if (bytes.length > CHUNK_BYTES - ENTRY_HEADER_BYTES) {
            throw new IllegalArgumentException("an identity of " + bytes.length + " bytes is too long");
        }
        if (size + 1 > MAX_LOAD * slots.length) {
            grow();
        }
        slots[find(bytes)] = append(bytes, state, sinceMs);
        size++;
    }

    /** Returns the identity that was added first, or null if there is none. */
    Settled oldest() {
        if (size == 0) {
            return null;
        }
        while (isPastEnd(oldestPlace) || chunk(oldestPlace).get(offset(oldestPlace)) == REMOVED) {
            advance();
        }
        return entry(oldestPlace);
    }

    /** Forgets all identities, and returns the memory that they take. */
    void clear() {
        firstChunk += chunks.size();
        chunks.clear();
        oldestPlace = firstChunk << CHUNK_BITS;
        slots = freeSlots(MIN_SLOTS);
        size = 0;
    }

    private boolean isPastEnd(long place) {
        return offset(place) >= chunk(place).position();
    }

    /** Goes on to the next entry; a chunk that is passed is returned. */
    private void advance() {
        if (isPastEnd(oldestPlace)) {
            chunks.remove(0);
            firstChunk++;
            oldestPlace = firstChunk << CHUNK_BITS;
        } else {
            oldestPlace += ENTRY_HEADER_BYTES + chunk(oldestPlace).getInt(offset(oldestPlace) + LENGTH_OFFSET);
        }
    }

    private long append(byte[] identity, PromiseState state, double sinceMs) {
        int needed = ENTRY_HEADER_BYTES + identity.length;
        if (chunks.isEmpty() || chunks.get(chunks.size() - 1).remaining() < needed) {
            chunks.add(ByteBuffer.allocate(CHUNK_BYTES));
        }
        ByteBuffer last = chunks.get(chunks.size() - 1);
        long place = firstChunk + chunks.size() - 1 << CHUNK_BITS | last.position();
        last.put(state == PromiseState.ACKED ? ACKED : IN_DOUBT)
                .putDouble(sinceMs)
                .putInt(identity.length)
                .put(identity);
        return place;
    }

    private ByteBuffer chunk(long place) {
        return chunks.get((int) ((place >> CHUNK_BITS) - firstChunk));
    }

    private static int offset(long place) {
        return (int) (place & CHUNK_BYTES - 1);
    }

    private Settled entry(long place) {
        ByteBuffer chunk = chunk(place);
        int offset = offset(place);
        int length = chunk.getInt(offset + LENGTH_OFFSET);
        String identity = new String(chunk.array(), offset + ENTRY_HEADER_BYTES, length, StandardCharsets.UTF_8);
        PromiseState state = chunk.get(offset) == ACKED ? PromiseState.ACKED : PromiseState.IN_DOUBT;
        return new Settled(identity, state, chunk.getDouble(offset + TIME_OFFSET));
    }

    private static byte[] bytesOf(String identity) {
        return identity.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the slot of an identity, or the free slot in which it would be. */
    private int find(byte[] identity) {
        int slot = home(hash(identity, 0, identity.length));
        while (slots[slot] != FREE && !isAt(slots[slot], identity)) {
            slot = next(slot);
        }
        return slot;
    }

    private boolean isAt(long place, byte[] identity) {
        ByteBuffer chunk = chunk(place);
        int from = offset(place) + ENTRY_HEADER_BYTES;
        return chunk.getInt(offset(place) + LENGTH_OFFSET) == identity.length
                && Arrays.equals(chunk.array(), from, from + identity.length, identity, 0, identity.length);
    }

    private int home(int hash) {
        return Integer.remainderUnsigned(hash, slots.length);
    }

    private int homeOf(long place) {
        ByteBuffer chunk = chunk(place);
        int length = chunk.getInt(offset(place) + LENGTH_OFFSET);
        return home(hash(chunk.array(), offset(place) + ENTRY_HEADER_BYTES, length));
    }

    private int hash(byte[] bytes, int from, int length) {
        int hash = seed;
        for (int i = from; i < from + length; i++) {
            hash = (hash ^ bytes[i]) * HASH_FACTOR;
            hash ^= hash >>> CHUNK_BITS;
        }
        return hash * HASH_MIX;
    }

    private int next(int slot) {
        return slot + 1 == slots.length ? 0 : slot + 1;
    }

    /** Removes an entry and frees its slot; those behind it that are not in the slot of their hash move up. */
    private void remove(int slot, long place) {
        chunk(place).put(offset(place), REMOVED);
        size--;
        int hole = slot;
        for (int each = next(slot); slots[each] != FREE; each = next(each)) {
            if (distance(homeOf(slots[each]), each) >= distance(hole, each)) {
                slots[hole] = slots[each];
                hole = each;
            }
        }
        slots[hole] = FREE;
    }

    /** Returns how many slots one is behind another. */
    private int distance(int from, int to) {
        return to >= from ? to - from : to - from + slots.length;
    }

    private void grow() {
        long[] old = slots;
        slots = freeSlots((int) (old.length * GROWTH));
        for (long place : old) {
            if (place != FREE) {
                int slot = homeOf(place);
                while (slots[slot] != FREE) {
                    slot = next(slot);
                }
                slots[slot] = place;
            }
        }
    }
}
