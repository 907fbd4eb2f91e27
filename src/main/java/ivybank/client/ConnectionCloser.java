package ivybank.client;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import ivybank.invariants.InvariantGuard;
import ivybank.transport.RetryingSocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Ends one client connection; nothing else in this process does. An unused connection is closed right after its socket was
 * found empty. Behind an answer the sending side is closed first and input is read on for a moment, since a close over unread
 * input resets the connection and may take the answer along.
 */
final class ConnectionCloser {

    /** How long input is read behind the last answer. */
    private static final long LINGER_MS = 100;
    /** The delay after which a reset that could not be prepared is tried again. */
    private static final long RETRY_DELAY_MS = 5;

    private final ChannelHandlerContext context;
    private final InvariantGuard guard;
    private final BooleanSupplier owed;
    private boolean ending;
    private EndReason reason;
    private Throwable error;

    /** @param owed whether a request that was received on the connection has no answer yet */
    ConnectionCloser(ChannelHandlerContext context, InvariantGuard guard, BooleanSupplier owed) {
        this.context = context;
        this.guard = guard;
        this.owed = owed;
    }

    /** Returns whether this side is ending the connection. */
    boolean isEnding() {
        return ending;
    }

    /** Returns why the connection is ending or has ended. */
    EndReason reason() {
        if (reason != null) {
            return reason;
        }
        return writeError() == null ? EndReason.CLIENT_CLOSED : EndReason.WRITE_FAILED;
    }

    /** Returns the error that has ended the connection, or null. */
    Throwable error() {
        return error == null ? writeError() : error;
    }

    private Throwable writeError() {
        return context.channel() instanceof RetryingSocketChannel channel ? channel.writeError() : null;
    }

    /**
     * Reads what is in the socket, and passes it on to the pipeline.
     *
     * @return whether nothing is left in it; false if that can't be told at the moment
     */
    boolean emptySocket() {
        return !(context.channel() instanceof RetryingSocketChannel channel)
                || channel.readUntilEmpty() == RetryingSocketChannel.ReadResult.EXHAUSTED;
    }

    /**
     * Closes a connection whose socket has just been found empty, unless an answer is owed on it. The sending side is shut down
     * first, which is one system call: a close makes others before it ends the connection, and a request may arrive meanwhile.
     */
    void closeUnused(EndReason why) {
        if (begin(why, false)) {
            shutdownOutput();
            close();
        }
    }

    /** Ends the connection once this answer, its last, has been written. */
    void endAfter(ChannelFuture written, EndReason why) {
        if (begin(why, false)) {
            written.addListener(done -> {
                if (done.isSuccess()) {
                    halfClose();
                } else {
                    close();
                }
            });
        }
    }

    /** Closes the sending side, and the socket a moment later unless the client closes it before. */
    private void halfClose() {
        if (!shutdownOutput()) {
            close();
            return;
        }
        context.channel().config().setAutoRead(true);
        context.executor().schedule(this::close, LINGER_MS, TimeUnit.MILLISECONDS);
    }

    /** Closes the sending side; returns false if the connection has none or has ended. */
    private boolean shutdownOutput() {
        if (!(context.channel() instanceof SocketChannel socket) || !socket.isActive()) {
            return false;
        }
        socket.shutdownOutput();
        return true;
    }

    /** Ends the connection once all answers have been written. */
    void endAfterAnswers(EndReason why) {
        endAfter(context.writeAndFlush(Unpooled.EMPTY_BUFFER), why);
    }

    /** Resets the connection, so that its client can tell that the answer is not whole. */
    void reset(EndReason why) {
        begin(why, true);
        if (!context.channel().isOpen()) {
            return;
        }
        try {
            context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) { // an orderly end could be taken for the end of the answer
            context.executor().schedule(() -> reset(why), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            return;
        }
        close();
    }

    /**
     * Closes a connection on which nothing can be answered any more.
     *
     * @param cause the error, or null
     */
    void abort(EndReason why, Throwable cause) {
        failed(why, cause);
        begin(why, true);
        close();
    }

    /** Records the error for which the connection ends once everything owed on it is answered. */
    void failed(EndReason why, Throwable cause) {
        reason = reason == null ? why : reason;
        error = error == null ? cause : error;
    }

    private boolean begin(EndReason why, boolean broken) {
        if (!guard.checkClose(owed.getAsBoolean(), broken).isAllowed()) {
            return false;
        }
        ending = true;
        reason = reason == null ? why : reason;
        return true;
    }

    private void close() {
        context.close();
    }
}
