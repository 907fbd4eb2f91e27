package ivybank.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import ivybank.common.Clock;
import ivybank.common.DescriptorBudget;
import ivybank.common.EventLoopStallDetector;
import ivybank.common.Log;
import ivybank.common.NextSelect;
import ivybank.discovery.Node;
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

/** Keep-alive connections to upstreams, the most recently used first. All of it runs on one event loop. */
public final class UpstreamPool {

    /**
     * What bounds the pool.
     *
     * @param connections how many may be open in all
     * @param connectTimeoutMs how long one may take to come up
     * @param idleMs how long one may stand idle
     * @param stallMs how long nothing may come of an answer that is being passed on
     * @param reuse when an idle connection is used again, and when a spare one is opened
     */
    public record Limits(
            int connections, int connectTimeoutMs, double idleMs, double stallMs, ConnectionReusePolicy.Limits reuse) {

        /** The usual limits; {@code coldMs} is how long after its start a node is still warming up. */
        public static Limits standard(int connections, int connectTimeoutMs, double idleMs, double coldMs) {
            return new Limits(
                    connections,
                    connectTimeoutMs,
                    idleMs,
                    LONGEST_STALL_MS,
                    ConnectionReusePolicy.Limits.standard(REST_MS, coldMs));
        }

        /** Limits under which a connection can be used again at once, for nodes that are known to answer once. */
        public static Limits withoutRest(int connections, int connectTimeoutMs, double idleMs) {
            return new Limits(
                    connections,
                    connectTimeoutMs,
                    idleMs,
                    LONGEST_STALL_MS,
                    ConnectionReusePolicy.Limits.standard(0, 0));
        }
    }

    private static final long SWEEP_MS = 500;
    private static final long VERIFY_MS = 100;
    /** Where a client can't be confirmed to be there, that is tried again after so long. */
    private static final long CONFIRM_MS = 5;
    /**
     * For so long after an answer a connection is not used again. Guards a request against another one's answer: a spoilt node
     * gives a second answer some milliseconds after the first, and on a connection in use it can't be told from the answer that is
     * awaited.
     */
    private static final double REST_MS = 30;

    private static final double LONGEST_STALL_MS = 5000;

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
    private EventLoopStallDetector stallDetector = EventLoopStallDetector.NEVER;
    private boolean idleDisabled;
    private long malformedAnswers;

