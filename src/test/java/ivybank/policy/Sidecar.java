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
 * Stands in for a sidecar: passes events to a balancer, carries its timers and time-outs out, and checks every action
 * against the rules. What upstreams answer is for the test to say.
 */
final class Sidecar implements Balancer.Actions {

    /** Makes the balancer under test. */
    interface Factory {
        Balancer create(Settings settings, long seed, Balancer.Actions actions);
    }

    static final class Sent {
        final int request;
        final int number;
        final int upstream;
        final double atMs;
        final double timeoutMs;
        Outcome outcome;

        Sent(int request, int number, int upstream, double atMs, double timeoutMs) {
            this.request = request;
            this.number = number;
            this.upstream = upstream;
            this.atMs = atMs;
            this.timeoutMs = timeoutMs;
        }
    }

    private static final class Open {
        final RequestClass spec;
        final double deadlineMs;
        final List<Sent> attempts = new ArrayList<>();
        boolean ended;

        Open(RequestClass spec, double deadlineMs) {
            this.spec = spec;
            this.deadlineMs = deadlineMs;
        }

        boolean out() {
            return attempts.stream().anyMatch(sent -> sent.outcome == null);
        }

        boolean mayHaveRun() {
            return attempts.stream().anyMatch(Sidecar::mayHaveRun);
        }
    }

    private record Timer(double atMs, int token) {}

