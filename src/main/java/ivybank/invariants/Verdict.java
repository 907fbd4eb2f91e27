package ivybank.invariants;

/** What the guard says of something that is about to happen. */
public enum Verdict {
    /** It may happen. */
    ALLOWED(true, false),
    /** The list has not been confirmed for as long as it may be gone by. */
    LIST_LAPSED(false, false),
    /** Its client has no time left. */
    OUT_OF_TIME(false, false),
    /** The window in which a repeat is dropped passed while the attempt waited. */
    WINDOW_OVER(false, false),
    /** The node drains or is gone. */
    NODE_LEFT(false, true),
    /** The request is answered, or its client has left. */
    REQUEST_OVER(false, true),
    /** It may have run, and must not run twice. */
    MAY_RUN_TWICE(false, true),
    /** More time was to be told to the node than the client has left. */
    TOO_MUCH_TIME_TOLD(false, true),
    /** A request in hand on the connection has no answer yet. */
    UNANSWERED(false, true),
    /** Clients were to be served before discovery was asked. */
    NOT_ASKED(false, true);

    private final boolean allowed;
    private final boolean violation;

    Verdict(boolean allowed, boolean violation) {
        this.allowed = allowed;
        this.violation = violation;
    }

    /** Whether it may happen. */
    public boolean isAllowed() {
        return allowed;
    }

    /** Whether whoever wanted it should have known better; the others come of time that passed while something waited. */
    public boolean isViolation() {
        return violation;
    }
}
