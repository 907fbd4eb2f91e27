package ivybank.exchange;

import io.netty.buffer.ByteBuf;
import ivybank.memory.MessageMemory;
import ivybank.memory.Reservation;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The remaining part of a long body, passed from the side that reads it to the side that writes it. Buffers what has
 * been read until it is consumed. Meanwhile, and whenever the writer can't accept more, the reader is requested to
 * stop, so that the buffer holds little more than what the reader still reads after that request. Each part is reserved
 * in the memory of the process from when it is read until it is written. Ends once: completed or aborted by the reader, or
 * abandoned by the writer. Used on one event loop.
 */
public final class BodyPipe {

    /** The side that reads the body. */
    public interface Source {

        /** Sets whether more is to be read now. */
        void setDemand(boolean more);

        /** Notifies that nobody will consume the rest. */
        void abandoned();
    }

    /** The side that writes the body; it owns the buffers passed to it. */
    public interface Sink {

        /**
         * Writes a part.
         *
         * @param released run once the part takes no memory any more, because it has been written or dropped
         */
        void write(ByteBuf part, Runnable released);

        /**
         * Notifies that nothing more follows.
         *
         * @param complete whether the body is complete
         */
        void ended(boolean complete);
    }

    /** A part of the body, and the memory that it takes. */
    private record Part(ByteBuf bytes, Reservation memory) {}

    private final Source source;
    private final MessageMemory memory;
    private final Deque<Part> buffered = new ArrayDeque<>();
    /** What has been read and not been written yet, in bytes. */
    private long heldBytes;

    private Sink sink;
    private boolean attached;
    /** Whether the sink can't accept more at the moment. */
    private boolean paused;

    private boolean delivering;
    private boolean ended;
    private boolean complete;
    private boolean endDelivered;
    private boolean abandoned;

    /**
     * Creates a pipe.
     *
     * @param memory where the parts are reserved
     */
    public BodyPipe(Source source, MessageMemory memory) {
        this.source = source;
        this.memory = memory;
    }

    /** Passes on a part of the body; takes ownership of the buffer. */
    public void write(ByteBuf part) {
        write(part, memory.reservePart(part.readableBytes()));
    }

    /**
     * Passes on a part of the body; takes ownership of the buffer.
     *
     * @param reservation the memory that the buffer takes, which is released with it
     */
    public void write(ByteBuf part, Reservation reservation) {
        if (abandoned || ended || !part.isReadable()) {
            part.release();
            reservation.release();
            return;
        }
        buffered.addLast(new Part(part, reservation));
        heldBytes += part.readableBytes();
        deliver();
        updateDemand();
    }

    /** Tells the source whether more is to be read now. */
    private void updateDemand() {
        if (!ended && !abandoned) {
            source.setDemand(sink != null && !paused && buffered.isEmpty() && memory.mayStream(heldBytes));
        }
    }

    /**
     * Ends the body.
     *
     * @param bodyComplete whether the body is complete
     */
    public void end(boolean bodyComplete) {
        if (ended || abandoned) {
            return;
        }
        ended = true;
        complete = bodyComplete;
        if (!bodyComplete) {
            release();
        }
        deliver();
    }

    private void deliver() {
        if (delivering) {
            return;
        }
        delivering = true;
        while (sink != null && !paused && !buffered.isEmpty()) {
            write(buffered.pollFirst());
        }
        delivering = false;
        if (sink != null && ended && !endDelivered && buffered.isEmpty()) {
            endDelivered = true;
            sink.ended(complete);
        }
    }

    private void write(Part part) {
        int bytes = part.bytes().readableBytes();
        sink.write(part.bytes(), () -> {
            heldBytes -= bytes;
            part.memory().release();
            updateDemand();
        });
    }

    /** Returns whether a sink is or was attached; what it has received is no longer available to another. */
    public boolean isAttached() {
        return attached;
    }

    /** Returns whether the body has been read completely. */
    public boolean isComplete() {
        return ended && complete;
    }

    /** Returns how much has been read and not been written yet, in bytes. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Attaches the sink, which gets the buffered part and what follows. */
    public void attach(Sink newSink) {
        attached = true;
        sink = newSink;
        deliver();
        updateDemand();
    }

    /** Sets whether the sink can accept more at the moment. */
    public void setDemand(boolean more) {
        paused = !more;
        deliver();
        updateDemand();
    }

    /** Drops the rest, which nobody will consume. */
    public void abandon() {
        if (abandoned) {
            return;
        }
        abandoned = true;
        attached = true;
        sink = null;
        release();
        if (!ended) {
            source.abandoned();
        }
    }

    private void release() {
        for (Part part = buffered.pollFirst(); part != null; part = buffered.pollFirst()) {
            heldBytes -= part.bytes().readableBytes();
            part.bytes().release();
            part.memory().release();
        }
    }
}
