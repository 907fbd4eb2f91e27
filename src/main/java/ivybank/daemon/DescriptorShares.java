package ivybank.daemon;

import ivybank.client.ClientServer;

/**
 * How the descriptors that a process may have are shared out.
 *
 * @param all those that connections may have, of both sides together
 * @param upstreams up to how many connections to upstreams may have
 * @param clients up to how many the client's connections are accepted, are served, and may wait for requests
 */
record DescriptorShares(int all, int upstreams, ClientServer.Limits clients) {

    /** For the listener, discovery, files and the selector. */
    private static final int RESERVED = 24;
    /** Of the other descriptors, together more than all: what one side leaves the other may use. */
    private static final double UPSTREAM_PART = 0.5;

    private static final double CLIENT_PART = 0.7;
    /** Of all descriptors: the client may have a third for requests, and must not run out of them. */
    private static final double COMFORTABLE_PART = 0.31;

    private static final int FOR_REQUESTS = 3;
    /** Of the client's: connections that are only told to come back. */
    private static final double REFUSED_PART = 0.06;

    /** @param descriptors that the process may have at most */
    static DescriptorShares of(int descriptors) {
        int all = Math.max(2, descriptors - RESERVED);
        int accepted = Math.max(1, (int) (all * CLIENT_PART));
        int served = accepted - Math.max(1, (int) (accepted * REFUSED_PART));
        int comfortable = Math.min(served, (int) (descriptors * COMFORTABLE_PART));
        int forRequests = Math.max(2, descriptors / FOR_REQUESTS);
        return new DescriptorShares(
                all,
                Math.max(1, (int) (all * UPSTREAM_PART)),
                new ClientServer.Limits(comfortable, served, accepted, forRequests));
    }
}
