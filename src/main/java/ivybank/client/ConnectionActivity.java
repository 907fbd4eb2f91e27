package ivybank.client;

/**
 * What has been received on one client connection and when, and what follows from it: whether it has timed out, and whether it may
 * give way to others. Times are in milliseconds of the clock. Pure; used on one event loop.
 */
final class ConnectionActivity {

    /** The timeout for the first byte of a request on a new connection. */
    private static final double SILENT_TIMEOUT_MS = 2500;
    /**
     * The timeout for a request head, which a client may take 2 s to send; a body extends it at this minimum rate, half of
     * what a slow client sends.
     */
    private static final double PARTIAL_HEAD_TIMEOUT_MS = 2500;

    private static final double MIN_BODY_BYTES_PER_MS = 32;
    /** The timeout for a client that sends nothing more of a request: it is told within 3 s. */
    private static final double STOPPED_TIMEOUT_MS = 2700;

    private static final double IDLE_TIMEOUT_MS = 10_000;
    /** The time after which a silent connection is surplus and may be closed, if many connections are open. */
    private static final double SILENT_SURPLUS_MS = 600;
    /**
     * The time after which a connection with a partial request is surplus, counted from its last bytes, so that a client
     * that sends slowly keeps its connection and one that never finishes does not.
     */
    private static final double PARTIAL_SURPLUS_MS = 600;

    private static final double IDLE_SURPLUS_MS = 250;
    /** The time after which a connection that has carried one request is surplus, if clients do not reuse connections. */
    private static final double SINGLE_USE_SURPLUS_MS = 50;

    /** The time since when the client counts as waiting for this connection to be served. */
    private double connectedMs;
    /** The time since when no request has been in progress. */
    private double freeSinceMs;
    /** The number of reads that returned data. */
    private long readCount;

    private double lastReadMs;
    /** The number of requests that were received, in full or in part if long. */
    private int requests;
    /** Whether a partial request has been received, and since when: its first bytes, or the connect if it is the first. */
    private boolean partial;

    private double partialSinceMs;

    /** Notifies that the connection is open, and for how long its client has waited for that. */
    void opened(double nowMs, double waitedMs) {
        freeSinceMs = nowMs;
        connectedMs = nowMs - waitedMs;
    }

    /**
     * Notifies that a read has returned data.
     *
     * @param midRequest whether it has left a request incomplete
     * @return whether the first bytes of a request were received, without its end
     */
    boolean read(double nowMs, boolean midRequest) {
        readCount++;
        lastReadMs = nowMs;
        boolean begun = !partial && midRequest;
        if (begun) {
            partialSinceMs = isSilent() ? connectedMs : nowMs;
        }
        partial = midRequest;
        return begun;
    }

    /** Notifies that a request was received, or its beginning if it is long. */
    void requestReceived() {
        requests++;
    }

    /** Notifies that no request is in progress any more. */
    void freed(double nowMs) {
        freeSinceMs = nowMs;
    }

    /** Returns the number of requests that were received. */
    int requests() {
        return requests;
    }

    /** Returns the number of reads that returned data. */
    long readCount() {
        return readCount;
    }

    /** Returns the time since when no request has been in progress. */
    double freeSinceMs() {
        return freeSinceMs;
    }

    /** Returns whether a partial request has been received. */
    boolean isPartial() {
        return partial;
    }

    /** Returns whether no request, and nothing malformed, has been received. */
    boolean isSilent() {
        return requests == 0;
    }

    /** Returns whether the connection has carried one request and nothing else. */
    boolean hasServedOnce() {
        return requests == 1 && !partial;
    }

    /** Returns how long the client has waited since it connected. */
    double sinceConnectedMs(double nowMs) {
        return nowMs - connectedMs;
    }

    /** Returns the time since the last input or answer. */
    double quietMs(double nowMs) {
        return nowMs - Math.max(lastReadMs, freeSinceMs);
    }

    /** Returns whether a connection that is free has been unused for so long that it may give way to others. */
    boolean isSurplus(double nowMs) {
        return partial
                ? nowMs - lastReadMs >= PARTIAL_SURPLUS_MS
                : nowMs - freeSinceMs >= (isSilent() ? SILENT_SURPLUS_MS : IDLE_SURPLUS_MS);
    }

    /** Returns whether no further request is to be expected, given that clients do not reuse connections. */
    boolean isSingleUseSurplus(double nowMs) {
        return isSilent() ? isSurplus(nowMs) : hasServedOnce() && nowMs - freeSinceMs >= SINGLE_USE_SURPLUS_MS;
    }

    /**
     * Returns whether a connection that is free has timed out.
     *
     * @param keepIdle whether connections that have carried requests are kept
     * @param bodyBytes what has been received of the body of a partial request
     */
    boolean hasTimedOut(double nowMs, boolean keepIdle, long bodyBytes) {
        if (partial) {
            return nowMs - partialSinceMs >= partialTimeoutMs(bodyBytes);
        }
        return isSilent()
                ? nowMs - connectedMs >= SILENT_TIMEOUT_MS
                : !keepIdle && nowMs - freeSinceMs >= IDLE_TIMEOUT_MS;
    }

    /**
     * Returns whether a request arrives too slowly.
     *
     * @param notReadMs for how long in total it was not read, which its client is not to blame for
     */
    boolean isTooSlow(double nowMs, double notReadMs, long bodyBytes) {
        return partial && nowMs - partialSinceMs - notReadMs > partialTimeoutMs(bodyBytes);
    }

    /** Returns whether nothing more of a request has come for too long, where its client is waited for. */
    boolean hasStopped(double nowMs) {
        return partial && nowMs - lastReadMs >= STOPPED_TIMEOUT_MS;
    }

    private static double partialTimeoutMs(long bodyBytes) {
        return PARTIAL_HEAD_TIMEOUT_MS + bodyBytes / MIN_BODY_BYTES_PER_MS;
    }
}
