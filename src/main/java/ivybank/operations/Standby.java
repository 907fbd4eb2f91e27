package ivybank.operations;

/**
 * The phases of a sidecar on standby, by the age of the standby order. A load balancer in front that checks readiness
 * ten times a second sends no new connections 0.2 s after a negative answer. 4 s after the order no connection of a
 * client may be idle, nor carry a request from the last 2 s.
 */
public enum Standby {

    /** No standby order: clients are accepted. */
    OFF,
    /** Reports that it is not ready, but serves every request. */
    NOT_READY,
    /** Closes each connection after its answer. */
    CLOSING_AFTER_ANSWER,
    /**
     * Closes idle connections as well: requests received from here on would be too recent at the end of the standby.
     */
    CLOSING_IDLE,
    /** Closes connections with a partly received request as well. */
    CLOSING_ALL;

    private static final double CLOSING_AFTER_ANSWER_FROM_MS = 1200;
    private static final double CLOSING_IDLE_FROM_MS = 1900;
    private static final double CLOSING_ALL_FROM_MS = 3200;

    /** Returns the phase at a time; a {@code sinceMs} of 0 means that there is no order. */
    public static Standby at(double sinceMs, double nowMs) {
        if (sinceMs <= 0) {
            return OFF;
        }
        double ageMs = nowMs - sinceMs;
        return ageMs < CLOSING_AFTER_ANSWER_FROM_MS
                ? NOT_READY
                : ageMs < CLOSING_IDLE_FROM_MS
                        ? CLOSING_AFTER_ANSWER
                        : ageMs < CLOSING_ALL_FROM_MS ? CLOSING_IDLE : CLOSING_ALL;
    }
}
