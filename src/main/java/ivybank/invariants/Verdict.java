package ivybank.invariants;

/** The guard's decision on an action. */
public enum Verdict {
    /** The action may be performed. */
    ALLOWED(true, false),
    /** The list has not been confirmed within the time for which it may be used. */
    LIST_LAPSED(false, false),
    /** The client has no time left. */
    OUT_OF_TIME(false, false),
    /** The window in which nodes drop a repeat ended while the attempt waited. */
    WINDOW_OVER(false, false),
    /** The node drains or is gone. */
    NODE_LEFT(false, true),
    /** The request is answered, or its client has disconnected. */
    REQUEST_OVER(false, true),
    /** The request may have run, and must not run twice. */
    MAY_RUN_TWICE(false, true),
    /** The node would have been given more time than the client has left. */
    TOO_MUCH_TIME_TOLD(false, true),
    /** A request on the connection has no answer yet. */
    UNANSWERED(false, true),
    /** Clients would have been served before discovery was asked. */
    NOT_ASKED(false, true);

    private final boolean allowed;
    private final boolean violation;

    Verdict(boolean allowed, boolean violation) {
        this.allowed = allowed;
        this.violation = violation;
    }

    /** Returns whether the action may be performed. */
    public boolean isAllowed() {
        return allowed;
    }

    /**
     * Returns whether the caller should not have asked for the action; other denials result from time that passed while
     * something waited.
     */
    public boolean isViolation() {
        return violation;
    }
}
