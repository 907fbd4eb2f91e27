package ivybank.client;

import io.netty.channel.Channel;
import ivybank.transport.RetryingSocketChannel;

/** An accepted client connection. */
final class ClientSocketChannel extends RetryingSocketChannel {

    /** The time for which failing reads are retried: as long as a silent client is kept. */
    private static final double FAILURE_TIMEOUT_MS = 2500;

    private final AcceptedConnection acceptedConnection;

    ClientSocketChannel(Channel parent, AcceptedConnection accepted) {
        super(parent, accepted.socket(), FAILURE_TIMEOUT_MS);
        this.acceptedConnection = accepted;
    }

    /** Returns the connection as it was accepted. */
    AcceptedConnection acceptedConnection() {
        return acceptedConnection;
    }
}
