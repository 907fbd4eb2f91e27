package ivybank.tally;

/** The parts of a request's time in a sidecar, in the order in which it passes them. */
public enum Stage {
    /** From the request's last byte until its first attempt is begun, where the module decided at once. */
    DECISION("decision"),
    /** The same, where the module had the request wait until a node had room. */
    ROOM("room"),
    /** From an attempt's beginning until it is written to an idle connection that had rested. */
    REUSE("reuse"),
    /** The same, where the attempt waited until a connection had rested. */
    REST("rest"),
    /** The same, where the attempt went out on a connection that had to come up first. */
    CONNECT("connect"),
    /** From the write of an attempt until the head of its answer has come: the way and the node. */
    FIRST_BYTE("first-byte"),
    /** From there until the answer is whole and its read has ended. */
    ANSWER_READ("answer-read"),
    /** From there until the answer is written to the client's connection. */
    ANSWER_WRITTEN("answer-written");

    private final String word;

    Stage(String word) {
        this.word = word;
    }

    /** Its name in a line of the log. */
    public String word() {
        return word;
    }
}
