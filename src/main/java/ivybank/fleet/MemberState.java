package ivybank.fleet;

/** What a sidecar is to the fleet. The order is that of the layout on the wire. */
public enum MemberState {
    /** Started, not yet serving. */
    JOINING,
    /** Serving. */
    READY,
    /** Told to end, finishing what it has. */
    DRAINING,
    /** Ended, and has said so itself. */
    LEFT,
    /** Given up: it answers nobody. Back only with a higher life. */
    DEAD;

    /** Whether it is a process that runs. */
    public boolean isAlive() {
        return this == JOINING || this == READY || this == DRAINING;
    }
}
