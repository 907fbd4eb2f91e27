package ivybank.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import ivybank.transport.RetryingSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/** An accepted client connection. */
final class ClientSocketChannel extends RetryingSocketChannel {

    /** The time for which failing calls are retried: longer than any request may take, whose timeouts answer it before. */
    private static final double FAILURE_TIMEOUT_MS = 10_000;

    private final AcceptedConnection acceptedConnection;

    /** @throws ChannelException if the socket can't be set up now; it stays open, so that this can be tried again */
    ClientSocketChannel(Channel parent, AcceptedConnection accepted) {
        super(parent, nonBlocking(accepted.socket()), FAILURE_TIMEOUT_MS);
        this.acceptedConnection = accepted;
    }

    /** Makes a socket non-blocking. Netty would do this as well, but would close the socket if it fails. */
    private static SocketChannel nonBlocking(SocketChannel socket) {
        try {
            socket.configureBlocking(false);
        } catch (IOException e) {
            throw new ChannelException("an accepted socket can't be set up", e);
        }
        return socket;
    }

    /** Returns the connection as it was accepted. */
    AcceptedConnection acceptedConnection() {
        return acceptedConnection;
    }
}
