package ivybank.daemon;

import ivybank.client.ClientServer;

/**
 * The shares of the process's file descriptors.
 *
 * @param total the descriptors for the connections of both sides together
 * @param upstreams the maximum for connections to upstreams
 * @param clients the limits on client connections: accepted, served, and waiting for requests
 */
record DescriptorShares(int total, int upstreams, ClientServer.Limits clients) {

    /** Descriptors for the listener, discovery, files and the selector. */
    private static final int RESERVED = 24;
    /**
     * The fractions of the remaining descriptors. They add up to more than 1: one side can use what the other leaves.
     */
    private static final double UPSTREAM_FRACTION = 0.5;

    private static final double CLIENT_FRACTION = 0.7;
    /**
     * The fraction of all descriptors up to which no client connection is closed early. The client may use a third for
     * requests and must not run out of connections.
     */
    private static final double EVICTION_THRESHOLD_FRACTION = 0.31;

    private static final int REQUEST_DIVISOR = 3;
    /** The fraction of the accepted client connections that only receive a refusal. */
    private static final double REFUSED_FRACTION = 0.06;

    /**
     * Returns the shares of a process.
     *
     * @param descriptors the maximum number of descriptors of the process
     */
    static DescriptorShares of(int descriptors) {
        return of(descriptors, Integer.MAX_VALUE);
    }

    /**
     * Returns the shares of a process.
     *
     * @param descriptors the maximum number of descriptors of the process
     * @param maxClients the client connections for which there is memory
     */
    static DescriptorShares of(int descriptors, int maxClients) {
        int total = Math.max(2, descriptors - RESERVED);
        int maxAccepted = Math.max(1, Math.min(maxClients, (int) (total * CLIENT_FRACTION)));
        int maxServed = maxAccepted - Math.max(1, (int) (maxAccepted * REFUSED_FRACTION));
        int evictionThreshold = Math.min(maxServed, (int) (descriptors * EVICTION_THRESHOLD_FRACTION));
        int requestConnections = Math.max(2, descriptors / REQUEST_DIVISOR);
        return new DescriptorShares(
                total,
                Math.max(1, (int) (total * UPSTREAM_FRACTION)),
                new ClientServer.Limits(evictionThreshold, maxServed, maxAccepted, requestConnections));
    }
}
