package ivybank.daemon;

import io.netty.channel.EventLoop;
import ivybank.common.Clock;
import ivybank.common.EventLoopStallDetector;
import ivybank.common.Log;
import ivybank.discovery.Directory;
import ivybank.discovery.HostUpdate;
import ivybank.discovery.ListLease;
import ivybank.discovery.Node;
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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Stands between the decision module and the sockets: tells the module what happens to requests and attempts, and carries out
 * what it asks for. All of it runs on one event loop, so nothing is locked.
 */
final class RequestDispatcher implements Balancer.Actions, RequestHandler, AttemptSender.Listener {

    /** Makes the module. */
    interface Factory {
        Balancer create(Settings settings, long seed, Balancer.Actions actions);
    }

    private static final int FAILED = 502;
    private static final int OUT_OF_TIME = 504;
    private static final double MICROS_IN_MS = 1000;

    private final Settings settings;
    private int sidecars; // by the fleet's own view; 0 without one
    private final EventLoop loop;
    private final Clock clock;
    private final Directory directory;
    private final UpstreamPool pool;
    private final Log log;
    private final Balancer balancer;
    private final Map<Integer, Exchange> exchanges = new HashMap<>();
    /** The ids, as clients give them, of the requests that are not answered yet. */
    private final Set<String> openIds = new HashSet<>();

