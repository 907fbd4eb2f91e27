package ivybank.fleet;

/**
 * One thing said of a sidecar. A statement gives what it is; the sidecar itself is its source. An accusation gives who
 * doubts it: {@link Kind#SUSPECT} that it answers, {@link Kind#GAVE_UP} that it lives at all.
 *
 * @param seat its number in the list of addresses, which all sidecars have in the same order
 * @param life rises with each start and each return, 48 bits
 * @param turn rises within a life with each thing that it says of itself, 16 bits
 * @param name empty in accusations
 * @param zone empty in accusations, or where there are none
 * @param accuser the seat of who doubts; -1 in statements
 */
public record Word(Kind kind, int seat, long life, int turn, Standing standing, String name, String zone, int accuser) {

    /** What is said. The order is that of the layout on the wire. */
    public enum Kind {
        STATEMENT,
        SUSPECT,
        GAVE_UP
    }

    /** An accusation by one who has not heard it. */
    public static Word suspect(int seat, long life, int turn, int accuser) {
        return new Word(Kind.SUSPECT, seat, life, turn, Standing.READY, "", "", accuser);
    }

    /** An accusation by one who has given it up; {@code standing} is {@link Standing#LEFT} or {@link Standing#GONE}. */
    public static Word gaveUp(int seat, long life, int turn, Standing standing, int accuser) {
        return new Word(Kind.GAVE_UP, seat, life, turn, standing, "", "", accuser);
    }

    boolean accuses() {
        return kind != Kind.STATEMENT;
    }

    /** Whether what it says of a member is later than the given life and turn. */
    boolean after(long otherLife, int otherTurn) {
        return life > otherLife || life == otherLife && turn > otherTurn;
    }
}
