package ivybank.client;

/** Why a client connection has ended. */
enum EndReason {
    /** The client has closed or reset it. */
    CLIENT_CLOSED,
    /** Reads failed for too long, or with an error that ends the connection. */
    READ_FAILED,
    /** Writes failed for too long, or with an error that ends the connection. */
    WRITE_FAILED,
    /** An unexpected error in this program. */
    INTERNAL_ERROR,
    /** It was unused while many connections were open. */
    SURPLUS,
    /** Nothing was received on it for too long. */
    IDLE_TIMEOUT,
    /** It was unused while the process shut down or was on standby. */
    DRAIN,
    /** A request on it was partial or unreadable for too long. */
    REQUEST_TIMEOUT,
    /** Its last answer, which announced the end, has been written. */
    LAST_ANSWER,
    /** An answer that was being forwarded broke off. */
    ANSWER_INCOMPLETE,
    /** The client has stopped reading an answer or sending a request. */
    CLIENT_STALLED
}
