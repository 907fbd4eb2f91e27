package ivybank.discovery;

import ivybank.transport.SteadySocketChannel;

/** A connection to discovery. */
public final class DiscoverySocketChannel extends SteadySocketChannel {

    /** Less than a drain's grace: a call on which nothing can be read is followed by another one. */
    private static final double LONGEST_FAILURE_MS = 100;

    public DiscoverySocketChannel() {
        super(LONGEST_FAILURE_MS);
    }
}
