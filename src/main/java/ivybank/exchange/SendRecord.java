package ivybank.exchange;

/** What must be on record of a request before its first byte goes to a node. Used on the event loop alone. */
public interface SendRecord {

    /** Whether it is on record that the request may go to nodes. */
    boolean isRecorded();

    /** Puts it on record, and runs one of the two later on the event loop; asked again meanwhile, each is told. */
    void record(Runnable recorded, Runnable failed);

    /** An attempt goes out: from now on the request may run at a node. */
    void attemptStarted();

    /** An attempt that went out has ended; {@code proved} if that proves that it has not run. */
    void attemptEnded(boolean proved);

    /** A node has served it after its client was told something else, or had left. */
    void servedLate(Answer answer);
}
