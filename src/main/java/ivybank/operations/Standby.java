package ivybank.operations;

/**
 * What a drained sidecar does, by the age of the order. A front that asks ten times a second sends no new connections 0.2 s
 * after a no; 4 s after the order no client's connection may be held idle, nor with a request from the last 2 s.
 */
public enum Standby {

    /** No order: clients are taken. */
    OFF,
    /** Not ready any more, but serving all that comes. */
    NOT_READY,
    /** Each answer ends its connection. */
    CLOSING_AFTER_ANSWER,
    /** Idle connections are closed: requests that come from here on would be too young at the end. */
    CLOSING_IDLE,
    /** Also those on which half a request has come. */
    CLOSING_ALL;

    private static final double CLOSING_AFTER_ANSWER_MS = 1200;
    private static final double CLOSING_IDLE_MS = 1900;
    private static final double CLOSING_ALL_MS = 3200;

    /** The phase at a time; {@code sinceMs} 0 is no order. */
    public static Standby at(double sinceMs, double nowMs) {
        if (sinceMs <= 0) {
            return OFF;
        }
        double ageMs = nowMs - sinceMs;
        return ageMs < CLOSING_AFTER_ANSWER_MS
                ? NOT_READY
                : ageMs < CLOSING_IDLE_MS ? CLOSING_AFTER_ANSWER : ageMs < CLOSING_ALL_MS ? CLOSING_IDLE : CLOSING_ALL;
    }
}