    private final AttemptSender sender;
    private final ModuleEvents events;
    private final RequestCounters counters = new RequestCounters();
    private Tally tally = Tally.NONE;
    private EventLoopStallDetector stallDetector = EventLoopStallDetector.NEVER;
    private EventLoopStallDetector sendStalls = EventLoopStallDetector.NEVER;
    private final InheritedState inheritance;
    private volatile boolean listed; // read by the operators' door
    private int lastId;
    /** The request that the module is being told of, or 0. */
    private int deciding;

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
        this.balancer = factory.create(settings, seed, this);
        this.inheritance = new InheritedState(directory, balancer, events, clock);
    }

    // ---- What happens.

    void start(HostUpdate known) {
        events.tell(() -> balancer.start(clock.nowMs()));
        if (!known.entries().isEmpty()) {
            upstreams(ListKind.CACHED, known);
        }
    }

    /** From now on tells this of requests and attempts. Before the start. */
    void countIn(Tally counts) {
        tally = counts;
        sender.countIn(counts);
    }

    /** From now on minds whether the event loop was held up: for the times of requests, and for what nodes are told of them. */
    void mind(EventLoopStallDetector ofRequests, EventLoopStallDetector beforeSends) {
        stallDetector = ofRequests;
        sendStalls = beforeSends;
    }

    /** From now on sends nothing on by a list that this lease no longer covers, nor what the guard denies. */
    void heeds(ListLease lease, InvariantGuard guard) {
        sender.heeds(lease, guard);
    }

    void updated(HostUpdate update) {
        upstreams(update.whole() ? ListKind.FULL : ListKind.DELTA, update);
    }

    private void upstreams(ListKind kind, HostUpdate update) {
        // First the directory, so that a connection that is coming up is stopped even before the module is told.
        List<Upstream> entries = directory.apply(update, clock.nowMs());
        listed = true;
        events.tell(() -> balancer.upstreams(clock.nowMs(), kind, entries));
        inheritance.listed(kind);
    }

    /**
     * Takes over what another process of this sidecar has learned, as far as it is believed: of the nodes that are listed
     * now, and of those that discovery names with its first whole list.
     */
    void recall(LearnedState<String> learned, double trust) {
        inheritance.take(learned, trust);
    }

    /** What this process leaves for others of its sidecar. */
    HandoverSnapshot memory(int descriptors) {
        LearnedState<String> learned = balancer.learned().withKeys(directory::host);
        return new HandoverSnapshot(
                clock.monotonicMs(),
                unanswered,
                descriptors,
                learned.withStarts(
                        (host, startedMs) -> startedMs <= 0 ? startedMs : directory.startByDiscoveryClockMs(host)));
    }

    /** Tells what another process has out by node, and how many requests it has in hand. */
    void elsewhere(Map<String, Integer> out, int inHand) {
        Map<Integer, Integer> numbered = new HashMap<>();
        out.forEach((host, attempts) -> {
            Integer number = directory.number(host);
            if (number != null) {
                numbered.put(number, attempts);
            }
        });
        double part = inHand == 0 ? 1 : (unanswered + 1.0) / (unanswered + 1.0 + inHand);
        events.tell(() -> balancer.setSiblingLoad(numbered, part));
    }

    /** Takes over which nodes operators have taken out, by their ids, with when they did. */
    void takeOut(Map<String, Double> nodes) {
        List<Upstream> entries = directory.takeOut(nodes, clock.nowMs());
        if (!entries.isEmpty()) {
            events.tell(() -> balancer.upstreams(clock.nowMs(), ListKind.DELTA, entries));
        }
    }

    boolean knows(String node) {
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
        double deadlineMs =
                arriving ? Exchange.NO_DEADLINE_YET : RequestDeadline.atMs(request, clock.nowMs(), stallDetector);
        double earliestMs = Math.min(request.earliestArrivalMs(), sendStalls.earliestArrivalMs(clock.nowMs()));
        Exchange exchange = new Exchange(++lastId, request, deadlineMs, earliestMs, client);
        exchanges.put(exchange.id, exchange);
        openIds.add(request.callId());
        unanswered++;
        counters.taken++;
        tally.requestTaken();
        // The module goes by when it was read: less time than others have is its sign of a repeat.
        double leftMs = arriving ? request.budgetMs() : request.arrivedMs() + request.budgetMs() - clock.nowMs();
        if (!arriving) {
            guard(exchange, deadlineMs - clock.nowMs());
        }
        Request told = new Request(
                exchange.id,
                request.requestClass(),
                request.tenant(),
                Math.max(0, leftMs - RequestDeadline.reserveMs(request)),
                request.clientRetry(),
                arriving);
        events.tell(() -> {
            deciding = exchange.id;
            try {
                balancer.request(clock.nowMs(), told);
            } finally {
                deciding = 0;
            }
        });
        return exchange.id;
    }

    @Override
    public void bodyCompleted(int id) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null && !exchange.over && exchange.isArriving()) {
            double budgetMs = exchange.request.budgetMs();
            exchange.deadlineMs = clock.nowMs() + budgetMs;
            if (exchange.passingOn < 0) {
                guard(exchange, budgetMs);
            }
            events.tell(() -> balancer.arrived(
                    clock.nowMs(), id, Math.max(0, budgetMs - RequestDeadline.reserveMs(exchange.request))));
        }
    }

    private void guard(Exchange exchange, double leftMs) {
        exchange.backstop = schedule(leftMs - RequestDeadline.backstopMs(exchange.request), () -> expire(exchange));
    }

    @Override
    public boolean isInFlight(String callId) {
        return openIds.contains(callId);
    }

    @Override
    public void cancel(int id) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null && !exchange.over) {
            counters.left++;
            close(exchange);
            events.tell(() -> balancer.clientLeft(clock.nowMs(), id));
            exchange.leaveUnsent();
        }
    }

    /** Guards against a request that nothing has answered in time, whatever the reason: no client waits in vain. */
    private void expire(Exchange exchange) {
        if (!exchange.over) {
            counters.expired++;
            log.line("request " + exchange.id + " of class " + exchange.request.requestClass()
                    + " was still open at its deadline after " + exchange.attempts.size() + " attempts: failed");
            answer(exchange, Answer.status(OUT_OF_TIME));
            events.tell(() -> balancer.clientLeft(clock.nowMs(), exchange.id));
        }
    }

    /** Fails what is still open when the process is about to end: after that nobody could answer it. */
    void failOpen() {
        List<Exchange> open = exchanges.values().stream()
                .filter(exchange -> exchange.isUnanswered())
                .toList();
        if (!open.isEmpty()) {
            log.line("ending: " + open.size() + " requests were still open and are failed");
        }
        for (Exchange exchange : open) {
            counters.failed++;
            answer(exchange, Answer.status(FAILED));
            events.tell(() -> balancer.clientLeft(clock.nowMs(), exchange.id));
        }
    }

    @Override
    public void ended(Exchange exchange, int number, double sentMs, Ending ending) {
        exchange.out--;
        counters.ended(ending.outcome());
        tally(exchange.attempts.get(number).node, ending.outcome());
        exchange.recordEnd(number, ending);
        if (exchange.passingOn == number && !exchange.over) {
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
        Node node = exchange.attempts.get(number).node;
        events.tell(() -> balancer.attemptEnded(
                clock.nowMs(),
                new AttemptEnd(
                        exchange.id,
                        number,
                        node.id,
                        ending.outcome(),
                        clock.nowMs() - sentMs,
                        exchange.over,
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
    public void began(Exchange exchange, int number, double sentMs, Answer answer) {
        if (!exchange.isUnanswered()) {
            answer.remainingBody().abandon();
            return;
        }
        exchange.passingOn = number;
        exchange.stopBackstop();
        exchange.client.accept(answer);
        events.tell(() -> balancer.streamStarted(clock.nowMs(), exchange.id, number, clock.nowMs() - sentMs));
        exchange.leaveUnsent();
    }

    private void answer(Exchange exchange, Answer answer) {
        close(exchange);
        exchange.client.accept(answer);
        exchange.leaveUnsent();
    }

    private void close(Exchange exchange) {
        exchange.over = true;
        tally.requestCompleted();
        exchange.stopBackstop();
        unanswered--;
        openIds.remove(exchange.request.callId());
        forget(exchange);
    }

    private void forget(Exchange exchange) {
        if (exchange.over && exchange.out == 0) {
            exchanges.remove(exchange.id);
        }
    }

    private ScheduledFuture<?> schedule(double delayMs, Runnable task) {
        return loop.schedule(task, Math.max(0, (long) (delayMs * MICROS_IN_MS)), TimeUnit.MICROSECONDS);
    }

    // ---- What the module asks for.

    @Override
    public void send(int request, int upstream, double timeoutMs) {
        Exchange exchange = exchanges.get(request);
        Node node = directory.node(upstream);
        if (exchange == null) {
            log.line("the decision module sent request " + request + ", which is not known here");
            return;
        }
        if (node == null) {
            // It has been forgotten since: without an end of this attempt the request would wait for its deadline.
            log.line("the decision module sent request " + request + " to upstream " + upstream
                    + ", which is not known here");
            node = new Node(upstream, "unknown");
        }
        sender.send(exchange, node, timeoutMs, exchange.id == deciding);
    }

    @Override
    public void unrecorded(Exchange exchange) {
        if (!exchange.over) {
            counters.refused++;
            answer(exchange, Answer.refused(settings.limits().maxRetryAfterMs()));
            events.tell(() -> balancer.clientLeft(clock.nowMs(), exchange.id));
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
            answer(exchange, Answer.status(FAILED));
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
        schedule(delayMs, () -> events.tell(() -> balancer.timer(clock.nowMs(), token)));
    }

    @Override
    public int sidecars(int told) {
        return sidecars > 0 ? sidecars : told;
    }

    /** From now on this many are known to be there. */
    void sidecars(int now, String why) {
        if (now != sidecars) {
            sidecars = now;
            log.line("sidecars: " + now + " are reckoned with, " + why);
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
        // Discovery is watched from the start to the end.
    }

    @Override
    public void fetchList() {
        // The watch brings the whole list whenever something may have been missed.
    }

    @Override
    public void probe(int upstream) {
        log.line("the decision module asked for a probe of upstream " + upstream + ": this deployment allows none");
    }

    @Override
    public void log(String line) {
        log.line(line);
    }
}
