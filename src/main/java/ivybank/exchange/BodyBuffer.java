package ivybank.exchange;

import io.netty.buffer.ByteBuf;
import ivybank.common.Framing;
import ivybank.memory.MessageMemory;
import ivybank.memory.Reservation;
import java.util.Arrays;

/**
 * A body that is collected whole. It takes memory for what has arrived, at most twice as much, and not for what was
 * announced. Used on one event loop.
 */
public final class BodyBuffer {

    private static final int MIN_CAPACITY = 1024;

    private final MessageMemory memory;
    private final Reservation reservation;
    private final long expectedBytes;
    /** What the head of the message takes, which is reserved together with the body. */
    private int headBytes;

    private byte[] bytes = {};
    private int size;

    /**
     * Creates an empty buffer.
     *
     * @param memory where the body is reserved
     * @param expectedBytes the announced length of the body, or -1 if it is unknown
     * @param headBytes what the head of the message takes, in bytes of heap
     */
    public BodyBuffer(MessageMemory memory, long expectedBytes, int headBytes) {
        this.memory = memory;
        this.reservation = memory.newArray();
        this.expectedBytes = expectedBytes;
        this.headBytes = headBytes;
    }

    /** Reserves the head if there is memory for it, and returns whether there is. */
    public boolean tryReserveHead() {
        return memory.tryGrow(reservation, headBytes);
    }

    /** Returns a reservation of the head alone, which the caller releases; that of this buffer is left with the body. */
    public Reservation takeHead() {
        Reservation head = memory.newArray();
        memory.resize(reservation, reservation.bytes() - headBytes);
        memory.resize(head, headBytes);
        headBytes = 0;
        return head;
    }

    /** Returns the number of bytes collected. */
    public int size() {
        return size;
    }

    /** Appends a part if there is memory for it, and returns whether there is. */
    public boolean tryAppend(ByteBuf part) {
        int capacity = capacityFor(size + part.readableBytes());
        if (!memory.tryGrow(reservation, (long) headBytes + capacity)) {
            return false;
        }
        copy(part, capacity);
        return true;
    }

    private int capacityFor(int bytesNeeded) {
        if (bytesNeeded <= bytes.length) {
            return bytes.length;
        }
        long doubled = Math.max(MIN_CAPACITY, 2L * bytes.length);
        long most = expectedBytes < 0 ? Framing.MAX_BUFFERED_BODY_BYTES : expectedBytes;
        return (int) Math.max(bytesNeeded, Math.min(doubled, most));
    }

    private void copy(ByteBuf part, int capacity) {
        if (capacity > bytes.length) {
            bytes = Arrays.copyOf(bytes, capacity);
        }
        int length = part.readableBytes();
        part.readBytes(bytes, size, length);
        size += length;
    }

    /** Returns the body as an array of its size, which is what stays reserved. Nothing can be appended afterwards. */
    public byte[] toArray() {
        if (size < bytes.length) {
            bytes = Arrays.copyOf(bytes, size);
            memory.resize(reservation, (long) headBytes + size);
        }
        return bytes;
    }

    /** Returns the reservation of head and array. Whoever takes them over releases it. */
    public Reservation reservation() {
        return reservation;
    }

    /** Drops the body. */
    public void release() {
        reservation.release();
    }
}
