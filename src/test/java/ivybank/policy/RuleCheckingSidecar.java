package ivybank.policy;

import ivybank.policy.Balancer.AttemptEnd;
import ivybank.policy.Balancer.Effect;
import ivybank.policy.Balancer.Group;
import ivybank.policy.Balancer.ListKind;
import ivybank.policy.Balancer.Outcome;
import ivybank.policy.Balancer.Request;
import ivybank.policy.Balancer.RequestClass;
import ivybank.policy.Balancer.Settings;
import ivybank.policy.Balancer.Status;
import ivybank.policy.Balancer.Upstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * A test double of the sidecar: passes events to a balancer, runs its timers and timeouts, and checks each action against the
 * rules. The test decides how attempts end.
 */
final class RuleCheckingSidecar implements Balancer.Actions {

    /** Creates the balancer under test. */
    interface Factory {
        Balancer create(Settings settings, long seed, Balancer.Actions actions);
    }

    static final class SentAttempt {
        final int request;
        final int number;
        final int upstream;
        final double sentMs;
        final double timeoutMs;
        Outcome outcome;

        SentAttempt(int request, int number, int upstream, double sentMs, double timeoutMs) {
            this.request = request;
            this.number = number;
            this.upstream = upstream;
            this.sentMs = sentMs;
            this.timeoutMs = timeoutMs;
        }
    }

    private static final class RequestState {
        final RequestClass spec;
        final double deadlineMs;
        final List<SentAttempt> attempts = new ArrayList<>();
        boolean completed;

        RequestState(RequestClass spec, double deadlineMs) {
            this.spec = spec;
            this.deadlineMs = deadlineMs;
        }

        boolean hasAttemptInFlight() {
            return attempts.stream().anyMatch(sent -> sent.outcome == null);
        }

        boolean mayHaveRun() {
            return attempts.stream().anyMatch(RuleCheckingSidecar::mayHaveRun);
        }
    }

    private record Timer(double dueMs, int token) {}

