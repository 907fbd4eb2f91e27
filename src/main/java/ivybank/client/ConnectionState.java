package ivybank.client;

/** What a client connection is doing, for the log. */
enum ConnectionState {
    /** Nothing has been received that is not answered. */
    IDLE,
    /** A part of a head, or of a body that is kept whole, has been received. */
    RECEIVING,
    /** A request is in progress. */
    IN_PROGRESS,
    /** A long answer is being written. */
    ANSWERING
}
