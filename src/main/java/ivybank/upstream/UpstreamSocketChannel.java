package ivybank.upstream;

import ivybank.transport.RetryingSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket channel to a node that can report, without waiting for the event loop, whether it has unread input. */
public final class UpstreamSocketChannel extends RetryingSocketChannel {

    /** The input that the operating system has buffered for a channel and that has not been read. */
    enum UnreadInput {
        NONE,
        BYTES,
        /** The node has closed the connection, or it is broken. */
        END
    }

    /** Short, because an attempt whose connection cannot be read has a timeout of its own. */
    private static final double MAX_READ_FAILURE_MS = 1000;

    public UpstreamSocketChannel() {
        super(MAX_READ_FAILURE_MS);
    }

    /**
     * Checks with one non-blocking read. The read consumes input that it finds, so the channel must be closed unless there is
     * none. Must be called on the event loop of the channel.
     */
    UnreadInput unreadInput() {
        try {
            int count = javaChannel().read(ByteBuffer.allocate(1));
            return count == 0 ? UnreadInput.NONE : count > 0 ? UnreadInput.BYTES : UnreadInput.END;
        } catch (IOException e) {
            return UnreadInput.END;
        }
    }
}
