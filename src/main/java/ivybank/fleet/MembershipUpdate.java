package ivybank.fleet;

/**
 * One thing said of a sidecar. A statement gives what it is; the sidecar itself is its source. An accusation gives who
 * doubts it: {@link Kind#SUSPECT} that it answers, {@link Kind#DECLARED_DEAD} that it lives at all.
 *
 * @param memberIndex its number in the list of addresses, which all sidecars have in the same order
 * @param incarnation rises with each start and each return, 48 bits
 * @param version rises within a life with each thing that it says of itself, 16 bits
 * @param name empty in accusations
 * @param zone empty in accusations, or where there are none
 * @param accuser the seat of who doubts; -1 in statements
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

    /** What is said. The order is that of the layout on the wire. */
    public enum Kind {
        ANNOUNCEMENT,
        SUSPECT,
        DECLARED_DEAD
    }

    /** An accusation by one who has not heard it. */
    public static MembershipUpdate suspect(int memberIndex, long incarnation, int version, int accuser) {
        return new MembershipUpdate(
                Kind.SUSPECT, memberIndex, incarnation, version, MemberState.READY, "", "", accuser);
    }

    /** An accusation by one who has given it up; {@code state} is {@link MemberState#LEFT} or {@link MemberState#DEAD}. */
    public static MembershipUpdate declaredDead(
            int memberIndex, long incarnation, int version, MemberState state, int accuser) {
        return new MembershipUpdate(Kind.DECLARED_DEAD, memberIndex, incarnation, version, state, "", "", accuser);
    }

    boolean isAccusation() {
        return kind != Kind.ANNOUNCEMENT;
    }

    /** Whether what it says of a member is later than the given life and turn. */
    boolean supersedes(long otherIncarnation, int otherVersion) {
        return incarnation > otherIncarnation || incarnation == otherIncarnation && version > otherVersion;
    }
}
