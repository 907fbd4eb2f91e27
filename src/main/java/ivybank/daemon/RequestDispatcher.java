package ivybank.daemon;

import io.netty.channel.EventLoop;
import ivybank.common.Clock;
import ivybank.common.EventLoopStallDetector;
import ivybank.common.Log;
import ivybank.discovery.Directory;
import ivybank.discovery.ListLease;
import ivybank.discovery.Node;
import ivybank.discovery.NodeListUpdate;
import ivybank.exchange.Answer;
import ivybank.exchange.ClientRequest;
import ivybank.exchange.RequestHandler;
import ivybank.handover.HandoverSnapshot;
import ivybank.handover.LearnedState;
import ivybank.invariants.InvariantGuard;
import ivybank.policy.Balancer;
import ivybank.policy.Balancer.AttemptEnd;
import ivybank.policy.Balancer.ListKind;
import ivybank.policy.Balancer.Outcome;
import ivybank.policy.Balancer.Request;
import ivybank.policy.Balancer.Settings;
import ivybank.policy.Balancer.Upstream;
import ivybank.tally.Stage;
import ivybank.tally.Tally;
import ivybank.upstream.UpstreamAttempt.Ending;
import ivybank.upstream.UpstreamPool;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Connects the decision module and the sockets: notifies the module of what happens to requests and attempts, and
 * carries out its actions. Runs on one event loop, so that nothing is locked.
 */
final class RequestDispatcher implements Balancer.Actions, RequestHandler, AttemptSender.Listener {

    /** Creates the decision module. */
    interface Factory {
        Balancer create(Settings settings, long seed, Balancer.Actions actions);
    }

    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final double MICROS_IN_MS = 1000;

    private final Settings settings;
    private int sidecars; // from the view of the fleet; 0 without one
    private final EventLoop loop;
    private final Clock clock;
    private final Directory directory;
    private final UpstreamPool pool;
    private final Log log;
    private final Balancer balancer;
    private final Map<Integer, Exchange> exchanges = new HashMap<>();
    private final RepeatedCalls repeatedCalls;

    private final AttemptSender sender;
    private final ModuleEvents events;
    private final RequestCounters counters = new RequestCounters();
    private Tally tally = Tally.NONE;
    private EventLoopStallDetector deadlineStalls = EventLoopStallDetector.NEVER;
    private EventLoopStallDetector forwardStalls = EventLoopStallDetector.NEVER;
    private final InheritedState inheritedState;
    private volatile boolean listed; // read by the admin endpoint
    private final RequestTimers timers;
    private int lastId;
    /** The request that the module is being notified of, or 0. */
    private int notifyingRequest;

    private int unanswered;

    RequestDispatcher(
            Settings settings,
            long seed,
            Factory factory,
            EventLoop loop,
            Clock clock,
            Directory directory,
            UpstreamPool pool,
            Log log) {
        this.settings = settings;
        this.loop = loop;
        this.clock = clock;
        this.directory = directory;
        this.pool = pool;
        this.log = log;
        this.sender = new AttemptSender(settings, clock, pool, this);
        this.events = new ModuleEvents(log);
        this.timers = new RequestTimers(loop, clock, new RequestTimers.Listener() {
            @Override
            public void unanswered(Exchange exchange) {
                failAtDeadline(exchange);
            }

            @Override
            public void unfinished(Exchange exchange) {
                endAnswer(exchange);
            }
        });
        this.repeatedCalls = new RepeatedCalls(settings, clock);
        this.balancer = factory.create(settings, seed, this);
        this.inheritedState = new InheritedState(directory, balancer, events, clock);
    }

    /** Starts the module with the nodes that were known last. */
    void start(NodeListUpdate known) {
        events.deliver(() -> balancer.start(clock.nowMs()));
        if (!known.entries().isEmpty()) {
            upstreams(ListKind.CACHED, known);
        }
    }

    /** Sets the tally that requests and attempts are counted in. Called before the start. */
    void setTally(Tally counts) {
        tally = counts;
        sender.setTally(counts);
    }

    /**
     * Sets the detectors of event loop stalls: one for the deadlines of requests, one for the budgets that are
     * forwarded to nodes.
     */
    void setStallDetectors(EventLoopStallDetector forDeadlines, EventLoopStallDetector forForwarding) {
        deadlineStalls = forDeadlines;
        forwardStalls = forForwarding;
    }

