package ivybank.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import ivybank.common.Clock;
import ivybank.common.DescriptorBudget;
import ivybank.common.EventLoopStallDetector;
import ivybank.common.LineLimit;
import ivybank.common.Log;
import ivybank.common.NextSelect;
import ivybank.discovery.Node;
import ivybank.memory.MessageMemory;
import ivybank.policy.Balancer.Outcome;
import ivybank.supervision.PeriodicTask;
import ivybank.supervision.SupervisedTask;
import ivybank.tally.Stage;
import ivybank.tally.Tally;
import ivybank.upstream.ConnectionReusePolicy.NodeState;
import ivybank.upstream.UpstreamAttempt.Ending;
import ivybank.upstream.UpstreamSocketChannel.UnreadInput;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A pool of keep-alive connections to nodes, which uses the most recently used ones first. Runs on one event loop. */
public final class UpstreamPool {

    /**
     * The limits of the pool.
     *
     * @param connections the maximum number of open connections
     * @param connectTimeoutMs the timeout within which a connection must be established
     * @param idleMs how long a connection may be idle
     * @param stallMs how long an answer that is being forwarded may stall
     * @param reuse when an idle connection is used again, and when a spare one is opened
     */
    public record Limits(
            int connections, int connectTimeoutMs, double idleMs, double stallMs, ConnectionReusePolicy.Limits reuse) {

        /** Returns the standard limits; {@code coldMs} is how long after its start a node is still warming up. */
        public static Limits standard(int connections, int connectTimeoutMs, double idleMs, double coldMs) {
            return new Limits(
                    connections,
                    connectTimeoutMs,
                    idleMs,
                    ANSWER_STALL_TIMEOUT_MS,
                    ConnectionReusePolicy.Limits.standard(REST_MS, coldMs));
        }

        /** Returns limits under which a connection may be used again at once, for nodes known to answer only once. */
        public static Limits withoutRest(int connections, int connectTimeoutMs, double idleMs) {
            return new Limits(
                    connections,
                    connectTimeoutMs,
                    idleMs,
                    ANSWER_STALL_TIMEOUT_MS,
                    ConnectionReusePolicy.Limits.standard(0, 0));
        }
    }

    private static final long SWEEP_INTERVAL_MS = 500;
    private static final long VERIFY_INTERVAL_MS = 100;
    /** The delay before the check of a client's connection is repeated where it was inconclusive. */
    private static final long CLIENT_CHECK_DELAY_MS = 5;
    /**
     * The time after an answer in which a connection is not used again. Guards against taking another request's answer: a faulty
     * node sends a second answer some milliseconds after the first, which on a connection in use cannot be distinguished from the
     * expected answer.
     */
    private static final double REST_MS = 30;

    private static final double ANSWER_STALL_TIMEOUT_MS = 5000;

    private final EventLoop loop;
    private final Clock clock;
    private final Limits limits;
    private final Log log;
    private final ConnectionReusePolicy reuse;
    private final ConnectionOpener opener;
    private final PeriodicTask sweep;
    private final PeriodicTask verification;
    private final IdleConnections idle = new IdleConnections();
    private Tally tally = Tally.NONE;
    private MessageMemory memory = MessageMemory.unlimited();
    private EventLoopStallDetector stallDetector = EventLoopStallDetector.NEVER;
    private final LineLimit<LocalEndReason> localEndLines = new LineLimit<>();
    private boolean idleDisabled;
    private long malformedAnswers;

    /** Creates a pool; {@code base} defines the type and the options of the channels. */
    public UpstreamPool(
            EventLoop loop,
            Clock clock,
            Limits limits,
            DescriptorBudget descriptors,
            LoadReport reports,
            Bootstrap base,
            Log log) {
        this.loop = loop;
        this.clock = clock;
        this.limits = limits;
        this.log = log;
        this.reuse = new ConnectionReusePolicy(limits.reuse());
        ConnectionOpener.Limits bounds = new ConnectionOpener.Limits(limits.connections(), limits.connectTimeoutMs());
        this.opener = new ConnectionOpener(this, loop, bounds, descriptors, reports, base);
        this.sweep = PeriodicTask.start(
                "sweep of connections to upstreams", loop, clock, log, SWEEP_INTERVAL_MS, this::sweepConnections);
        this.verification = PeriodicTask.start(
                "verification of connections to upstreams", loop, clock, log, VERIFY_INTERVAL_MS, opener::verify);
    }

    /** Sets the tally that counts connections. Must be called before the first one is opened. */
    public void setTally(Tally counts) {
        tally = counts;
        opener.setTally(counts);
    }

