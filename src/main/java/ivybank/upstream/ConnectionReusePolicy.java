package ivybank.upstream;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which connection an attempt goes out on: an idle one, one that still rests after its last answer, or a new one.
 *
 * <p>A connection must rest for {@link Limits#restMs()} after each answer, because a faulty node may send a second answer
 * that late, and nothing tells it from the answer to the next request. An attempt that finds only resting connections
 * waits for the first of them, and beside that may open a spare connection; the one that is usable first carries it. A spare
 * connection costs its node a handshake, so none is opened where the wait is short beside the time that the node takes to
 * answer. They are bounded: each attempt pays for a fixed part of one, a node has so many of them at most, and a node that
 * refuses connections or requests, or is still warming up, gets none.
 *
 * <p>Pure: no sockets, and the clock is handed in, in milliseconds. For use by one thread.
 */
final class ConnectionReusePolicy {

    /** How an attempt gets its connection. */
    enum Choice {
        /** The idle connection at hand has rested. */
        REUSE,
        /** The one that rests is waited for. */
        WAIT,
        /** There is none to wait for: a new one is opened. */
        OPEN,
        /** A spare one is opened, and carries the attempt if it is up before the other has rested. */
        OPEN_AND_WAIT
    }

    /**
     * @param restMs how long a connection is not used after an answer
     * @param sparesPerAttempt spare connections that may be opened for each attempt, in the long run
     * @param mostSpares that one node has at a time
     * @param refusedMs for how long a node that refused something gets no spare connection
     * @param coldMs for how long after its start a node gets none
     */
    record Limits(double restMs, double sparesPerAttempt, int mostSpares, double refusedMs, double coldMs) {

        /** The usual limits, with spare connections only for nodes that started longer than {@code coldMs} ago. */
        static Limits standard(double restMs, double coldMs) {
            return new Limits(restMs, SPARES_PER_ATTEMPT, MOST_SPARES, REFUSED_MS, coldMs);
        }
    }

    /** What is known of a node when an attempt begins: its name, its age, and the spare connections that it has now. */
    record NodeState(String host, double ageMs, int spares) {}

    private static final double SPARES_PER_ATTEMPT = 0.05;
    private static final int MOST_SPARES = 8;
    private static final double REFUSED_MS = 10_000;
    /** Spare connections that may be opened at once after a time in which none was needed. */
    private static final double MOST_SAVED = 10;
    /** A rest that ends within this time is waited for: opening a connection gains nothing worth its price. */
    private static final double SHORTEST_GAIN_MS = 1;
    /** A rest of less than this part of a node's usual answer time is waited for, for the same reason. */
    private static final double SHORTEST_GAIN_PART = 0.3;
    /** Weight of the latest answer in a node's usual answer time. */
    private static final double ANSWER_TIME_STEP = 0.1;
    /** A node that has not answered for so long is forgotten. */
    private static final double FORGOTTEN_MS = 60_000;
    /** Weight of the latest connection in the time that connections take to come up. */
    private static final double CONNECT_TIME_STEP = 0.1;

    /** How long a node takes to answer, as a moving mean, and when it last did. */
    private record AnswerTime(double meanMs, double lastMs) {}

    private final Limits limits;
    private final Map<String, AnswerTime> answerTimes = new HashMap<>();
    private final Map<String, Double> refusedUntilMs = new HashMap<>();
    private double saved;
    private double connectMs = SHORTEST_GAIN_MS;

    ConnectionReusePolicy(Limits limits) {
        this.limits = limits;
    }

    /** How much longer a connection has to rest that was answered on at {@code answeredMs}; 0 or less if it has rested. */
    double restLeftMs(double answeredMs, double nowMs) {
        return answeredMs + limits.restMs() - nowMs;
    }

    /** A new attempt has begun. */
    void attemptBegan() {
        saved = Math.min(MOST_SAVED, saved + limits.sparesPerAttempt());
    }

    /**
     * Chooses for an attempt at a node.
     *
     * @param restLeftMs of the idle connection that has to rest least, infinite if none is idle
     * @param room whether the process can afford a connection beyond those that it must open
     */
    Choice choose(NodeState node, double restLeftMs, boolean room, double nowMs) {
        if (restLeftMs == Double.POSITIVE_INFINITY) {
            return Choice.OPEN;
        }
        if (restLeftMs <= 0) {
            return Choice.REUSE;
        }
        boolean worthIt = restLeftMs > Math.max(SHORTEST_GAIN_MS, Math.max(connectMs, leastWaitMs(node.host())));
        if (!worthIt || !room || saved < 1 || !takesSpares(node, nowMs)) {
            return Choice.WAIT;
        }
        saved -= 1;
        return Choice.OPEN_AND_WAIT;
    }

    /** The shortest wait that is worth a spare connection to a node; 0 where it has not answered yet. */
    private double leastWaitMs(String host) {
        AnswerTime time = answerTimes.get(host);
        return time == null ? 0 : SHORTEST_GAIN_PART * time.meanMs;
    }

    /** A node has begun to answer, this long after the request was written to it. */
    void answered(String host, double tookMs, double nowMs) {
        AnswerTime before = answerTimes.get(host);
        double meanMs = before == null ? tookMs : before.meanMs + ANSWER_TIME_STEP * (tookMs - before.meanMs);
        answerTimes.put(host, new AnswerTime(meanMs, nowMs));
    }

    private boolean takesSpares(NodeState node, double nowMs) {
        return node.spares() < limits.mostSpares()
                && node.ageMs() >= limits.coldMs()
                && refusedUntilMs.getOrDefault(node.host(), Double.NEGATIVE_INFINITY) <= nowMs;
    }

    /** A connection has come up, this long after it was begun. */
    void cameUp(double tookMs) {
        connectMs += CONNECT_TIME_STEP * (tookMs - connectMs);
    }

    /** A node has refused a connection or a request, or a connection to it never came up. */
    void refused(String host, double nowMs) {
        refusedUntilMs.put(host, nowMs + limits.refusedMs());
    }

    /** Drops what is no longer of use: nodes come and go. */
    void sweep(double nowMs) {
        refusedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
        answerTimes.values().removeIf(time -> nowMs - time.lastMs > FORGOTTEN_MS);
    }
}
