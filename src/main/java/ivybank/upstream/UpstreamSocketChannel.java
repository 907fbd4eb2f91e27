package ivybank.upstream;

import ivybank.transport.RetryingSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket channel to an upstream that can tell, without waiting for the event loop, whether it has unread input. */
public final class UpstreamSocketChannel extends RetryingSocketChannel {

    /** What the system holds for this channel and nobody has read. */
    enum UnreadInput {
        NONE,
        BYTES,
        /** The upstream has ended the connection, or it is broken. */
        END
    }

    /** An attempt on which nothing can be read any more has a time of its own. */
    private static final double LONGEST_FAILURE_MS = 1000;

    public UpstreamSocketChannel() {
        super(LONGEST_FAILURE_MS);
    }

    /**
     * Looks with one read that does not block. It takes what it finds, so that the channel has to be closed unless there is
     * none. On the channel's event loop only.
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
