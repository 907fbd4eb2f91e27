package ivybank.client;

import ivybank.exchange.ClientRequest;

/**
 * A received request, or the status with which one that is not forwarded is answered. Arrivals are compared by reference:
 * two with equal components are still two.
 *
 * @param request the request, or null if it is not forwarded
 * @param status the status of the answer if it is not forwarded
 * @param keepAlive whether the connection may be kept open after the answer
 * @param http10 whether the request is HTTP/1.0, which has no chunked coding
 */
record Arrival(ClientRequest request, int status, boolean keepAlive, boolean http10) {

    /** A request beyond what may wait or be kept; it is refused. */
    static final Arrival SURPLUS = new Arrival(null, HttpStatus.SERVICE_UNAVAILABLE, true);
    /** The last such request that is answered; the connection is closed after it. */
    static final Arrival LAST_SURPLUS = new Arrival(null, HttpStatus.SERVICE_UNAVAILABLE, false);

    Arrival(ClientRequest request, int status, boolean keepAlive) {
        this(request, status, keepAlive, false);
    }

    @SuppressWarnings("ReferenceEquality") // the two constants are compared by reference
    boolean isSurplus() {
        return this == SURPLUS || this == LAST_SURPLUS;
    }

    /** Drops what is held of the request, which is answered or can't be answered any more. */
    void release() {
        if (request != null) {
            request.release();
        }
    }
}
