package ivybank.exchange;

/** The record that must be made of a request before its first byte is sent to a node. Used on the event loop alone. */
public interface SendRecord {

    /** Returns whether it is recorded that the request may be sent to nodes. */
    boolean isRecorded();

    /**
     * Makes the record, and later runs one of the two callbacks on the event loop. If it is called again meanwhile, the
     * callbacks of each call are run.
     */
    void record(Runnable recorded, Runnable failed);

    /** Notifies that an attempt is sent: from now on the request may run at a node. */
    void attemptStarted();

    /**
     * Notifies that a sent attempt has ended.
     *
     * @param provedNotRun whether that proves that it has not run
     */
    void attemptEnded(boolean provedNotRun);

    /** Notifies that a node served the request after its client had received another answer or had disconnected. */
    void servedLate(Answer answer);
}
