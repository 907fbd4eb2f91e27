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
 * A socket channel that retries a read or write after a transient error, where Netty would close the connection and lose
 * what is in progress on it. Reading pauses in between, because the selector would report the same socket again and again.
 */
public class RetryingSocketChannel extends NioSocketChannel {

    /** Fired in the pipeline when a read has failed and is to be retried. */
    public enum Event {
        READ_FAILED,
        /** Nothing can be read any more. The channel of an accepted connection stays open for answers; its owner closes it. */
        READ_ENDED
    }

    /** The result of polling a channel's input. */
    public enum ReadResult {
        /** All available input was read; the peer's end of stream, if it followed, has just been read as well. */
        EXHAUSTED,
        /** Data was read; more may follow. */
        MORE,
        /** Reading failed. */
        FAILED,
        /** Nothing is to be read at the moment, or the channel is closed. */
        NOT_READ
    }

    private static final long RETRY_DELAY_MS = 5;
    private static final int END_OF_STREAM = -1;
    /** The first such write finds the send buffer full; the next follows when the selector reports space. */
    private static final int MAX_WRITES_WITHOUT_PROGRESS = 2;
    /** The maximum number of consecutive reads in search of the end of the input. */
    private static final int MAX_READS = 8;

    private final TransientErrors readErrors;
    private final TransientErrors writeErrors;
    private boolean flushScheduled;
    /** The number of consecutive writes that wrote nothing. */
    private int writesWithoutProgress;
    /** Whether reading is temporarily deregistered from the selector. */
    private boolean readSuspended;

    private ReadResult lastRead = ReadResult.NOT_READ;
    /** Whether the last read returned less than it could have. */
    private boolean drained;

    private boolean hasRead;
    private boolean noDelaySet;
    private IOException writeError;
    private IOException readError;
    /** Whether the channel closes by itself when nothing can be read any more. */
    private final boolean closesOnReadError;

    /**
     * Creates a channel that is to be connected.
     *
     * @param maxRetryMs for how long consecutive failures are retried, in milliseconds
     */
    protected RetryingSocketChannel(double maxRetryMs) {
        this.closesOnReadError = true;
        this.readErrors = TransientErrors.untilPeerEnds(maxRetryMs);
        this.writeErrors = TransientErrors.untilPeerEnds(maxRetryMs);
    }

    /**
     * Creates a channel for an accepted connection. Its writes are retried whatever the error says: whether the peer has ended
     * the connection is known from reads.
     */
    protected RetryingSocketChannel(Channel parent, SocketChannel accepted, double maxRetryMs) {
        super(parent, accepted);
        this.closesOnReadError = false;
        this.readErrors = TransientErrors.untilPeerEnds(maxRetryMs);
        this.writeErrors = TransientErrors.untilClosed(maxRetryMs);
    }

