package ivybank.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * A socket channel that tries a read or write again that failed for a moment, where Netty closes the connection at once and
 * loses what is in hand on it. Reading pauses in between, for the selector would report the same again and again.
 */
public class RetryingSocketChannel extends NioSocketChannel {

    /** Fired in the pipeline when a read has failed and is tried again. */
    public enum Event {
        READ_FAILED
    }

    /** What a look at a channel's input has found. */
    public enum ReadResult {
        /** All that has come was read, and the peer goes on or its end has just been read. */
        EXHAUSTED,
        /** Something was read; more may stand behind it. */
        MORE,
        /** Reading failed. */
        FAILED,
        /** Nothing is to be read at the moment, or the channel has ended. */
        NOT_READ
    }

    private static final long PAUSE_MS = 5;
    private static final int END_OF_STREAM = -1;
    /** The first one finds no room; the next is made when the selector reports some. */
    private static final int MOST_FRUITLESS_WRITES = 2;
    /** So many reads in a row are made in search of the end of what has come. */
    private static final int MOST_READS = 8;

    private final TransientErrors readErrors;
    private final TransientErrors writeErrors;
    private boolean flushScheduled;
    /** Writes in a row that have taken nothing. */
    private int fruitlessWrites;
    /** Whether it is left out of the selector for a moment, as far as reading is concerned. */
    private boolean suspended;

    private ReadResult lastRead = ReadResult.NOT_READ;
    private boolean hasRead;
    private boolean sendsAtOnce;

    /**
     * One that is to be connected.
     *
     * @param longestMs for how long failures in a row are borne, in milliseconds
     */
    protected RetryingSocketChannel(double longestMs) {
        this.readErrors = new TransientErrors(longestMs);
        this.writeErrors = new TransientErrors(longestMs);
    }

    /** One that was accepted. */
    protected RetryingSocketChannel(Channel parent, SocketChannel accepted, double longestMs) {
        super(parent, accepted);
        this.readErrors = new TransientErrors(longestMs);
        this.writeErrors = new TransientErrors(longestMs);
    }

    /**
     * Connects, reads and writes without being told that it is possible: a registration with the selector may have failed
     * unseen. Not from within a read of this channel. Returns what the last read found.
     */
    public final ReadResult poll() {
        NioUnsafe unsafe = unsafe();
        if (hasConnectedUntold()) {
            removeAndSubmit(NioIoOps.CONNECT); // the selector would report it in each pass
            unsafe.finishConnect();
        }
        lastRead = ReadResult.NOT_READ;
        if (isActive() && config().isAutoRead()) {
            unsafe.read();
        }
        ReadResult found = lastRead;
        if (isActive() && hasPendingWrites()) {
            unsafe.forceFlush();
        }
        return found;
    }

    /** Polls, and has the selector told anew what this channel waits for where it had not told of what came. */
    public final ReadResult pollAndRearm() {
        ReadResult found = poll();
        if (found == ReadResult.MORE) {
            suspendReading();
        }
        return found;
    }

    /** Reads until nothing is left, or so often: what stands behind something else, an end above all, is found too. */
    public final ReadResult readUntilEmpty() {
        ReadResult found = poll();
        for (int reads = 1; found == ReadResult.MORE && reads < MOST_READS; reads++) {
            found = poll();
        }
        return found;
    }

    private boolean hasConnectedUntold() {
        try {
            return isOpen()
                    && javaChannel().isConnectionPending()
                    && javaChannel().finishConnect();
        } catch (IOException e) {
            return false; // the time that a connection has to come up tells it
        }
    }

    /** Whether anything has been read since this was asked last. */
    public final boolean getAndClearHasRead() {
        boolean read = hasRead;
        hasRead = false;
        return read;
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        try {
            int count = super.doReadBytes(into);
            if (count < END_OF_STREAM) { // Java hands back an interrupted read as another negative number
                return readFailed();
            }
            readErrors.succeeded();
            hasRead |= count > 0;
            lastRead = count > 0 ? ReadResult.MORE : ReadResult.EXHAUSTED;
            return count;
        } catch (IOException e) {
            if (!readErrors.bears(e, System.nanoTime())) {
                throw e;
            }
            return readFailed();
        }
    }

    private int readFailed() {
        lastRead = ReadResult.FAILED;
        suspendReading();
        pipeline().fireUserEventTriggered(Event.READ_FAILED);
        return 0;
    }

    /** Has the selector report nothing to read for a moment; polling goes on reading. */
    private void suspendReading() {
        if (!suspended && isRegistered()) {
            suspended = true;
            removeAndSubmit(NioIoOps.READ);
            eventLoop().schedule(this::resumeReading, PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void resumeReading() {
        suspended = false;
        if (isActive() && config().isAutoRead()) {
            read();
        }
    }

    @Override
    protected void doBeginRead() throws Exception {
        if (!suspended) {
            super.doBeginRead();
        }
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws Exception {
        sendAtOnce();
        Object first = out.current();
        long written = out.currentProgress();
        try {
            super.doWrite(out);
            writeErrors.succeeded();
            noteProgress(out.current() != first || out.currentProgress() != written || out.isEmpty());
        } catch (IOException e) {
            if (!writeErrors.bears(e, System.nanoTime())) {
                throw e;
            }
            flushLater();
        }
    }

    /**
     * Guards the event loop against a write that is interrupted again and again: Java tells it as if there were no room, and the
     * selector reports at once that there is.
     */
    private void noteProgress(boolean progress) {
        fruitlessWrites = progress ? 0 : fruitlessWrites + 1;
        if (fruitlessWrites == MOST_FRUITLESS_WRITES) {
            fruitlessWrites = 0;
            removeAndSubmit(NioIoOps.WRITE);
            flushLater();
        }
    }

    /** Has small writes sent at once. Not an option of the bootstrap: Netty closes a channel whose options can't be set. */
    private void sendAtOnce() {
        if (sendsAtOnce) {
            return;
        }
        try {
            javaChannel().setOption(StandardSocketOptions.TCP_NODELAY, true);
            sendsAtOnce = true;
        } catch (IOException e) {
            // Tried again with the next write.
        }
    }

    /** Whether bytes wait to be written. */
    public final boolean hasPendingWrites() {
        ChannelOutboundBuffer pending = unsafe().outboundBuffer();
        return pending != null && !pending.isEmpty();
    }

    private void flushLater() {
        if (!flushScheduled) {
            flushScheduled = true;
            eventLoop().schedule(this::flushAgain, PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void flushAgain() {
        flushScheduled = false;
        if (isActive()) {
            unsafe().forceFlush();
        }
    }
}
