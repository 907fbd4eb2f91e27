package ivybank.fleet;

/**
 * A change of a view, for the log.
 *
 * @param memberIndex index of the member that the change concerns
 * @param name of that member, empty where it is not known
 * @param incarnation of that member
 * @param description the rest of a sentence whose subject is the member
 */
public record MembershipEvent(Kind kind, int memberIndex, String name, long incarnation, String description) {

    /** What has changed. */
    public enum Kind {
        /** A member that was never known is alive. */
        JOINED,
        /** A live member has a new incarnation. */
        RESTARTED,
        /** A member that was declared dead or had left is alive again. */
        REJOINED,
        /** A live member announces another state. */
        STATE_CHANGED,
        /** A member is suspected by a first accuser. */
        SUSPECTED,
        /** A member's suspicion ran out. */
        DECLARED_DEAD,
        /** A member has left. */
        LEFT,
        /** This sidecar was declared dead, and goes on with a higher incarnation. */
        REFUTED,
        /** A member has this sidecar's name. */
        NAME_CONFLICT,
        /** A member passed on an accusation in this sidecar's name that it never made. */
        FORGERY,
        /** A member's accusations do not count for a while. */
        DISTRUSTED
    }
}
