package ivybank.tally;

/** Receives the events that are counted by the second; the default methods count nothing. Used by one thread. */
public interface Tally {

    /** A tally that counts nothing. */
    Tally NONE = new Tally() {};

    /** The age class of the node that an attempt is sent to, by its process. */
    enum Age {
        /** Its process started, or the node returned to service, less than two seconds ago. */
        JUST_BACK,
        /** The node is still cold by the contract. */
        COLD,
        WARM;

        private static final double JUST_BACK_MS = 2000;

        /**
         * Returns the age class of a node.
         *
         * @param ageMs the time since the start of the process, or since the node's return to service; infinite for long ago
         * @param coldMs the age at which a node is warm
         */
        public static Age of(double ageMs, double coldMs) {
            return ageMs < JUST_BACK_MS ? JUST_BACK : ageMs < coldMs ? COLD : WARM;
        }
    }

    /** The opening of a connection to a node has started. */
    default void connectionStarted(String node) {}

    /** The number of connections that are open or being established has changed: one was started, or one has ended. */
    default void connectionsHeld(String node, int change) {}

    /** This many connections are idle at the end of the second. */
    default void connectionsIdle(String node, int count) {}

    /** A connection was refused, was never established, or broke before it was used. */
    default void connectionFailed(String node) {}

    /** An attempt was sent. */
    default void attemptSent(String node, Age age) {}

    /** An attempt was rejected unprocessed. */
    default void attemptRejected(String node) {}

    /** An attempt got no answer within its timeout. */
    default void attemptTimedOut(String node) {}

    /** A client request was accepted. */
    default void requestTaken() {}

    /** A client request has ended: it has its final answer, or its client has disconnected. */
    default void requestCompleted() {}

    /** A client request was served. */
    default void requestServed() {}

    /** A request, or an attempt of one, spent this long in a stage. */
    default void stageCompleted(Stage stage, double ms) {}

    /** A call to discovery was made. */
    default void discoveryCalled() {}

    /** A call to discovery has ended without a result; {@code how} is a token, such as a status. */
    default void discoveryCallFailed(String how) {}

    /** A list, or a change of it, was applied, up to this version. */
    default void listUpdated(long version) {}
}