    /** Sets the memory in which messages are reserved. Must be called before the first one is sent. */
    public void setMemory(MessageMemory messages) {
        memory = messages;
    }

    /** Returns the memory in which messages are reserved. */
    MessageMemory memory() {
        return memory;
    }

    /** Returns the periodic tasks that close idle connections, find lost ones, and check those without events. */
    public List<SupervisedTask> tasks() {
        return List.of(sweep, verification);
    }

    /** Sets the detector that reports event loop stalls. */
    public void setStallDetector(EventLoopStallDetector loops) {
        stallDetector = loops;
    }

    /** Reports the current number of idle connections to the tally. */
    public void reportIdle() {
        idle.countEach((node, count) -> tally.connectionsIdle(node.host, count));
    }

    /** Counts and logs a malformed answer. */
    void reportMalformedAnswer(Node node, String reason) {
        malformedAnswers++;
        log.line("an answer of " + node + " " + reason + ": attempt failed, connection closed");
    }

    /** Logs that this program ends an attempt, and how far the attempt had come. */
    void reportLocalEnd(UpstreamAttempt attempt, LocalEndReason reason, String progress) {
        double nowMs = clock.nowMs();
        if (localEndLines.allows(reason, nowMs)) {
            log.line("attempt of request " + attempt.request.callId() + " at " + attempt.node + " ended after "
                    + Math.round(nowMs - attempt.startedMs) + " ms: " + reason + "; " + progress);
        }
    }

    /** Logs input that arrived when no answer was expected. */
    void reportUnexpectedInput(UpstreamConnection connection) {
        log.line(connection.node + " sent unexpected input " + Math.round(clock.nowMs() - connection.idleSinceMs)
                + " ms after its last answer: connection closed");
    }

    /** Returns the number of malformed answers since the start. */
    public long malformedAnswers() {
        return malformedAnswers;
    }

    void recordStage(Stage stage, double ms) {
        tally.stageCompleted(stage, ms);
    }

    /** Returns whether sockets may hold input that is older than what is being processed. */
    boolean isStalled() {
        return stallDetector.isStalled(clock.nowMs());
    }

    double stallMs() {
        return limits.stallMs();
    }

    double nowMs() {
        return clock.nowMs();
    }

    /** Returns the number of connections that are open or being established. */
    public int open() {
        return opener.open();
    }

    /** Returns the number of connections opened since the start. */
    public long opened() {
        return opener.opened();
    }

    /** Sends an attempt, which may end before this returns. */
    public void send(UpstreamAttempt attempt) {
        if (!attempt.request.isIncomplete()) {
            attempt.startTimer(loop);
        }
        reuse.attemptStarted();
        attempt.startedMs = clock.nowMs();
        begin(attempt);
    }

    /** Sends an attempt on a connection that has rested, or otherwise on the one that can be used first. */
    void begin(UpstreamAttempt attempt) {
        Node node = attempt.node;
        if (!node.ready) { // the node has started to drain while the attempt waited
            attempt.end(Ending.of(Outcome.NOT_SENT));
            return;
        }
        double nowMs = clock.nowMs();
        UpstreamConnection candidate = idle.take(node, connection -> restLeftMs(connection, nowMs) <= 0);
        double restLeftMs = candidate == null ? Double.POSITIVE_INFINITY : restLeftMs(candidate, nowMs);
        NodeState state = new NodeState(node.host, nowMs - node.startedMs(), opener.spares(node));
        switch (reuse.choose(state, restLeftMs, opener.hasCapacityForSpares(), nowMs)) {
            case REUSE -> send(candidate, attempt);
            case WAIT -> new ConnectionWait(this, loop, opener, attempt).awaitRest(candidate, restLeftMs);
            case OPEN_AND_WAIT -> {
                ConnectionWait wait = new ConnectionWait(this, loop, opener, attempt);
                wait.awaitRest(candidate, restLeftMs);
                wait.awaitNew(true);
            }
            case OPEN -> open(attempt);
        }
    }

    private void open(UpstreamAttempt attempt) {
        if (!opener.isFull() || idle.closeLongestIdle()) {
            new ConnectionWait(this, loop, opener, attempt).awaitNew(false);
        } else {
            log.line("all " + opener.open()
                    + " connections to upstreams are in use and no more may be opened: nothing sent to "
                    + attempt.node);
            attempt.end(Ending.of(Outcome.NOT_SENT));
        }
    }

    private double restLeftMs(UpstreamConnection connection, double nowMs) {
        return reuse.restLeftMs(connection.answeredMs, nowMs);
    }

