package ivybank.exchange;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What is still to come of a long body, from the side that reads it to the side that writes it. Holds what has come until
 * somebody takes it; the reader is told to stop meanwhile and whenever the writer can take no more, so that it holds little
 * more than what the reader reads all the same. Ends once: whole, broken by the reader, or left by the writer. Used on one event loop.
 */
public final class BodyPipe {

    /** Reads the body. */
    public interface Source {

        /** Whether more is wanted now. */
        void setDemand(boolean more);

        /** Nobody takes the rest. */
        void abandoned();
    }

    /** Writes the body; owns the parts that it is given. */
    public interface Sink {

        void write(ByteBuf part);

        /** Nothing more comes; {@code whole}: it was all. */
        void ended(boolean whole);
    }

    private final Source source;
    private final Deque<ByteBuf> held = new ArrayDeque<>();
    private long bufferedBytes;
    private Sink sink;
    private boolean taken;
    /** Whether the sink can take no more at once. */
    private boolean paused;

    private boolean delivering;
    private boolean ended;
    private boolean whole;
    private boolean told;
    private boolean left;

    public BodyPipe(Source source) {
        this.source = source;
    }

    /** Passes a part on, which this owns from now on. */
    public void write(ByteBuf part) {
        if (left || ended || !part.isReadable()) {
            part.release();
            return;
        }
        held.addLast(part);
        bufferedBytes += part.readableBytes();
        deliver();
        if (!held.isEmpty() && !left) {
            source.setDemand(false);
        }
    }

    /** Ends it; {@code all}: what was passed on is the whole rest. */
    public void end(boolean all) {
        if (ended || left) {
            return;
        }
        ended = true;
        whole = all;
        if (!all) {
            release();
        }
        deliver();
    }

    private void deliver() {
        if (delivering) {
            return;
        }
        delivering = true;
        while (sink != null && !paused && !held.isEmpty()) {
            ByteBuf part = held.pollFirst();
            bufferedBytes -= part.readableBytes();
            sink.write(part);
        }
        delivering = false;
        if (sink != null && ended && !told && held.isEmpty()) {
            told = true;
            sink.ended(whole);
        }
    }

    /** Whether somebody takes it, or has: what went with that is gone. */
    public boolean isAttached() {
        return taken;
    }

    /** Whether all has come. */
    public boolean isComplete() {
        return ended && whole;
    }

    /** How much has come that nobody has taken yet, in bytes. */
    public long bufferedBytes() {
        return bufferedBytes;
    }

    /** Takes what has come and what comes. */
    public void attach(Sink next) {
        taken = true;
        sink = next;
        deliver();
        if (!ended && !left && !paused) {
            source.setDemand(true);
        }
    }

    /** Tells whether the sink can take more at once. */
    public void setDemand(boolean more) {
        paused = !more;
        deliver();
        if (!ended && !left) {
            source.setDemand(!paused && held.isEmpty());
        }
    }

    /** Nobody takes the rest. */
    public void abandon() {
        if (left) {
            return;
        }
        left = true;
        taken = true;
        sink = null;
        release();
        if (!ended) {
            source.abandoned();
        }
    }

    private void release() {
        while (!held.isEmpty()) {
            held.pollFirst().release();
        }
        bufferedBytes = 0;
    }
}
