package ivybank.discovery;

import ivybank.transport.RetryingSocketChannel;

/** A socket channel to discovery. */
public final class DiscoverySocketChannel extends RetryingSocketChannel {

    /**
     * The silence timeout of a watch. Until then, what discovery has sent waits in the socket and would be lost by closing it.
     * A new call would not help, because Linux reports an error of a connection only once.
     */
    private static final double MAX_READ_FAILURE_MS = 3000;

    public DiscoverySocketChannel() {
        super(MAX_READ_FAILURE_MS);
    }
}
