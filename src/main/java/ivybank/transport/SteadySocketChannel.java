package ivybank.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * A socket channel that tries a read or write again that failed for a moment, where Netty closes the connection at once and
 * loses what is in hand on it. Reading pauses in between, for the selector would report the same again and again.
 */
public class SteadySocketChannel extends NioSocketChannel {

    /** Fired in the pipeline when a read has failed and is tried again. */
    public enum Event {
        READ_FAILED
    }

    private static final long PAUSE_MS = 5;

    private final TransientErrors readErrors;
    private final TransientErrors writeErrors;
    private boolean flushScheduled;
    private boolean hasRead;

    /**
     * One that is to be connected.
     *
     * @param longestMs for how long failures in a row are borne, in milliseconds
     */
    protected SteadySocketChannel(double longestMs) {
        this.readErrors = new TransientErrors(longestMs);
        this.writeErrors = new TransientErrors(longestMs);
    }

    /** One that was accepted. */
    protected SteadySocketChannel(Channel parent, SocketChannel accepted, double longestMs) {
        super(parent, accepted);
        this.readErrors = new TransientErrors(longestMs);
        this.writeErrors = new TransientErrors(longestMs);
    }

    /** Reads and writes without being told that it is possible: a registration with the selector may have failed unseen. */
    public final void poll() {
        NioUnsafe unsafe = unsafe();
        if (isActive() && config().isAutoRead()) {
            unsafe.read();
        }
        if (isActive()
                && unsafe.outboundBuffer() != null
                && !unsafe.outboundBuffer().isEmpty()) {
            unsafe.forceFlush();
        }
    }

    /** Whether anything has been read since this was asked last. */
    public final boolean takeHasRead() {
        boolean read = hasRead;
        hasRead = false;
        return read;
    }

    /** Has the selector told anew what this channel waits for. */
    public final void rearm() {
        pauseReading();
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        try {
            int count = super.doReadBytes(into);
            readErrors.succeeded();
            hasRead |= count > 0;
            return count;
        } catch (IOException e) {
            if (!readErrors.bears(e, System.nanoTime())) {
                throw e;
            }
            pauseReading();
            pipeline().fireUserEventTriggered(Event.READ_FAILED);
            return 0;
        }
    }

    /** Reads nothing for a moment; whoever else sets whether it reads has the last word. */
    private void pauseReading() {
        if (config().isAutoRead()) {
            config().setAutoRead(false);
            eventLoop().schedule(() -> config().setAutoRead(true), PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws Exception {
        try {
            super.doWrite(out);
            writeErrors.succeeded();
        } catch (IOException e) {
            if (!writeErrors.bears(e, System.nanoTime())) {
                throw e;
            }
            flushLater();
        }
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
