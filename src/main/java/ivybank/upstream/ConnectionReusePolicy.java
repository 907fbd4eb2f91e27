package ivybank.upstream;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which connection an attempt uses: an idle one, one that still rests after its last answer, or a new one.
 *
 * <p>A connection must rest for {@link Limits#restMs()} after each answer, because a faulty node may send a second answer that
 * late, which cannot be distinguished from the answer to the next request. An attempt that finds only resting connections waits
 * for the first of them and may open a spare connection besides; the one that is usable first carries the attempt. A spare
 * connection costs its node a handshake, so none is opened where the wait is short compared with the node's answer time. They are
 * bounded: each attempt pays for a fixed fraction of one, a node has a maximum number of them, and a node that refuses connections
 * or requests, or is still warming up, gets none.
 *
 * <p>This class has no sockets, and the caller passes the current time in, in milliseconds. For use by one thread.
 */
final class ConnectionReusePolicy {

    /** How an attempt gets its connection. */
    enum Choice {
        /** The idle connection has rested and is used. */
        REUSE,
        /** The attempt waits for the resting connection. */
        WAIT,
        /** There is no connection to wait for, so a new one is opened. */
        OPEN,
        /**
         * A spare connection is opened, and carries the attempt if it is established before the resting one has rested.
         */
        OPEN_AND_WAIT
    }

    /**
     * The limits of the policy.
     *
     * @param restMs how long a connection is not used after an answer
     * @param sparesPerAttempt the long-term number of spare connections that may be opened for each attempt
     * @param maxSparesPerNode the number of spare connections that one node may have at a time
     * @param refusalBackoffMs how long a node that refused a connection or request gets no spare connection
     * @param coldMs how long after its start a node gets none
     */
    record Limits(
            double restMs, double sparesPerAttempt, int maxSparesPerNode, double refusalBackoffMs, double coldMs) {

        /**
         * Returns the standard limits, with spare connections only for nodes that started longer than {@code coldMs} ago.
         */
        static Limits standard(double restMs, double coldMs) {
            return new Limits(restMs, SPARES_PER_ATTEMPT, MAX_SPARES_PER_NODE, REFUSAL_BACKOFF_MS, coldMs);
        }
    }

    /** The state of a node when an attempt starts: its name, its age, and its current number of spare connections. */
    record NodeState(String host, double ageMs, int spares) {}

    private static final double SPARES_PER_ATTEMPT = 0.05;
    private static final int MAX_SPARES_PER_NODE = 8;
    private static final double REFUSAL_BACKOFF_MS = 10_000;
    /** The number of spare connections that may be opened at once after a time in which none was needed. */
    private static final double MAX_SAVED_SPARES = 10;
    /**
     * A rest that ends within this time is waited for, because a new connection would gain too little for its cost.
     */
    private static final double MIN_GAIN_MS = 1;
    /** A rest of less than this fraction of the node's usual answer time is waited for, for the same reason. */
    private static final double MIN_GAIN_ANSWER_RATIO = 0.3;
    /** The weight of the latest answer in the usual answer time of a node. */
    private static final double ANSWER_TIME_SMOOTHING = 0.1;
    /** The answer time of a node that has not answered for this long is dropped. */
    private static final double ANSWER_TIME_EXPIRY_MS = 60_000;
    /** The weight of the latest connection in the usual connect time. */
    private static final double CONNECT_TIME_SMOOTHING = 0.1;

    /** The moving average of a node's answer time, and the time of its last answer. */
    private record AnswerTime(double meanMs, double lastMs) {}

    private final Limits limits;
    private final Map<String, AnswerTime> answerTimes = new HashMap<>();
    private final Map<String, Double> refusedUntilMs = new HashMap<>();
    private double savedSpares;
    private double connectMs = MIN_GAIN_MS;

    ConnectionReusePolicy(Limits limits) {
        this.limits = limits;
    }

    /**
     * Returns how much longer a connection has to rest whose last answer came at {@code answeredMs}; 0 or less if it has rested.
     */
    double restLeftMs(double answeredMs, double nowMs) {
        return answeredMs + limits.restMs() - nowMs;
    }

    /** Records the start of an attempt. */
    void attemptStarted() {
        savedSpares = Math.min(MAX_SAVED_SPARES, savedSpares + limits.sparesPerAttempt());
    }

    /**
     * Chooses a connection for an attempt at a node.
     *
     * @param restLeftMs the shortest remaining rest of the node's idle connections, infinite if there are none
     * @param hasCapacity whether the process can afford a connection beyond those that it must open
     */
    Choice choose(NodeState node, double restLeftMs, boolean hasCapacity, double nowMs) {
        if (restLeftMs == Double.POSITIVE_INFINITY) {
            return Choice.OPEN;
        }
        if (restLeftMs <= 0) {
            return Choice.REUSE;
        }
        boolean worthwhile = restLeftMs > Math.max(MIN_GAIN_MS, Math.max(connectMs, minWorthwhileWaitMs(node.host())));
        if (!worthwhile || !hasCapacity || savedSpares < 1 || !acceptsSpares(node, nowMs)) {
            return Choice.WAIT;
        }
        savedSpares -= 1;
        return Choice.OPEN_AND_WAIT;
    }

    /** Returns the shortest wait that justifies a spare connection to a node; 0 where it has not answered yet. */
    private double minWorthwhileWaitMs(String host) {
        AnswerTime time = answerTimes.get(host);
        return time == null ? 0 : MIN_GAIN_ANSWER_RATIO * time.meanMs;
    }

    /** Records that a node has started to answer, this long after the request was written. */
    void answered(String host, double tookMs, double nowMs) {
        AnswerTime previous = answerTimes.get(host);
        double meanMs =
                previous == null ? tookMs : previous.meanMs + ANSWER_TIME_SMOOTHING * (tookMs - previous.meanMs);
        answerTimes.put(host, new AnswerTime(meanMs, nowMs));
    }

    private boolean acceptsSpares(NodeState node, double nowMs) {
        return node.spares() < limits.maxSparesPerNode()
                && node.ageMs() >= limits.coldMs()
                && refusedUntilMs.getOrDefault(node.host(), Double.NEGATIVE_INFINITY) <= nowMs;
    }

    /** Records that a connection was established, and how long that took. */
    void connectionEstablished(double tookMs) {
        connectMs += CONNECT_TIME_SMOOTHING * (tookMs - connectMs);
    }

    /** Records that a node refused a connection or a request, or that a connection to it was never established. */
    void refused(String host, double nowMs) {
        refusedUntilMs.put(host, nowMs + limits.refusalBackoffMs());
    }

    /** Drops expired entries; nodes come and go. */
    void sweep(double nowMs) {
        refusedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
        answerTimes.values().removeIf(time -> nowMs - time.lastMs > ANSWER_TIME_EXPIRY_MS);
    }
}
