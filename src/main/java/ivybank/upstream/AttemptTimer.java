package ivybank.upstream;

/** A timer of this program that ends an attempt, for the log. */
enum AttemptTimer {
    /** The time of the attempt is over. */
    TIMEOUT("its time is over"),
    /** The end of a short answer that is being forwarded is overdue. */
    ANSWER_END("its answer has no end in time"),
    /** The node takes nothing of a long request. */
    UPLOAD_STALL("its node reads nothing");

    private final String reason;

    AttemptTimer(String reason) {
        this.reason = reason;
    }

    @Override
    public String toString() {
        return reason;
    }
}