    /**
     * Sends on a free connection. After an event loop stall, unread input that reports a disconnected client or a
     * draining node is processed first, so that no request is sent for a client that has disconnected or to a node that
     * is draining.
     */
    void send(UpstreamConnection connection, UpstreamAttempt attempt) {
        if (isStalled()) {
            NextSelect.runAfter(loop, () -> writeIfSendable(connection, attempt));
        } else {
            write(connection, attempt);
        }
    }

    /**
     * Writes a request whose client is connected, on a connection without unread input. Such input may be an answer that arrived
     * before the request and would be taken for the request's own.
     */
    private void write(UpstreamConnection connection, UpstreamAttempt attempt) {
        if (!attempt.request.client().verifyClientPresent()) {
            loop.schedule(() -> writeIfSendable(connection, attempt), CLIENT_CHECK_DELAY_MS, TimeUnit.MILLISECONDS);
            return;
        }
        UnreadInput unread = connection.unreadInput();
        if (unread == UnreadInput.NONE) {
            recordStage(attempt.stage, clock.nowMs() - attempt.startedMs);
            connection.send(attempt);
            return;
        }
        if (unread == UnreadInput.BYTES) {
            reportUnexpectedInput(connection);
        }
        connection.close();
        begin(attempt);
    }

    private void writeIfSendable(UpstreamConnection connection, UpstreamAttempt attempt) {
        if (isSendable(connection, attempt)) {
            write(connection, attempt);
        }
    }

    /**
     * Returns whether an attempt may be sent on the connection that it has waited for; otherwise handles that case.
     */
    private boolean isSendable(UpstreamConnection connection, UpstreamAttempt attempt) {
        if (attempt.ended()) { // its request was cancelled meanwhile; the next request uses the connection
            keepIdle(connection);
            return false;
        }
        if (!isUsable(connection)) { // the node has drained or moved meanwhile
            connection.close();
            begin(attempt);
            return false;
        }
        return true;
    }

    /**
     * Returns whether a connection leads to the current address of its node; a node that has moved is another machine.
     */
    static boolean leadsToNodeAddress(UpstreamConnection connection) {
        return connection.node.ready && connection.address.equals(connection.node.address);
    }

    static boolean isUsable(UpstreamConnection connection) {
        return leadsToNodeAddress(connection) && connection.active();
    }

    /** Records that a connection was established, and how long that took. */
    void connectionEstablished(UpstreamConnection connection, double tookMs) {
        reuse.connectionEstablished(tookMs);
        connection.idleSinceMs = clock.nowMs();
    }

    /** Records that a node has started to answer, this long after the request was written to it. */
    void responseStarted(Node node, double tookMs) {
        reuse.answered(node.host, tookMs, clock.nowMs());
    }

    /** Records that a connection was refused or timed out; {@code local}: this machine is the reason. */
    void connectFailed(Node node, Throwable cause, boolean local) {
        if (local) {
            log.line("no connection to " + node + " could be opened by this machine: " + cause);
        } else {
            reuse.refused(node.host, clock.nowMs());
        }
    }

    /** Logs a connection that has ended, or should have been established long ago, without an event. */
    void connectionLost(UpstreamConnection connection) {
        log.line("a connection to " + connection.node + " ended without an event: its resources are released");
    }

    /** Removes a connection that has ended. */
    void connectionClosed(UpstreamConnection connection) {
        idle.remove(connection);
    }

    /**
     * Records that a node rejected a request, perhaps because it has too many connections; closes the idle spare connections to it.
     */
    void requestRejected(Node node) {
        reuse.refused(node.host, clock.nowMs());
        idle.closeIf(node, connection -> connection.spare);
    }

    /** Takes back a connection on which the intended request was not sent. */
    void returnUnused(UpstreamConnection connection) {
        keepIdle(connection);
    }

    /** Takes back a connection whose request has been answered. */
    void returnAnswered(UpstreamConnection connection) {
        connection.idleSinceMs = clock.nowMs();
        keepIdle(connection);
    }

    /** Keeps a connection that is not needed at the moment for the next request. */
    void keepIdle(UpstreamConnection connection) {
        if (idleDisabled || !isUsable(connection)) {
            connection.close();
        } else {
            idle.add(connection);
        }
    }

    /** Closes the idle connections to a node. */
    public void closeIdle(Node node) {
        idle.close(node);
    }

    /** Closes all idle connections. */
    public void closeAllIdle() {
        idle.closeAll();
    }

    /** Closes each connection once it is free from now on: another process needs the descriptors. */
    public void disableIdleConnections() {
        idleDisabled = true;
        closeAllIdle();
    }

    private void sweepConnections() {
        opener.reconcile();
        double nowMs = clock.nowMs();
        idle.closeIdleSince(nowMs - limits.idleMs());
        reuse.sweep(nowMs);
    }
}
