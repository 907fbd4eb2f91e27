package ivybank.tally;

/** The stages of a request in a sidecar, in the order in which it passes them. */
public enum Stage {
    /** From the request's last byte until its first attempt is started, where the decision module decided at once. */
    DECISION("decision"),
    /**
     * From the request's last byte until its first attempt is started, where the decision module queued the request
     * until a node had free capacity.
     */
    ROOM("room"),
    /** From the start of an attempt until it is written to an idle connection that had rested. */
    REUSE("reuse"),
    /** From the start of an attempt until it is written, where the attempt waited until a connection had rested. */
    REST("rest"),
    /**
     * From the start of an attempt until it is written, where the attempt was sent on a connection that had to be
     * established first.
     */
    CONNECT("connect"),
    /** From the write of an attempt until the head of its answer has arrived: the network and the node. */
    FIRST_BYTE("first-byte"),
    /** From the arrival of the answer's head until the answer is complete and its read has ended. */
    ANSWER_READ("answer-read"),
    /** From the end of the read that completed the answer until the answer is written to the client's connection. */
    ANSWER_WRITTEN("answer-written");

    private final String key;

    Stage(String key) {
        this.key = key;
    }

    /** Returns the stage's name in a log line and in JSON files. */
    public String key() {
        return key;
    }
}
