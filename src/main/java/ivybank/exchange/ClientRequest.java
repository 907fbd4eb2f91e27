package ivybank.exchange;

import io.netty.handler.codec.http.HttpMethod;
import ivybank.memory.Reservation;

/**
 * A client's request to be forwarded to an upstream.
 *
 * @param method the HTTP method
 * @param uri the request target
 * @param callId the ID that the client gave it
 * @param idempotencyKey the key that identifies retries of it, or null
 * @param body the body; empty for a long one
 * @param memory the memory that the body takes, which each holder of the request releases
 * @param requestClass the index of its class
 * @param tenant the index of its tenant
 * @param clientRetry whether the client marked it as a retry
 * @param arrivedMs when it was read; the time of a long request counts from its last byte, which arrives later
 * @param earliestArrivalMs the earliest time at which it may have arrived, if its socket could not be read before that
 * @param budgetMs the time that the client allows, in milliseconds
 * @param identity the value that identifies it over all its retries; null if it has none or none is used
 * @param sendRecord the record that must be made before it is sent, or null
 * @param remainingBody a long body, or null
 * @param contentLength the length of the whole body in bytes, or -1 if it is unknown until its end
 * @param client the connection on which it was received
 */
public record ClientRequest(
        HttpMethod method,
        String uri,
        String callId,
        String idempotencyKey,
        byte[] body,
        Reservation memory,
        int requestClass,
        int tenant,
        boolean clientRetry,
        double arrivedMs,
        double earliestArrivalMs,
        double budgetMs,
        String identity,
        SendRecord sendRecord,
        BodyPipe remainingBody,
        long contentLength,
        ClientLink client) {

    public ClientRequest(
            HttpMethod method,
            String uri,
            String callId,
            String idempotencyKey,
            byte[] body,
            int requestClass,
            int tenant,
            boolean clientRetry,
            double arrivedMs,
            double budgetMs,
            String identity,
            SendRecord sendRecord) {
        this(
                method,
                uri,
                callId,
                idempotencyKey,
                body,
                Reservation.NONE,
                requestClass,
                tenant,
                clientRetry,
                arrivedMs,
                arrivedMs,
                budgetMs,
                identity,
                sendRecord,
                null,
                body.length,
                ClientLink.NONE);
    }

    /** Returns whether its last byte has not been received yet. */
    public boolean isIncomplete() {
        return remainingBody != null && !remainingBody.isComplete();
    }

    /**
     * Releases the memory of its body for the connection on which it was received, once it is answered or its client has
     * left: nothing of it is sent any more.
     */
    public void release() {
        memory.release();
        if (remainingBody != null) {
            remainingBody.abandon();
        }
    }

    /** Returns the same request with a record that must be made before it is sent. */
    public ClientRequest withSendRecord(SendRecord newSendRecord) {
        return new ClientRequest(
                method,
                uri,
                callId,
                idempotencyKey,
                body,
                memory,
                requestClass,
                tenant,
                clientRetry,
                arrivedMs,
                earliestArrivalMs,
                budgetMs,
                identity,
                newSendRecord,
                remainingBody,
                contentLength,
                client);
    }
}