    final Settings settings;
    final Balancer balancer;
    final List<String> violations = new ArrayList<>();
    final List<String> actions = new ArrayList<>();
    final List<String> logs = new ArrayList<>();
    final List<Integer> probed = new ArrayList<>();
    final List<SentAttempt> sent = new ArrayList<>();
    double nowMs = 1000;
    int subscriptions;
    int refused;
    int failed;
    int served;
    private int nextRequestId = 1;
    private final Map<Integer, RequestState> requests = new TreeMap<>();
    private final Map<Integer, Upstream> listed = new HashMap<>();
    private final Map<Integer, Double> withdrawnSinceMs = new HashMap<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> Double.compare(a.dueMs, b.dueMs));

    RuleCheckingSidecar(Settings settings, long seed) {
        this(settings, seed, LoadShiftingBalancer::new);
    }

    RuleCheckingSidecar(Settings settings, long seed, Factory factory) {
        this.settings = settings;
        this.balancer = factory.create(settings, seed, this);
        balancer.start(nowMs);
    }

    void updateList(ListKind kind, Upstream... entries) {
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            listed.keySet().forEach(id -> withdrawnSinceMs.putIfAbsent(id, nowMs));
        }
        for (Upstream entry : entries) {
            listed.put(entry.id(), entry);
            if (entry.status() == Status.READY) {
                withdrawnSinceMs.remove(entry.id());
            } else {
                withdrawnSinceMs.putIfAbsent(entry.id(), nowMs);
            }
        }
        balancer.upstreams(nowMs, kind, List.of(entries));
    }

    /** Lists this many ready upstreams, with ids from 1. */
    void listReady(int count) {
        Upstream[] entries = new Upstream[count];
        for (int i = 0; i < count; i++) {
            entries[i] = upstream(i + 1, Status.READY, 0);
        }
        updateList(ListKind.FULL, entries);
    }

    static Upstream upstream(int id, Status status, double startedMs) {
        return new Upstream(id, status, startedMs, id % 2, 0, id % 3, 1);
    }

    int request(int requestClass) {
        return request(requestClass, 0, settings.classes().get(requestClass).deadlineMs(), false);
    }

    int request(int requestClass, int tenant, double timeoutMs, boolean clientRetry) {
        int id = nextRequestId++;
        requests.put(id, new RequestState(settings.classes().get(requestClass), nowMs + timeoutMs));
        balancer.request(nowMs, new Request(id, requestClass, tenant, timeoutMs, clientRetry, false));
        return id;
    }

    void endAttempt(SentAttempt attempt, Outcome outcome) {
        RequestState state = requests.get(attempt.request);
        attempt.outcome = outcome;
        boolean completed = state.completed;
        if (outcome == Outcome.OK && !state.completed) {
            state.completed = true;
            served++;
            completed = true;
        }
        balancer.attemptEnded(
                nowMs,
                new AttemptEnd(
                        attempt.request,
                        attempt.number,
                        attempt.upstream,
                        outcome,
                        nowMs - attempt.sentMs,
                        completed,
                        new double[0]));
    }

    void disconnectClient(int request) {
        requests.get(request).completed = true;
        balancer.clientDisconnected(nowMs, request);
    }

    /** Advances the time and runs the timers and timeouts that fall due. */
    void advance(double ms) {
        double until = nowMs + ms;
        while (true) {
            SentAttempt earliest = null;
            for (SentAttempt attempt : inFlight()) {
                if (earliest == null || attempt.sentMs + attempt.timeoutMs < earliest.sentMs + earliest.timeoutMs) {
                    earliest = attempt;
                }
            }
            double timeoutDueMs = earliest == null ? Double.MAX_VALUE : earliest.sentMs + earliest.timeoutMs;
            double timerDueMs = timers.isEmpty() ? Double.MAX_VALUE : timers.peek().dueMs;
            if (Math.min(timeoutDueMs, timerDueMs) > until) {
                break;
            }
            nowMs = Math.max(nowMs, Math.min(timeoutDueMs, timerDueMs));
            if (timeoutDueMs <= timerDueMs) {
                endAttempt(earliest, Outcome.TIMEOUT);
            } else {
                balancer.timer(nowMs, timers.poll().token);
            }
            checkDeadlines();
        }
        nowMs = until;
        checkDeadlines();
    }

    List<SentAttempt> inFlight() {
        return sent.stream().filter(attempt -> attempt.outcome == null).toList();
    }

    SentAttempt lastAttempt() {
        return sent.get(sent.size() - 1);
    }

    List<SentAttempt> attemptsOf(int request) {
        return requests.get(request).attempts;
    }

    boolean isCompleted(int request) {
        return requests.get(request).completed;
    }

    long openRequests() {
        return requests.values().stream().filter(state -> !state.completed).count();
    }

    @Override
    public void send(int request, int upstream, double timeoutMs) {
        actions.add("send " + request + " to " + upstream + " for " + timeoutMs);
        RequestState state = openRequest(request, "send");
        if (state == null) {
            return;
        }
        RequestClass spec = state.spec;
        if (!listed.containsKey(upstream)) {
            violations.add("sent to upstream " + upstream + " that was never listed");
        }
        if (withdrawnSinceMs.containsKey(upstream)) {
            violations.add("drain: sent to upstream " + upstream + " that is draining or gone");
        }
        if (state.attempts.size() >= settings.limits().maxAttempts()) {
            violations.add("attempts: more than allowed");
        }
        if (state.hasAttemptInFlight() && !settings.limits().secondCopies()) {
            violations.add("copies: two attempts in flight");
        }
        for (SentAttempt before : state.attempts) {
            if (!mayHaveRun(before)) {
                continue;
            }
            if (spec.effect() == Effect.UNSAFE) {
                violations.add("repeat: unsafe request sent again");
            }
            if (spec.effect() == Effect.KEYED
                    && (nowMs - before.sentMs >= spec.windowMs()
                            || !sameGroup(spec.group(), listed.get(before.upstream), listed.get(upstream)))) {
                violations.add("repeat: keyed request sent outside its group or window");
            }
        }
        SentAttempt attempt = new SentAttempt(request, state.attempts.size(), upstream, nowMs, timeoutMs);
        if (timeoutMs <= 0 || nowMs + timeoutMs > state.deadlineMs) {
            violations.add("lost: attempt may outlast the client");
        }
        state.attempts.add(attempt);
        sent.add(attempt);
    }

    @Override
    public void refuse(int request, double retryAfterMs) {
        actions.add("refuse " + request);
        RequestState state = openRequest(request, "refuse");
        if (state == null) {
            return;
        }
        boolean retrySafe = state.spec.effect() == Effect.SAFE
                || !state.mayHaveRun()
                || state.spec.effect() == Effect.KEYED && state.spec.group() == Group.ALL;
        if (!retrySafe) {
            violations.add("repeat: refused a request that may have run");
        }
        state.completed = true;
        refused++;
    }

    @Override
    public void fail(int request) {
        actions.add("fail " + request);
        RequestState state = openRequest(request, "fail");
        if (state != null) {
            state.completed = true;
            failed++;
        }
    }

    @Override
    public void cancel(int request, int attempt) {
        actions.add("cancel " + request + "/" + attempt);
        if (!settings.limits().cancel()) {
            violations.add("cancel: not allowed");
        }
    }

    @Override
    public void timer(double delayMs, int token) {
        actions.add("timer " + delayMs + " " + token);
        timers.add(new Timer(nowMs + delayMs, token));
    }

    @Override
    public void subscribe(boolean on) {
        actions.add("subscribe " + on);
        subscriptions++;
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
        logs.add(line);
    }

    @Override
    public void probe(int upstream) {
        probed.add(upstream);
        if (!settings.limits().probes()) {
            violations.add("probe: not allowed");
        }
    }

    @Override
    public void fetchList() {
        actions.add("fetch");
    }

    @Override
    public void closeIdle(int upstream) {
        actions.add("close " + upstream);
    }

    private RequestState openRequest(int request, String action) {
        RequestState state = requests.get(request);
        if (state == null || state.completed) {
            violations.add("lost: " + action + " for request " + request + " that is completed or unknown");
            return null;
        }
        return state;
    }

    private void checkDeadlines() {
        requests.forEach((id, state) -> {
            if (!state.completed && nowMs > state.deadlineMs) {
                violations.add("lost: request " + id + " not answered in time");
                state.completed = true;
            }
        });
    }

    private static boolean mayHaveRun(SentAttempt attempt) {
        return attempt.outcome == null || !attempt.outcome.provesNotRun();
    }

    private static boolean sameGroup(Group group, Upstream a, Upstream b) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> a.zone() == b.zone();
            case CELL -> a.cell() == b.cell();
        };
    }
}
