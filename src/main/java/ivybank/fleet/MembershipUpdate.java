package ivybank.fleet;

/**
 * One update on a member, as messages carry it. An announcement comes from the member itself, at first hand or passed
 * on. An accusation names who makes it: {@link Kind#SUSPECT} says that the member does not answer, {@link
 * Kind#DECLARED_DEAD} that its present incarnation has ended.
 *
 * @param memberIndex index of the member in the list of addresses, which all sidecars have in the same order
 * @param incarnation rises with each start and each return of the member, 48 bits
 * @param version rises within an incarnation with each announcement of the member, 16 bits
 * @param state of an announcement, and {@link MemberState#LEFT} or {@link MemberState#DEAD} in a declaration of death
 * @param name empty in accusations
 * @param zone empty in accusations, or where there are none
 * @param accuser index of the accusing member; -1 in announcements
 */
public record MembershipUpdate(
        Kind kind,
        int memberIndex,
        long incarnation,
        int version,
        MemberState state,
        String name,
        String zone,
        int accuser) {

    private static final int NO_ACCUSER = -1;

    /** The kinds of updates, in the order of the wire format. */
    public enum Kind {
        ANNOUNCEMENT,
        SUSPECT,
        DECLARED_DEAD
    }

    /** What a member announces of itself. */
    public static MembershipUpdate announcement(
            int memberIndex, long incarnation, int version, MemberState state, String name, String zone) {
        return new MembershipUpdate(
                Kind.ANNOUNCEMENT, memberIndex, incarnation, version, state, name, zone, NO_ACCUSER);
    }

    /** An accusation by a member that got no answer. */
    public static MembershipUpdate suspect(int memberIndex, long incarnation, int version, int accuser) {
        return new MembershipUpdate(
                Kind.SUSPECT, memberIndex, incarnation, version, MemberState.READY, "", "", accuser);
    }

    /** An accusation by a member whose suspicion ran out, or that passes on that the member has left. */
    public static MembershipUpdate declaredDead(
            int memberIndex, long incarnation, int version, MemberState state, int accuser) {
        return new MembershipUpdate(Kind.DECLARED_DEAD, memberIndex, incarnation, version, state, "", "", accuser);
    }

    /** This announcement of a member's end as an accusation, since it did not come from the member itself. */
    MembershipUpdate asDeclaredDead(int by) {
        return declaredDead(memberIndex, incarnation, version, state, by);
    }

    boolean isAccusation() {
        return kind != Kind.ANNOUNCEMENT;
    }

    /** Whether this update is of a later incarnation, or of a later version of the same one. */
    boolean supersedes(long otherIncarnation, int otherVersion) {
        return incarnation > otherIncarnation || incarnation == otherIncarnation && version > otherVersion;
    }
}
