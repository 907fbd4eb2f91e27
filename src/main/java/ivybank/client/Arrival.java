package ivybank.client;

import ivybank.exchange.ClientRequest;

/**
 * A request as it came, or what is owed to one that is not passed on. Two arrivals of equal parts are still two.
 *
 * @param request the request, or null where it is not passed on
 * @param status what it is answered with where it is not passed on
 * @param keepAlive whether its connection may go on after the answer
 * @param old whether it came in HTTP/1.0, which has no chunks
 */
record Arrival(ClientRequest request, int status, boolean keepAlive, boolean old) {

    /** One that is more than may wait. */
    static final Arrival SURPLUS = new Arrival(null, HttpStatus.UNAVAILABLE, true);
    /** The last of those that is answered. */
    static final Arrival LAST_SURPLUS = new Arrival(null, HttpStatus.UNAVAILABLE, false);

    /** What a request holds beside its body, in bytes. */
    private static final int REQUEST_BYTES = 1024;

    Arrival(ClientRequest request, int status, boolean keepAlive) {
        this(request, status, keepAlive, false);
    }

    @SuppressWarnings("ReferenceEquality") // the two are known by what they are, not by their parts
    boolean isSurplus() {
        return this == SURPLUS || this == LAST_SURPLUS;
    }

    /** What it holds while it waits. */
    long bytes() {
        return (long) REQUEST_BYTES + (request == null ? 0 : request.body().length);
    }
}
