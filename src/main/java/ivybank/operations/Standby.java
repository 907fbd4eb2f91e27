package ivybank.operations;

/**
 * A standby order, and what follows from its age: what happens to connections, and which requests may be held. A load
 * balancer in front that checks readiness ten times a second sends no new connections 0.2 s after a negative answer. 4 s
 * after the order no connection of a client may be idle, nor carry a request from the last 2 s; a request's time counts
 * from its last byte.
 *
 * @param sinceMs the time of the order in milliseconds of the clock; 0 if there is none
 */
public record Standby(double sinceMs) {

    /** No standby order. */
    public static final Standby NONE = new Standby(0);

    /** What happens to the connections of clients. */
    public enum Phase {

        /** No standby order: clients are accepted. */
        OFF,
        /** Reports that it is not ready, but serves every request. */
        NOT_READY,
        /** Closes each connection after its answer. */
        CLOSING_AFTER_ANSWER,
        /** Closes idle connections as well, and refuses requests: they would be too recent at the end of the standby. */
        CLOSING_IDLE,
        /** Closes connections with a partly received request as well. */
        CLOSING_ALL
    }

    private static final double CLOSING_AFTER_ANSWER_FROM_MS = 1200;
    private static final double CLOSING_IDLE_FROM_MS = 1900;
    static final double CLOSING_ALL_FROM_MS = 3200;

    /** Returns the phase at a time. */
    public Phase phase(double nowMs) {
        double ageMs = nowMs - sinceMs;
        if (!isOrdered()) {
            return Phase.OFF;
        }
        if (ageMs < CLOSING_AFTER_ANSWER_FROM_MS) {
            return Phase.NOT_READY;
        }
        if (ageMs < CLOSING_IDLE_FROM_MS) {
            return Phase.CLOSING_AFTER_ANSWER;
        }
        return ageMs < CLOSING_ALL_FROM_MS ? Phase.CLOSING_IDLE : Phase.CLOSING_ALL;
    }

    /**
     * Returns whether a request whose last byte was received at this time may be held for as long as its client waits. Any
     * other is to be refused at once, before a node has the whole of it.
     */
    public boolean mayHold(double lastByteMs) {
        return phase(lastByteMs).compareTo(Phase.CLOSING_IDLE) < 0;
    }

    private boolean isOrdered() {
        return sinceMs > 0;
    }
}