    /** {@code base} says what kind of channels to open, and with which options. */
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
        this.sweep =
                PeriodicTask.start("sweep of connections to upstreams", loop, clock, log, SWEEP_MS, this::closeUseless);
        this.verification = PeriodicTask.start(
                "verification of connections to upstreams", loop, clock, log, VERIFY_MS, opener::verify);
    }

    /** From now on tells this of what happens to connections. Before the first is begun. */
    public void setTally(Tally counts) {
        tally = counts;
        opener.setTally(counts);
    }

    /** What closes idle connections, finds lost ones, and looks after those of which nothing is told. */
    public List<SupervisedTask> chains() {
        return List.of(sweep, verification);
    }

    /** From now on minds whether the event loop was held up. */
    public void setStallDetector(EventLoopStallDetector loops) {
        stallDetector = loops;
    }

    /** Tells what is idle now. */
    public void reportIdle() {
        idle.countEach((node, count) -> tally.connectionsIdle(node.host, count));
    }

    /** Notes an answer that is none, for the next report. */
    void spoilt(Node node, String how) {
        malformedAnswers++;
        log.line("an answer of " + node + " " + how + ": failed, and its connection closed");
    }

    /** Notes bytes that came when no answer was awaited. */
    void surplus(UpstreamConnection connection) {
        log.line(connection.node + " sent something " + Math.round(clock.nowMs() - connection.idleSinceMs)
                + " ms after its last answer: connection closed");
    }

    /** Spoilt answers since the start. */
    public long malformedAnswers() {
        return malformedAnswers;
    }

    void took(Stage stage, double ms) {
        tally.stageCompleted(stage, ms);
    }

    double stallMs() {
        return limits.stallMs();
    }

    double nowMs() {
        return clock.nowMs();
    }

    public int open() {
        return opener.open();
    }

    /** Connections opened since the start. */
    public long opened() {
        return opener.opened();
    }

    /** Sends an attempt; it may end before this returns. */
    public void send(UpstreamAttempt attempt) {
        if (!attempt.request.isIncomplete()) {
            attempt.startTimer(loop);
        }
        reuse.attemptBegan();
        attempt.begunMs = clock.nowMs();
        begin(attempt);
    }

    /** Sends an attempt on a connection that has rested, else on the one that can be used first. */
    void begin(UpstreamAttempt attempt) {
        Node node = attempt.node;
        if (!node.ready) { // discovery may have said so while it waited
            attempt.end(Ending.of(Outcome.NOT_SENT));
            return;
        }
        double nowMs = clock.nowMs();
        UpstreamConnection idleOne = idle.take(node, connection -> restLeftMs(connection, nowMs) <= 0);
        double restLeftMs = idleOne == null ? Double.POSITIVE_INFINITY : restLeftMs(idleOne, nowMs);
        NodeState state = new NodeState(node.host, nowMs - node.startedMs(), opener.spares(node));
        switch (reuse.choose(state, restLeftMs, opener.hasRoomForSpares(), nowMs)) {
            case REUSE -> send(idleOne, attempt);
            case WAIT -> new ConnectionWait(this, loop, opener, attempt).forRest(idleOne, restLeftMs);
            case OPEN_AND_WAIT -> {
                ConnectionWait wait = new ConnectionWait(this, loop, opener, attempt);
                wait.forRest(idleOne, restLeftMs);
                wait.forNew(true);
            }
            case OPEN -> open(attempt);
        }
    }

    private void open(UpstreamAttempt attempt) {
        if (!opener.isFull() || idle.closeLongestIdle()) {
            new ConnectionWait(this, loop, opener, attempt).forNew(false);
        } else {
            log.line("all " + opener.open()
                    + " connections to upstreams are busy and there may be no more: nothing sent to " + attempt.node);
            attempt.end(Ending.of(Outcome.NOT_SENT));
        }
    }

    private double restLeftMs(UpstreamConnection connection, double nowMs) {
        return reuse.restLeftMs(connection.answeredMs, nowMs);
    }

    /**
     * Sends on a connection that is free. Guards nodes against requests whose clients have left, and nodes that have begun to
     * drain, while the event loop was held up: what says so may still stand unread, and is looked for first.
     */
    void send(UpstreamConnection connection, UpstreamAttempt attempt) {
        if (stallDetector.isStalled(clock.nowMs())) {
            NextSelect.runAfter(loop, () -> writeIfWanted(connection, attempt));
        } else {
            write(connection, attempt);
        }
    }

    /**
     * Writes a request whose client is there, on a connection on which nothing stands unread. Guards against an answer that the event loop has not
     * read yet: it came before the request, and would be taken for the request's own.
     */
    private void write(UpstreamConnection connection, UpstreamAttempt attempt) {
        if (!attempt.request.client().verifyClientPresent()) {
            loop.schedule(() -> writeIfWanted(connection, attempt), CONFIRM_MS, TimeUnit.MILLISECONDS);
            return;
        }
        UnreadInput unread = connection.unreadInput();
        if (unread == UnreadInput.NONE) {
            took(attempt.stage, clock.nowMs() - attempt.begunMs);
            connection.send(attempt);
            return;
        }
        if (unread == UnreadInput.BYTES) {
            surplus(connection);
        }
        connection.close();
        begin(attempt);
    }

    private void writeIfWanted(UpstreamConnection connection, UpstreamAttempt attempt) {
        if (isStillWanted(connection, attempt)) {
            write(connection, attempt);
        }
    }

    /** Whether an attempt may go on the connection that it has waited for; else that is seen to. */
    private boolean isStillWanted(UpstreamConnection connection, UpstreamAttempt attempt) {
        if (attempt.ended()) { // its request was called off meanwhile; the next one finds the connection
            keep(connection);
            return false;
        }
        if (!isOfUse(connection)) { // discovery may have said so
            connection.close();
            begin(attempt);
            return false;
        }
        return true;
    }

    /** Whether it leads to where its node is; one that has moved is another machine. */
    static boolean leadsToItsNode(UpstreamConnection connection) {
        return connection.node.ready && connection.address.equals(connection.node.address);
    }

    static boolean isOfUse(UpstreamConnection connection) {
        return leadsToItsNode(connection) && connection.active();
    }

    /** A connection has come up, this long after it was begun. */
    void cameUp(UpstreamConnection connection, double tookMs) {
        reuse.cameUp(tookMs);
        connection.idleSinceMs = clock.nowMs();
    }

    /** A node has begun to answer, this long after the request was written to it. */
    void answering(Node node, double tookMs) {
        reuse.answered(node.host, tookMs, clock.nowMs());
    }

    /** A connection was refused or has not come up in its time; {@code local}: this machine is the reason. */
    void notUp(Node node, Throwable cause, boolean local) {
        if (local) {
            log.line("no connection to " + node + " could be begun here: " + cause);
        } else {
            reuse.refused(node.host, clock.nowMs());
        }
    }

    /** A connection has ended, or should have come up long ago, and nobody was told. */
    void unaccounted(UpstreamConnection connection) {
        log.line("a connection to " + connection.node + " ended without a word: what it had taken is given back");
    }

    /** A connection has ended. */
    void ended(UpstreamConnection connection) {
        idle.remove(connection);
    }

    /** A node has turned a request away, perhaps because it has too many connections: it is left those opened to spare. */
    void turnedAway(Node node) {
        reuse.refused(node.host, clock.nowMs());
        idle.closeIf(node, connection -> connection.spare);
    }

    /** Takes back a connection that was to carry a request and did not. */
    void unused(UpstreamConnection connection) {
        keep(connection);
    }

    /** Takes back a connection whose request has been answered. */
    void handBack(UpstreamConnection connection) {
        connection.idleSinceMs = clock.nowMs();
        keep(connection);
    }

    /** Keeps a connection that nothing needs at the moment for the next request. */
    void keep(UpstreamConnection connection) {
        if (idleDisabled || !isOfUse(connection)) {
            connection.close();
        } else {
            idle.add(connection);
        }
    }

    /** Closes the idle connections to a node. */
    public void closeIdle(Node node) {
        idle.close(node);
    }

    public void closeAllIdle() {
        idle.closeAll();
    }

    /** From now on a connection is closed when it is free: another process needs the descriptors. */
    public void disableIdleConnections() {
        idleDisabled = true;
        closeAllIdle();
    }

    private void closeUseless() {
        opener.reconcile();
        double nowMs = clock.nowMs();
        idle.closeIdleSince(nowMs - limits.idleMs());
        reuse.sweep(nowMs);
    }
}
