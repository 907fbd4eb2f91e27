package ivybank.client;

/**
 * What a client connection still owes to its client at one moment.
 *
 * @param callId the ID of the request in progress, or null
 * @param queued whether further requests wait behind it
 * @param partial whether a part of a request has been received
 * @param answerStarted whether a part of the answer has been handed to the socket, and more is to follow
 * @param answerUnwritten whether bytes of an answer wait to be written
 */
record UnansweredState(String callId, boolean queued, boolean partial, boolean answerStarted, boolean answerUnwritten) {

    /** Returns whether a request that was received has no whole answer yet. */
    boolean isOwed() {
        return callId != null || queued || answerStarted || answerUnwritten;
    }
}
