package ivybank.discovery;

import ivybank.transport.RetryingSocketChannel;

/** A connection to discovery. */
public final class DiscoverySocketChannel extends RetryingSocketChannel {

    /**
     * As long as a watch may be silent. What discovery has told stands in the socket meanwhile, and would be lost with it; another
     * call fares no better, for Linux reports an error of one connection once.
     */
    private static final double LONGEST_FAILURE_MS = 3000;

    public DiscoverySocketChannel() {
        super(LONGEST_FAILURE_MS);
    }
}