    /**
     * From now on forwards no request that relies on a list which this lease no longer covers, or that the guard
     * denies.
     */
    void enforce(ListLease lease, InvariantGuard guard) {
        sender.enforce(lease, guard);
    }

    /** Applies an update of the list of nodes. */
    void listUpdated(NodeListUpdate update) {
        upstreams(update.whole() ? ListKind.FULL : ListKind.DELTA, update);
    }

    private void upstreams(ListKind kind, NodeListUpdate update) {
        // The directory comes first: it stops connections that are being opened before the module is notified.
        List<Upstream> entries = directory.apply(update, clock.nowMs());
        listed = true;
        events.deliver(() -> balancer.upstreams(clock.nowMs(), kind, entries));
        inheritedState.listed(kind);
    }

    /**
     * Takes over what another process of this sidecar has learned, weighted by the confidence in it: for the nodes that
     * are listed now, and for those in the first full list of discovery.
     */
    void restore(LearnedState<String> learned, double confidence) {
        inheritedState.take(learned, confidence);
    }

    /** Returns the state that this process shares with other processes of its sidecar. */
    HandoverSnapshot snapshot(int descriptors) {
        LearnedState<String> learned = balancer.learned().withKeys(directory::host);
        return new HandoverSnapshot(
                clock.monotonicMs(),
                unanswered,
                descriptors,
                learned.withStarts(
                        (host, startedMs) -> startedMs <= 0 ? startedMs : directory.startByDiscoveryClockMs(host)));
    }

    /**
     * Sets the load of another process of this sidecar.
     *
     * @param inFlight its attempts in flight, by node
     * @param unansweredThere its requests in progress
     */
    void siblingLoad(Map<String, Integer> inFlight, int unansweredThere) {
        Map<Integer, Integer> byNumber = new HashMap<>();
        inFlight.forEach((host, attempts) -> {
            Integer number = directory.number(host);
            if (number != null) {
                byNumber.put(number, attempts);
            }
        });
        double share = unansweredThere == 0 ? 1 : (unanswered + 1.0) / (unanswered + 1.0 + unansweredThere);
        events.deliver(() -> balancer.setSiblingLoad(byNumber, share));
    }

    /** Applies the nodes that operators have put into maintenance, by id, with the time of each. */
    void applyMaintenance(Map<String, Double> nodes) {
        List<Upstream> entries = directory.setOutOfService(nodes, clock.nowMs());
        if (!entries.isEmpty()) {
            events.deliver(() -> balancer.upstreams(clock.nowMs(), ListKind.DELTA, entries));
        }
    }

    /** From now on shares the calls that must not run twice with other processes of the sidecar. */
    void shareCalls(SharedCallTable table) {
        repeatedCalls.share(table);
    }

    /** Returns how many nodes are known. */
    int knownNodes() {
        return directory.size();
    }

    /** Returns whether a node with this id is known. */
    boolean isKnownNode(String node) {
        return directory.contains(node);
    }

    @Override
    public boolean ready() {
        return listed;
    }

    @Override
    public int unanswered() {
        return unanswered;
    }

    RequestCounters counters() {
        return counters;
    }

    @Override
    public int handle(ClientRequest request, Consumer<Answer> client) {
        boolean arriving = request.isIncomplete();
        RequestDeadline deadline =
                arriving ? RequestDeadline.NONE_YET : RequestDeadline.of(request, clock.nowMs(), deadlineStalls);
        double earliestMs = Math.min(request.earliestArrivalMs(), forwardStalls.earliestArrivalMs(clock.nowMs()));
        Exchange exchange = new Exchange(++lastId, request, deadline, earliestMs, client);
        request.memory().retain();
        exchanges.put(exchange.id, exchange);
        repeatedCalls.opened(request);
        unanswered++;
        counters.taken++;
        tally.requestTaken();
        // The time left counts from when the request was read: the module takes less time than usual as a sign of a
        // retry.
        double leftMs = arriving ? request.budgetMs() : request.arrivedMs() + request.budgetMs() - clock.nowMs();
        if (!arriving) {
            timers.start(exchange);
        }
        Request notified = new Request(
                exchange.id,
                request.requestClass(),
                request.tenant(),
                Math.max(0, leftMs - RequestDeadline.reserveMs(request)),
                request.clientRetry(),
                arriving);
        events.deliver(() -> {
            notifyingRequest = exchange.id;
            try {
                balancer.request(clock.nowMs(), notified);
            } finally {
                notifyingRequest = 0;
            }
        });
        return exchange.id;
    }