    final Settings settings;
    final Balancer balancer;
    final List<String> breaches = new ArrayList<>();
    final List<String> actions = new ArrayList<>();
    final List<String> logs = new ArrayList<>();
    final List<Integer> probed = new ArrayList<>();
    final List<Sent> sent = new ArrayList<>();
    double now = 1000;
    int subscriptions;
    int refused;
    int failed;
    int served;
    private int nextRequest = 1;
    private final Map<Integer, Open> requests = new TreeMap<>();
    private final Map<Integer, Upstream> listed = new HashMap<>();
    private final Map<Integer, Double> toldOfEnd = new HashMap<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> Double.compare(a.atMs, b.atMs));

    Sidecar(Settings settings, long seed) {
        this(settings, seed, LoadShiftingBalancer::new);
    }

    Sidecar(Settings settings, long seed, Factory factory) {
        this.settings = settings;
        this.balancer = factory.create(settings, seed, this);
        balancer.start(now);
    }

    // Events.

    void list(ListKind kind, Upstream... entries) {
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            listed.keySet().forEach(id -> toldOfEnd.putIfAbsent(id, now));
        }
        for (Upstream entry : entries) {
            listed.put(entry.id(), entry);
            if (entry.status() == Status.READY) {
                toldOfEnd.remove(entry.id());
            } else {
                toldOfEnd.putIfAbsent(entry.id(), now);
            }
        }
        balancer.upstreams(now, kind, List.of(entries));
    }

    /** A list of this many ready upstreams with ids from 1. */
    void ready(int count) {
        Upstream[] entries = new Upstream[count];
        for (int i = 0; i < count; i++) {
            entries[i] = upstream(i + 1, Status.READY, 0);
        }
        list(ListKind.FULL, entries);
    }

    static Upstream upstream(int id, Status status, double startedMs) {
        return new Upstream(id, status, startedMs, id % 2, 0, id % 3, 1);
    }

    int request(int requestClass) {
        return request(requestClass, 0, settings.classes().get(requestClass).deadlineMs(), false);
    }

    int request(int requestClass, int tenant, double timeoutMs, boolean repeat) {
        int id = nextRequest++;
        requests.put(id, new Open(settings.classes().get(requestClass), now + timeoutMs));
        balancer.request(now, new Request(id, requestClass, tenant, timeoutMs, repeat, false));
        return id;
    }

    void end(Sent attempt, Outcome outcome) {
        Open open = requests.get(attempt.request);
        attempt.outcome = outcome;
        boolean done = open.ended;
        if (outcome == Outcome.OK && !open.ended) {
            open.ended = true;
            served++;
            done = true;
        }
        balancer.attemptEnded(
                now,
                new AttemptEnd(
                        attempt.request,
                        attempt.number,
                        attempt.upstream,
                        outcome,
                        now - attempt.atMs,
                        done,
                        new double[0]));
    }

    void clientLeaves(int request) {
        requests.get(request).ended = true;
        balancer.clientLeft(now, request);
    }

    /** Lets time pass, with the timers and time-outs that fall due. */
    void pass(double ms) {
        double until = now + ms;
        while (true) {
            Sent late = null;
            for (Sent attempt : out()) {
                if (late == null || attempt.atMs + attempt.timeoutMs < late.atMs + late.timeoutMs) {
                    late = attempt;
                }
            }
            double lateMs = late == null ? Double.MAX_VALUE : late.atMs + late.timeoutMs;
            double timerMs = timers.isEmpty() ? Double.MAX_VALUE : timers.peek().atMs;
            if (Math.min(lateMs, timerMs) > until) {
                break;
            }
            now = Math.max(now, Math.min(lateMs, timerMs));
            if (lateMs <= timerMs) {
                end(late, Outcome.TIMEOUT);
            } else {
                balancer.timer(now, timers.poll().token);
            }
            overdue();
        }
        now = until;
        overdue();
    }

    // What can be asked of it.

    List<Sent> out() {
        return sent.stream().filter(attempt -> attempt.outcome == null).toList();
    }

    Sent last() {
        return sent.get(sent.size() - 1);
    }

    List<Sent> attemptsOf(int request) {
        return requests.get(request).attempts;
    }

    boolean ended(int request) {
        return requests.get(request).ended;
    }

    long open() {
        return requests.values().stream().filter(open -> !open.ended).count();
    }

    // Actions, each checked.

    @Override
    public void send(int request, int upstream, double timeoutMs) {
        actions.add("send " + request + " to " + upstream + " for " + timeoutMs);
        Open open = live(request, "send");
        if (open == null) {
            return;
        }
        RequestClass spec = open.spec;
        if (!listed.containsKey(upstream)) {
            breaches.add("sent to upstream " + upstream + " that was never listed");
        }
        if (toldOfEnd.containsKey(upstream)) {
            breaches.add("drain: sent to upstream " + upstream + " that drains or is gone");
        }
        if (open.attempts.size() >= settings.limits().maxAttempts()) {
            breaches.add("attempts: more than allowed");
        }
        if (open.out() && !settings.limits().secondCopies()) {
            breaches.add("copies: two attempts out");
        }
        for (Sent before : open.attempts) {
            if (!mayHaveRun(before)) {
                continue;
            }
            if (spec.effect() == Effect.UNSAFE) {
                breaches.add("repeat: unsafe request sent again");
            }
            if (spec.effect() == Effect.KEYED
                    && (now - before.atMs >= spec.windowMs()
                            || !sameGroup(spec.group(), listed.get(before.upstream), listed.get(upstream)))) {
                breaches.add("repeat: keyed request sent outside its group or window");
            }
        }
        Sent attempt = new Sent(request, open.attempts.size(), upstream, now, timeoutMs);
        if (timeoutMs <= 0 || now + timeoutMs > open.deadlineMs) {
            breaches.add("lost: attempt may outlast the client");
        }
        open.attempts.add(attempt);
        sent.add(attempt);
    }

    @Override
    public void refuse(int request, double retryAfterMs) {
        actions.add("refuse " + request);
        Open open = live(request, "refuse");
        if (open == null) {
            return;
        }
        boolean harmless = open.spec.effect() == Effect.SAFE
                || !open.mayHaveRun()
                || open.spec.effect() == Effect.KEYED && open.spec.group() == Group.ALL;
        if (!harmless) {
            breaches.add("repeat: refused what may have run");
        }
        open.ended = true;
        refused++;
    }

    @Override
    public void fail(int request) {
        actions.add("fail " + request);
        Open open = live(request, "fail");
        if (open != null) {
            open.ended = true;
            failed++;
        }
    }

    @Override
    public void cancel(int request, int attempt) {
        actions.add("cancel " + request + "/" + attempt);
        if (!settings.limits().cancel()) {
            breaches.add("cancel: not allowed");
        }
    }

    @Override
    public void timer(double delayMs, int token) {
        actions.add("timer " + delayMs + " " + token);
        timers.add(new Timer(now + delayMs, token));
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
            breaches.add("probe: not allowed");
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

    private Open live(int request, String what) {
        Open open = requests.get(request);
        if (open == null || open.ended) {
            breaches.add("lost: " + what + " for request " + request + " that is over or unknown");
            return null;
        }
        return open;
    }

    private void overdue() {
        requests.forEach((id, open) -> {
            if (!open.ended && now > open.deadlineMs) {
                breaches.add("lost: request " + id + " not answered in time");
                open.ended = true;
            }
        });
    }

    private static boolean mayHaveRun(Sent attempt) {
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
