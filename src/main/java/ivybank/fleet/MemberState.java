package ivybank.fleet;

/** The state of a member of the fleet, in the order of the wire format. */
public enum MemberState {
    /** Started, not yet serving. */
    JOINING,
    /** Serving. */
    READY,
    /** Told to end, finishing what it has. */
    DRAINING,
    /** Ended, as announced by the member itself. */
    LEFT,
    /** Declared dead: it answered nobody. Comes back with a higher incarnation alone. */
    DEAD;

    /** Whether the member is a running process. */
    public boolean isAlive() {
        return this == JOINING || this == READY || this == DRAINING;
    }
}
