package ivybank.upstream;

/** A reason of this program to end an attempt, for the log. */
enum LocalEndReason {
    /** The time of the attempt is over. */
    TIMEOUT("its time is over"),
    /** The end of a short answer that is being forwarded is overdue. */
    ANSWER_END("its answer has no end in time"),
    /** The node takes nothing of a long request. */
    UPLOAD_STALL("its node reads nothing"),
    /** The answer has to be kept until it is recorded, and there is no memory for it. */
    NO_MEMORY("there is no memory for its answer");

    private final String reason;

    LocalEndReason(String reason) {
        this.reason = reason;
    }

    @Override
    public String toString() {
        return reason;
    }
}