    /**
     * Connects, reads and writes without a report of the selector: registering with it may have failed unnoticed. Must not
     * be called from within a read of this channel. Returns the result of the last read.
     */
    public final ReadResult poll() {
        NioUnsafe unsafe = unsafe();
        if (isConnectedUnreported()) {
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

    /** Polls, and renews the registration with the selector if it had not reported the input that was found. */
    public final ReadResult pollAndRearm() {
        ReadResult found = poll();
        if (found == ReadResult.MORE) {
            suspendReading();
        }
        return found;
    }

    /**
     * Reads until no input is left, at most {@link #MAX_READS} times, so that an end of stream behind other input is found
     * too.
     */
    public final ReadResult readUntilEmpty() {
        ReadResult found = poll();
        for (int reads = 1; found == ReadResult.MORE && reads < MAX_READS; reads++) {
            found = poll();
        }
        return found;
    }

    private boolean isConnectedUnreported() {
        try {
            return isOpen()
                    && javaChannel().isConnectionPending()
                    && javaChannel().finishConnect();
        } catch (IOException e) {
            return false; // the connect timeout handles it
        }
    }

    /** Returns whether anything has been read since the last call. */
    public final boolean getAndClearHasRead() {
        boolean read = hasRead;
        hasRead = false;
        return read;
    }

    @Override
    protected int doReadBytes(ByteBuf buffer) throws Exception {
        if (readError != null) {
            lastRead = ReadResult.FAILED;
            return 0;
        }
        try {
            int space = buffer.writableBytes();
            int count = super.doReadBytes(buffer);
            drained = count < space;
            if (count < END_OF_STREAM) { // Java returns another negative number for an interrupted read
                return readFailed();
            }
            readErrors.succeeded();
            hasRead |= count > 0;
            lastRead = count > 0 ? ReadResult.MORE : ReadResult.EXHAUSTED;
            return count;
        } catch (IOException e) {
            if (readErrors.shouldRetry(e, System.nanoTime())) {
                return readFailed();
            }
            if (closesOnReadError) {
                throw e;
            }
            return readEnded(e);
        }
    }

    private int readEnded(IOException error) {
        lastRead = ReadResult.FAILED;
        readError = error;
        readSuspended = true;
        removeAndSubmit(NioIoOps.READ);
        pipeline().fireUserEventTriggered(Event.READ_ENDED);
        return 0;
    }

    /** Returns whether the last successful read has left nothing in the socket. */
    public final boolean isDrained() {
        return drained;
    }

    /** Returns the error after which nothing can be read any more, or null. */
    public final IOException readError() {
        return readError;
    }

    private int readFailed() {
        lastRead = ReadResult.FAILED;
        suspendReading();
        pipeline().fireUserEventTriggered(Event.READ_FAILED);
        return 0;
    }

    /** Pauses reports of readable input by the selector; polling still reads. */
    private void suspendReading() {
        if (!readSuspended && isRegistered()) {
            readSuspended = true;
            removeAndSubmit(NioIoOps.READ);
            eventLoop().schedule(this::resumeReading, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void resumeReading() {
        readSuspended = readError != null;
        if (isActive() && config().isAutoRead()) {
            read();
        }
    }

    @Override
    protected void doBeginRead() throws Exception {
        if (!readSuspended) {
            super.doBeginRead();
        }
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws Exception {
        setNoDelay();
        Object first = out.current();
        long written = out.currentProgress();
        try {
            super.doWrite(out);
            writeErrors.succeeded();
            noteProgress(out.current() != first || out.currentProgress() != written || out.isEmpty());
        } catch (IOException e) {
            boolean peerEnded = readError != null && TransientErrors.isEndOfPeer(e);
            if (peerEnded || !writeErrors.shouldRetry(e, System.nanoTime())) {
                writeError = e;
                throw e;
            }
            flushLater();
        }
    }

    /**
     * Pauses writing after repeated writes without progress, which would keep the event loop busy: Java reports an
     * interrupted write as a full send buffer, and the selector reports at once that there is space.
     */
    private void noteProgress(boolean progress) {
        writesWithoutProgress = progress ? 0 : writesWithoutProgress + 1;
        if (writesWithoutProgress == MAX_WRITES_WITHOUT_PROGRESS) {
            writesWithoutProgress = 0;
            removeAndSubmit(NioIoOps.WRITE);
            flushLater();
        }
    }

    /**
     * Disables Nagle's algorithm. It is not an option of the bootstrap, because Netty closes a channel whose options can't
     * be set.
     */
    private void setNoDelay() {
        if (noDelaySet) {
            return;
        }
        try {
            javaChannel().setOption(StandardSocketOptions.TCP_NODELAY, true);
            noDelaySet = true;
        } catch (IOException e) {
            // retried with the next write
        }
    }

    /** Returns the error of a write that has ended the connection, or null. */
    public final IOException writeError() {
        return writeError;
    }

    /** Returns whether bytes are waiting to be written. */
    public final boolean hasPendingWrites() {
        ChannelOutboundBuffer pending = unsafe().outboundBuffer();
        return pending != null && !pending.isEmpty();
    }

    private void flushLater() {
        if (!flushScheduled) {
            flushScheduled = true;
            eventLoop().schedule(this::flushAgain, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void flushAgain() {
        flushScheduled = false;
        if (isActive()) {
            unsafe().forceFlush();
        }
    }
}
