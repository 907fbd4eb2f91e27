package ivybank.exchange;

import io.netty.handler.codec.http.HttpMethod;

/**
 * A client's request as it goes on to upstreams; {@code idempotencyKey} is null where it came without one, {@code identity}
 * where it has none or nobody asks for it, {@code record} where nothing need be on record before it is sent. Of a long one {@code body} is the beginning and
 * {@code rest} what is still to come, {@code length} that of all or -1 where only its end will tell; its time counts from its
 * last byte, which comes after {@code arrivedMs}: when it was read. {@code earliestArrivalMs}: since when it may have stood in a
 * socket that could not be read before that. {@code client} is the connection on which it came.
 */
public record ClientRequest(
        HttpMethod method,
        String uri,
        String callId,
        String idempotencyKey,
        byte[] body,
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
            boolean repeat,
            double arrivedMs,
            double budgetMs,
            String identity,
            SendRecord record) {
        this(
                method,
                uri,
                callId,
                idempotencyKey,
                body,
                requestClass,
                tenant,
                repeat,
                arrivedMs,
                arrivedMs,
                budgetMs,
                identity,
                record,
                null,
                body.length,
                ClientLink.NONE);
    }

    /** Whether its last byte has not come yet. */
    public boolean isIncomplete() {
        return remainingBody != null && !remainingBody.isComplete();
    }

    /** The same, to be on record before it is sent. */
    public ClientRequest withSendRecord(SendRecord kept) {
        return new ClientRequest(
                method,
                uri,
                callId,
                idempotencyKey,
                body,
                requestClass,
                tenant,
                clientRetry,
                arrivedMs,
                earliestArrivalMs,
                budgetMs,
                identity,
                kept,
                remainingBody,
                contentLength,
                client);
    }
}
