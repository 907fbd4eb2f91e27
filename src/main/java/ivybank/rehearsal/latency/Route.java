package ivybank.rehearsal.latency;

/** The way that a request takes to a node. */
public enum Route {
    /** From the client to a node, with nothing between. */
    DIRECT,
    /** From the client to the sidecar, and from there to a node that the sidecar picks. */
    THROUGH
}
