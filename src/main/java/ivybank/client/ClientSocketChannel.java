package ivybank.client;

import io.netty.channel.Channel;
import ivybank.transport.RetryingSocketChannel;

/** A connection that a client has made. */
final class ClientSocketChannel extends RetryingSocketChannel {

    /** As long as a client that says nothing is kept: one on which no read succeeds says no more. */
    private static final double LONGEST_FAILURE_MS = 2500;

    private final AcceptedConnection accepted;

    ClientSocketChannel(Channel parent, AcceptedConnection accepted) {
        super(parent, accepted.socket(), LONGEST_FAILURE_MS);
        this.accepted = accepted;
    }

    /** The connection as it was accepted. */
    AcceptedConnection accepted() {
        return accepted;
    }
}
