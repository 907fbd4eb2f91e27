package ivybank.operations;

/**
 * What a drained sidecar does, by the age of the order. A front that asks ten times a second sends no new connections 0.2 s
 * after a no; 4 s after the order no client's connection may be held idle, nor with a request from the last 2 s.
 */
public enum Standby {

    /** No order: clients are taken. */
    OFF,
    /** Not ready any more, but serving all that comes. */
    AWAY,
    /** Each answer ends its connection. */
    ENDING,
    /** Idle connections are closed: requests that come from here on would be too young at the end. */
    CLOSING,
    /** Also those on which half a request has come. */
    CLOSING_ALL;

    private static final double ENDING_MS = 1200;
    private static final double CLOSING_MS = 1900;
    private static final double CLOSING_ALL_MS = 3200;

    /** The phase at a time; {@code sinceMs} 0 is no order. */
    public static Standby at(double sinceMs, double nowMs) {
        if (sinceMs <= 0) {
            return OFF;
        }
        double ageMs = nowMs - sinceMs;
        return ageMs < ENDING_MS ? AWAY : ageMs < CLOSING_MS ? ENDING : ageMs < CLOSING_ALL_MS ? CLOSING : CLOSING_ALL;
    }
}
