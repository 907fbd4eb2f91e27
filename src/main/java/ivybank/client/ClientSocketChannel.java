package ivybank.client;

import io.netty.channel.Channel;
import ivybank.transport.SteadySocketChannel;
import java.nio.channels.SocketChannel;

/** A connection that a client has made. */
final class ClientSocketChannel extends SteadySocketChannel {

    /** As long as a client that says nothing is kept: one on which no read succeeds says no more. */
    private static final double LONGEST_FAILURE_MS = 2500;

    ClientSocketChannel(Channel parent, SocketChannel accepted) {
        super(parent, accepted, LONGEST_FAILURE_MS);
    }
}
