package ivybank.tally;

/** Told of what happens, for counts by the second; this one counts nothing. Used by one thread. */
public interface Tally {

    /** Counts nothing. */
    Tally NONE = new Tally() {};

    /** How an attempt is counted by the life of its node's process. */
    enum Age {
        /** Its process, or its return after it was out, is under two seconds old. */
        JUST_BACK,
        /** Still cold by the contract. */
        COLD,
        WARM;

        private static final double JUST_BACK_MS = 2000;

        /**
         * The state of a node by its age.
         *
         * @param ageMs since the start of the process, or since it was called back; infinite for long ago
         * @param coldMs after which it is warm
         */
        public static Age of(double ageMs, double coldMs) {
            return ageMs < JUST_BACK_MS ? JUST_BACK : ageMs < coldMs ? COLD : WARM;
        }
    }

    /** A connection to a node was begun. */
    default void connectionStarted(String node) {}

    /** One came up, or one that had come up has ended. */
    default void connectionsHeld(String node, int change) {}

    /** So many are idle at the end of the second. */
    default void connectionsIdle(String node, int count) {}

    /** One was refused, never came up, or broke before it was of use. */
    default void connectionFailed(String node) {}

    /** An attempt was sent. */
    default void attemptSent(String node, Age age) {}

    /** An attempt was turned away unseen. */
    default void attemptRejected(String node) {}

    /** An attempt got no answer in its time. */
    default void attemptTimedOut(String node) {}

    /** A client's request was taken. */
    default void requestTaken() {}

    /** A client's request is over: it has its final answer, or its client has left. */
    default void requestCompleted() {}

    /** One of those was served. */
    default void requestServed() {}

    /** A request, or an attempt of one, took so long in a stage. */
    default void stageCompleted(Stage stage, double ms) {}

    /** Discovery was called. */
    default void discoveryCalled() {}

    /** A call to discovery has ended without what was asked for; {@code how} is a word, such as a status. */
    default void discoveryCallFailed(String how) {}

    /** A list, or a change of it, was taken over, up to this version. */
    default void listUpdated(long version) {}
}