    @Override
    public void bodyCompleted(int id, double earliestMs) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null && !exchange.closed && exchange.isArriving()) {
            double nowMs = clock.nowMs();
            exchange.completed(nowMs, RequestDeadline.of(exchange.request, earliestMs, nowMs, deadlineStalls));
            double leftMs = exchange.deadline.atMs() - nowMs;
            timers.start(exchange);
            events.deliver(() -> balancer.bodyCompleted(
                    clock.nowMs(), id, Math.max(0, leftMs - RequestDeadline.reserveMs(exchange.request))));
        }
    }

    @Override
    public boolean isInFlight(String callId) {
        return repeatedCalls.isInUse(callId);
    }

    @Override
    public boolean mayHaveRun(ClientRequest request) {
        return repeatedCalls.mayHaveRun(request.callId());
    }

    @Override
    public void turnedAway(String callId) {
        repeatedCalls.turnedAway(callId);
    }

    @Override
    public void answerRead(int number, String callId) {
        repeatedCalls.answerRead(number, callId);
    }

    @Override
    public void clientDisconnected(int id) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null && !exchange.closed) {
            counters.abandoned++;
            close(exchange);
            events.deliver(() -> balancer.clientDisconnected(clock.nowMs(), id));
            exchange.abandonUnsent();
        }
    }

    /**
     * Ends an answer that was begun and does not come to its end in time; the end of its connection tells its client.
     */
    private void endAnswer(Exchange exchange) {
        log.line("request " + exchange.id + " of class " + exchange.request.requestClass()
                + " has no end of its answer in time: broken off");
        exchange.streaming().breakOffAnswer();
    }

    /**
     * Fails a request at its deadline. Guards against a request that nothing has answered in time, for whatever reason:
     * its client would wait without end.
     */
    private void failAtDeadline(Exchange exchange) {
        if (!exchange.closed) {
            counters.expired++;
            log.line("request " + exchange.id + " of class " + exchange.request.requestClass()
                    + " was still open at its deadline after " + exchange.attempts.size() + " attempts: "
                    + (exchange.hasNotRun() ? "refused" : "failed"));
            answer(
                    exchange,
                    exchange.hasNotRun()
                            ? Answer.refused(settings.limits().maxRetryAfterMs())
                            : Answer.status(GATEWAY_TIMEOUT));
            events.deliver(() -> balancer.clientDisconnected(clock.nowMs(), exchange.id));
        }
    }

    /**
     * Fails all open requests when the process is about to end, and breaks off short answers without an end: nobody could
     * do so afterwards.
     */
    void failOpen() {
        List<Exchange> open =
                exchanges.values().stream().filter(Exchange::isUnanswered).toList();
        List<Exchange> unfinished = exchanges.values().stream()
                .filter(Exchange::isShortAnswerUnfinished)
                .toList();
        if (!open.isEmpty()) {
            log.line("drain: failing " + open.size() + " requests that are still open");
        }
        unfinished.forEach(this::endAnswer);
        for (Exchange exchange : open) {
            counters.failed++;
            answer(exchange, Answer.status(BAD_GATEWAY));
            events.deliver(() -> balancer.clientDisconnected(clock.nowMs(), exchange.id));
        }
    }

    @Override
    public void attemptEnded(Exchange exchange, int number, double sentMs, Ending ending) {
        exchange.inFlight--;
        counters.attemptEnded(ending.outcome());
        tally(exchange.attempts.get(number).node, ending.outcome());
        exchange.recordEnd(number, ending);
        if (exchange.streamingAttempt == number && !exchange.closed) {
            if (ending.outcome() == Outcome.OK) {
                served();
            } else {
                counters.failed++;
            }
            close(exchange);
        } else if (ending.outcome() == Outcome.OK && exchange.isUnanswered()) {
            served();
            double endedMs = clock.nowMs();
            answer(exchange, Answer.served(ending.contentType(), ending.body()));
            tally.stageCompleted(Stage.ANSWER_WRITTEN, clock.nowMs() - endedMs);
        }
        if (exchange.closed && ending.outcome().provesNotRun() && exchange.hasNotRun()) {
            repeatedCalls.provedNotRun(exchange.request);
        }
        Node node = exchange.attempts.get(number).node;
        events.deliver(() -> balancer.attemptEnded(
                clock.nowMs(),
                new AttemptEnd(
                        exchange.id,
                        number,
                        node.id,
                        ending.outcome(),
                        clock.nowMs() - sentMs,
                        exchange.closed,
                        ending.report())));
        forget(exchange);
    }

    private void tally(Node node, Outcome outcome) {
        if (outcome == Outcome.REJECTED) {
            tally.attemptRejected(node.host);
        } else if (outcome == Outcome.TIMEOUT) {
            tally.attemptTimedOut(node.host);
        }
    }

    private void served() {
        counters.served++;
        tally.requestServed();
    }

    @Override
    public void responseStarted(Exchange exchange, int number, double sentMs, Answer answer) {
        if (!exchange.isUnanswered()) {
            answer.remainingBody().abandon();
            return;
        }
        exchange.streamingAttempt = number;
        timers.answerStarted(exchange);
        exchange.client.accept(answer);
        events.deliver(() -> balancer.streamStarted(clock.nowMs(), exchange.id, number, clock.nowMs() - sentMs));
        exchange.abandonUnsent();
    }

    private void answer(Exchange exchange, Answer answer) {
        close(exchange);
        exchange.client.accept(answer);
        exchange.abandonUnsent();
    }

    private void close(Exchange exchange) {
        exchange.closed = true;
        repeatedCalls.closed(exchange.id, exchange.request, !exchange.hasNotRun());
        tally.requestCompleted();
        timers.stop(exchange);
        unanswered--;
        forget(exchange);
    }

    private void forget(Exchange exchange) {
        if (exchange.closed && exchange.inFlight == 0 && exchanges.containsKey(exchange.id)) {
            exchanges.remove(exchange.id);
            exchange.request.memory().release();
        }
    }

    private ScheduledFuture<?> schedule(double delayMs, Runnable task) {
        return loop.schedule(task, Math.max(0, (long) (delayMs * MICROS_IN_MS)), TimeUnit.MICROSECONDS);
    }

    @Override
    public void send(int request, int upstream, double timeoutMs) {
        Exchange exchange = exchanges.get(request);
        Node node = directory.node(upstream);
        if (exchange == null) {
            log.line("the decision module sent request " + request + ", which is unknown");
            return;
        }
        if (node == null) {
            // The node has been removed since. The attempt still has to end, or the request would wait for its
            // deadline.
            log.line("the decision module sent request " + request + " to upstream " + upstream + ", which is unknown");
            node = new Node(upstream, "unknown");
        }
        sender.send(exchange, node, timeoutMs, exchange.id == notifyingRequest);
    }

    @Override
    public void recordFailed(Exchange exchange) {
        if (!exchange.closed) {
            counters.refused++;
            answer(exchange, Answer.refused(settings.limits().maxRetryAfterMs()));
            events.deliver(() -> balancer.clientDisconnected(clock.nowMs(), exchange.id));
        }
    }

    @Override
    public void refuse(int request, double retryAfterMs) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null && exchange.isUnanswered()) {
            counters.refused++;
            answer(exchange, Answer.refused(retryAfterMs));
        }
    }

    @Override
    public void fail(int request) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null && exchange.isUnanswered()) {
            counters.failed++;
            answer(exchange, Answer.status(BAD_GATEWAY));
        }
    }

    @Override
    public void cancel(int request, int attempt) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null && attempt >= 0 && attempt < exchange.attempts.size()) {
            exchange.attempts.get(attempt).stop(Outcome.CANCELLED);
        }
    }

    @Override
    public void timer(double delayMs, int token) {
        schedule(delayMs, () -> events.deliver(() -> balancer.timer(clock.nowMs(), token)));
    }

    @Override
    public int sidecars(int configured) {
        return sidecars > 0 ? sidecars : configured;
    }

    /** Sets the known number of sidecars. */
    void sidecars(int count, String reason) {
        if (count != sidecars) {
            sidecars = count;
            log.line("sidecars: the number in use is " + count + ", " + reason);
        }
    }

    @Override
    public void closeIdle(int upstream) {
        Node node = directory.node(upstream);
        if (node != null) {
            pool.closeIdle(node);
        }
    }

    @Override
    public void subscribe(boolean on) {
        // The watch on discovery is open from the start to the end.
    }

    @Override
    public void fetchList() {
        // The watch sends the full list whenever a change may have been missed.
    }

    @Override
    public void probe(int upstream) {
        log.line("the decision module asked for a probe of upstream " + upstream
                + ", which this deployment does not allow");
    }

    @Override
    public void log(String line) {
        log.line(line);
    }
}
