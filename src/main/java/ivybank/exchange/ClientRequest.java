package ivybank.exchange;

import io.netty.handler.codec.http.HttpMethod;

/**
 * A client's request as it goes on to upstreams; {@code idempotencyKey} is null where it came without one, {@code identity}
 * where it has none or nobody asks for it, {@code record} where nothing need be on record before it is sent.
 */
public record ClientRequest(HttpMethod method, String uri, String callId, String idempotencyKey, byte[] body,
                     int requestClass, int tenant, boolean repeat, double arrivedMs, double budgetMs, String identity,
                     SendRecord record) {

    /** The same, to be on record before it is sent. */
    public ClientRequest with(SendRecord kept) {
        return new ClientRequest(method, uri, callId, idempotencyKey, body, requestClass, tenant, repeat, arrivedMs, budgetMs,
                identity, kept);
    }
}
