package ivybank.promises;

/** The state of the request of an identity. */
public enum PromiseState {
    /** Pending; nothing was sent to a node. */
    TAKEN,
    /** Pending; it may run at a node. */
    SENT,
    /** Completed; its answer is recorded. */
    ACKED,
    /** Ended without an answer; it may have run. */
    IN_DOUBT
}
