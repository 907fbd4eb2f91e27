package ivybank.policy;

import ivybank.handover.Confidence;
import ivybank.handover.LearnedState;
import ivybank.queue.RankedQueues;
import ivybank.slowstart.ColdNodeRateLimiter;
import ivybank.subsetting.SubsetSize;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Load shifting by latency-equalising shares, behind {@code Balancer.java}: first the ordinary path. */
public final class LoadShiftingBalancer implements Balancer {

    private static final double STEP = 0.2; // of a share, for a deviation of one mean in a tick: the paper's
    private static final double TICK_MS = 1000; // many answers fall into it, and moved load shows within it
    private static final double MOST_DEVIATION = 2; // in means: a factor is never under 1 - 0.2 x 2
    private static final double HALF_TRUST = 4; // samples at which the mean of a tick counts half
    private static final double LEAST_SHARE = 0.1; // of the mean share, so that each member is still seen
    private static final double MEDIAN_STEP = 0.02; // what one answer moves a running median
    private static final double FIRST_TYPICAL = 4; // of them in an aim, before any answer is known
    private static final double SMOOTHING = 32; // answers over which a server's latency is smoothed
    private static final double FORGET = 0.005; // of the quiet latency in a tick: machines change
    private static final int STREAK = 3; // failures or slow answers in a row that are hardly chance
    private static final double SILENCE = 6; // typical latencies that tell; half that where several are out
    private static final double LONGEST_GAP_MS = 4000; // between trials: a fault lasts for seconds
    private static final double COLD_PART = 0.6; // of the contract's overload factor: bursts fill the rest
    private static final double EXTRA = 0.25; // further attempts and second copies for each request
    private static final double EXTRA_SAVED = 20; // of them that may be saved up
    private static final double REPEAT_WORTH = 0.1; // of a first try: the aim has run since that
    private static final double FADE = 0.02; // of what was offered and served that is forgotten in a tick
    private static final double PROBES_WORTH = 0.02; // of a request's worth, for the probes of one attempt
    private static final double LONGEST_WAIT = 0.3; // of a typical latency: it holds a client's connection
    private static final double LATE = 0.75; // of the aim: a request that takes longer is about to be lost
    private static final double TOLERATED = 1 / 3.0; // of the attempts late: the sick servers'
    private static final double CUT = 0.75; // of what is admitted, in an aim in which all is late
    private static final double RAISE = 1.15; // of what is admitted, in an aim without that
    private static final double LEAST_ADMITTED = 0.05; // so that something is heard of the servers
    private static final double TICKS_IN_AIM = 16; // control ticks within the shortest aim
    private static final int CONTROL_TIMER = 1;
    private static final int SUBSCRIBE_TIMER = 2;

    /** Why a request is given up: more than is admitted, no room or no time left, or its attempts failed. */
    private enum Cause {
        ADMISSION,
        ROOM,
        TIME,
        ATTEMPTS
    }

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final double controlMs;
    private final List<ClassView> classes = new ArrayList<>();
    private final HostList list = new HostList();
    private final List<Host> members = list.members;
    private final Map<Integer, Call> calls = new HashMap<>();
    private final RankedQueues<Call> waiting;
    private final List<Call> asking = new ArrayList<>();
    private final int heldField;
    private final int busyField;
    private final int probes; // for each attempt
    private final SubsetSize subset;
    private boolean controlArmed;
    private boolean subscribeArmed;
    private int subscribeFailures;
    private double nextShareTickMs;
    private final ColdNodeRateLimiter coldNodeRates = new ColdNodeRateLimiter();
    private final double[] offered;
    private final double[] refusedPart; // of each queue, at once
    private double admit = 1;
    private double nextAdmissionMs;
    private double late;
    private double known; // attempts, late or timely; older ones count less
    private boolean dense; // enough answers of each member in the last tick
    private double extra = EXTRA_SAVED / 2;
    private final Map<Cause, Integer> givenUp = new EnumMap<>(Cause.class); // in this tick

    public LoadShiftingBalancer(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        subset = new SubsetSize(() -> actions.sidecars(settings.sidecars()));
        this.random = new SplittableRandom(seed);
        settings.classes().forEach(spec -> classes.add(new ClassView(spec, spec.aimMs() / FIRST_TYPICAL)));
        waiting = new RankedQueues<>(classes.size());
        offered = new double[waiting.count()];
        refusedPart = new double[offered.length];
        heldField = settings.reportFields().indexOf("active");
        busyField = settings.reportFields().indexOf("cpu");
        probes = !settings.limits().probes() || heldField < 0
                ? 0
                : (int) Math.min(
                        SubsetSize.USUAL / 2, PROBES_WORTH / settings.goal().probePrice());
        controlMs = Math.max(settings.tickMs(), settings.shortestAimMs() / TICKS_IN_AIM);
    }

    @Override
    public void start(double nowMs) {
        nextShareTickMs = nowMs + TICK_MS;
        if (settings.subscribesToList()) {
            actions.subscribe(true);
        }
    }

    // ---- The ordinary path: each request goes to a member of the subset, drawn in proportion to the shares.

    @Override
    public void request(double nowMs, Request request) {
        ClassView view = classes.get(request.requestClass());
        // Where late answers are worth nothing, what comes after the aim earns nothing.
        double worthMs = view.spec.lateWorth() == 0 ? view.spec.aimMs() : request.timeoutMs();
        double usefulUntilMs = nowMs + Math.min(request.timeoutMs(), worthMs) - 2 * settings.tickMs();
        // Where clients do not mark repeats, less patience than others have is the sign of a later try.
        view.longestTryMs = Math.max(view.longestTryMs, request.timeoutMs());
        boolean repeat = request.repeat()
                || !settings.repeatsMarked() && request.timeoutMs() < view.longestTryMs - settings.tickMs();
        int queue = waiting.queue(request.requestClass(), repeat);
        Call call = new Call(request.id(), view, queue, repeat, usefulUntilMs);
        call.arriving = request.arriving();
        view.offered++;
        offered[queue]++;
        subset.asked(nowMs, repeat ? 0 : Math.min(view.quietMs(), view.spec.aimMs() / FIRST_TYPICAL));
        calls.put(call.id, call);
        extra = Math.min(EXTRA_SAVED, extra + EXTRA);
        if (!controlArmed) {
            actions.timer(controlMs, CONTROL_TIMER);
        }
        controlArmed = true;
        if (random.nextDouble() >= refusedPart[queue]) {
            place(nowMs, call);
        } else {
            giveUp(call, Cause.ADMISSION);
        }
    }

    @Override
    public void arrived(double nowMs, int request, double timeoutMs) {
        Call call = calls.get(request);
        if (call != null && call.arriving) {
            call.arriving = false;
            call.usefulUntilMs = nowMs + timeoutMs;
            call.attempts.stream().filter(attempt -> attempt.outcome == null).forEach(attempt -> attempt.load(nowMs));
        }
    }

    private void place(double nowMs, Call call) {
        if (call.usefulUntilMs - nowMs <= call.view.typicalMs() / 2) {
            giveUp(call, Cause.TIME); // to earn, and perhaps to be answered in time after an attempt
        } else if (probes > 0 && call.asked.isEmpty() && ask(nowMs, call)) {
            asking.add(call);
        } else if ((!waiting.isEmpty() || !dispatch(nowMs, call)) && !shed(nowMs, call)) {
            call.waitingSinceMs = nowMs;
            waiting.add(call.queue, call);
        }
    }

    private boolean dispatch(double nowMs, Call call) {
        Host trial = trialHost(nowMs, call);
        Host host = trial != null ? trial : pick(nowMs, call);
        if (host == null) {
            return false;
        }
        double mostMs = trial == null ? Double.MAX_VALUE : SILENCE * call.view.typicalMs();
        send(nowMs, call, host, Math.min(mostMs, call.usefulUntilMs - nowMs));
        return true;
    }

    private Host pick(double nowMs, Call call) {
        Host host = coldHost(nowMs, call);
        if (host == null) {
            weigh(nowMs, call, false);
            host = call.asked.isEmpty()
                    ? list.at(random.nextDouble())
                    : call.asked.stream()
                            .filter(asked -> asked.weight > 0 && members.contains(asked))
                            .filter(asked -> asked.held * call.view.quietMs() < call.usefulUntilMs - nowMs)
                            .min(Comparator.comparingDouble(asked -> asked.held))
                            .orElse(null);
        }
        subset.offered(host != null);
        if (host == null && call.asked.isEmpty()) { // what the warm ones have no room for
            weigh(nowMs, call, true);
            host = list.at(random.nextDouble());
        }
        return host;
    }

    private void weigh(double nowMs, Call call, boolean cold) {
        boolean allTried = members.stream().allMatch(call::tried);
        // Never most of the subset: that many are not all at fault.
        boolean avoid =
                2 * members.stream().filter(host -> host.setAside != null).count() <= members.size();
        for (Host host : members) {
            boolean out = avoid && host.setAside != null
                    || !allTried && call.tried(host)
                    || (cold
                            ? !host.tokens.has(
                                    nowMs, coldNodeRates.allowedPerMs(host.listed.kind(), coldPart(nowMs, host, call)))
                            : host.isCold(nowMs, settings.contract()))
                    || !call.mayGoTo(host, nowMs)
                    || host.concurrency.isFull(nowMs);
            host.weight = out ? 0 : host.share;
        }
    }

    // ---- Probes. Guards against queues that a sidecar of few requests can't see. Acts where a probe tells
    // what a server holds, and costs little: a request draws several members by share, probes them, and goes
    // to the one that holds least, the first drawn of equals. It waits for a control tick at most.

    private boolean ask(double nowMs, Call call) {
        weigh(nowMs, call, false);
        for (int i = 0; i < probes; i++) {
            Host host = list.at(random.nextDouble());
            if (host != null) {
                call.asked.add(host);
                host.weight = 0;
                probe(host);
            }
        }
        call.askedMs = nowMs;
        return !call.asked.isEmpty();
    }

    private void probe(Host host) {
        if (!host.probing) {
            actions.probe(host.id);
        }
        host.probing = true;
    }

    @Override
    public void probeEnded(double nowMs, int upstream, Outcome outcome, double elapsedMs, double[] report) {
        Host host = list.find(upstream);
        if (host != null) {
            host.probing = false;
            host.held = report.length > heldField ? report[heldField] : Double.MAX_VALUE;
            note(nowMs, host, outcome == Outcome.OK);
        }
        placeAsked(nowMs);
    }

    private void placeAsked(double nowMs) {
        for (Call call : List.copyOf(asking)) {
            if (nowMs - call.askedMs >= controlMs || call.asked.stream().noneMatch(host -> host.probing)) {
                asking.remove(call);
                place(nowMs, call);
            }
        }
    }

    private void send(double nowMs, Call call, Host host, double timeoutMs) {
        new Attempt(call, host, nowMs, timeoutMs).begin();
        call.asked.clear();
        host.tokens.take();
        actions.send(call.id, host.id, timeoutMs);
    }

    /** The design's step: D <- D (1 + eta F l) for members with samples in this tick, then renormalised. */
    private void shiftShares(double nowMs) {
        for (Host host : members) {
            // A hung server answers nothing: what is out for longer than usual counts by its age.
            host.attempts.stream()
                    .mapToDouble(attempt -> attempt.age(nowMs) / attempt.call.view.typicalMs())
                    .filter(ratio -> ratio > 1)
                    .forEach(host.latencies::add);
        }
        dense = list.sampled().mapToDouble(host -> host.latencies.count()).sum() >= STREAK * members.size();
        double mean = list.sampled()
                .mapToDouble(host -> host.latencies.mean())
                .average()
                .orElse(1);
        for (Host host : members) {
            if (host.latencies.count() > 0 && mean > 0) { // else 0 / 0 would make every share NaN
                double deviation = (host.latencies.mean() - mean) / mean;
                double trust = host.latencies.count() / (host.latencies.count() + HALF_TRUST);
                double factor = 1 - STEP * trust * Math.min(MOST_DEVIATION, deviation);
                host.share = Math.max(host.share * factor, LEAST_SHARE / members.size());
            }
            host.latencies.clear();
        }
        list.normalise();
    }

    // The lowest random ranks: one that leaves gives way to a random ready server, at the mean share, and a
    // new server enters as often as any other, also where nobody leaves.
    private void fillSubset() {
        List<Host> ready = list.ready();
        ready.sort(Comparator.comparingDouble(host -> host.rank));
        List<Host> chosen = ready.subList(0, subset.of(ready.size()));
        members.removeIf(host -> !chosen.contains(host));
        double meanWeight = chosen.stream()
                .mapToDouble(host -> host.listed.weight())
                .average()
                .orElse(0);
        double meanShare = members.isEmpty() ? 1 : 1.0 / members.size();
        for (Host host : chosen) {
            if (!members.contains(host)) {
                host.concurrency.reset(Math.max(1, subset.leastWindow(list.hosts.size())));
                subset.added(host.id);
                // As the paper starts: in proportion to the listed size.
                host.share = meanShare * (meanWeight > 0 ? host.listed.weight() / meanWeight : 1);
                members.add(host);
            }
        }
        list.normalise();
    }

    private void shareTick(double nowMs) {
        nextShareTickMs = nowMs + TICK_MS;
        shiftShares(nowMs);
        classes.forEach(view -> view.tick(1 - FADE, SMOOTHING, FORGET));
        if (subset.tick(
                members.stream().mapToDouble(host -> host.concurrency.spare()).sum() >= 0, list.hosts.size())) {
            fillSubset();
        }
        tellGivenUp(nowMs);
    }

    /** Explains the gaps of a tick: why so many requests were given up, and how much room the members had. */
    private void tellGivenUp(double nowMs) {
        if (!givenUp.isEmpty()) {
            long full = members.stream()
                    .filter(host -> host.concurrency.isFull(nowMs))
                    .count();
            long cold = members.stream()
                    .filter(host -> host.isCold(nowMs, settings.contract()))
                    .count();
            long aside = members.stream().filter(host -> host.setAside != null).count();
            actions.log("given up within " + Math.round(TICK_MS) + " ms: " + givenUp + "; admitting "
                    + Math.round(100 * admit) + "%; of " + members.size() + " members " + full
                    + " full, " + cold + " cold, " + aside + " set aside");
        }
        givenUp.clear();
    }

    // ---- Another process of this sidecar, before this one or beside it: what it has learned, and what it has out.

    @Override
    public LearnedState<Integer> learned() {
        Map<Integer, LearnedState.NodeState> nodes = new HashMap<>();
        list.hosts.forEach(host -> nodes.put(host.id, host.learned(members.contains(host))));
        return new LearnedState<>(
                admit, extra, classes.stream().map(ClassView::learned).toList(), nodes, coldNodeRates.most());
    }

    @Override
    public void recall(LearnedState<Integer> other, double trust) {
        if (other.classes().size() == classes.size()) {
            admit = Confidence.blend(admit, other.admittedShare(), trust);
            extra = Confidence.blend(extra, Math.min(EXTRA_SAVED, other.extraAttempts()), trust);
            classes.forEach(view -> view.recall(other.classes().get(classes.indexOf(view)), trust));
            coldNodeRates.recall(other.maxRateByKind(), trust);
        }
        list.hosts.forEach(
                host -> host.recall(other.nodes().get(host.id), 0)); // the order first: it says who is drawn from
        subset.recall((int)
                other.nodes().values().stream().filter(node -> node.share() > 0).count());
        fillSubset();
        members.forEach(host -> host.recall(other.nodes().get(host.id), trust));
        list.normalise();
    }

    @Override
    public void setSiblingLoad(Map<Integer, Integer> out, double part) {
        list.hosts.forEach(host -> host.concurrency.elsewhere(out.getOrDefault(host.id, 0)));
        coldNodeRates.own(part);
    }

    // ---- Outcomes: what was learnt, and whether the request gets another attempt.

    @Override
    public void attemptEnded(double nowMs, AttemptEnd end) {
        Call call = calls.get(end.request());
        Attempt attempt = call == null ? null : call.attempt(end.attempt());
        if (attempt == null || attempt.outcome != null) {
            return;
        }
        attempt.end(end.outcome());
        subset.reported(end.upstream(), !attempt.host.isCold(nowMs, settings.contract()), end.report(), busyField);
        if (!call.streaming) {
            learn(nowMs, attempt, end.outcome(), end.elapsedMs());
        }
        if (end.requestDone() || call.done) {
            finish(call);
        } else if (call.out == 0 && mayResend(nowMs, call)) {
            extra -= 1;
            place(nowMs, call);
        } else if (call.out == 0) {
            giveUp(call, Cause.ATTEMPTS);
        }
        waiting.offer(held -> dispatch(nowMs, held));
    }

    private void learn(double nowMs, Attempt attempt, Outcome outcome, double elapsedMs) {
        Host host = attempt.host;
        ClassView view = attempt.call.view;
        double latencyMs = elapsedMs;
        count(attempt, elapsedMs, outcome == Outcome.REJECTED || outcome == Outcome.TIMEOUT);
        if (outcome == Outcome.OK) {
            note(nowMs, host, true);
            if (!host.isCold(nowMs, settings.contract())) {
                coldNodeRates.answered(nowMs, host.id, host.listed.kind());
            }
            view.served++;
            view.answered(latencyMs, MEDIAN_STEP);
        } else if (outcome == Outcome.NOT_SENT || outcome == Outcome.CANCELLED && elapsedMs < view.typicalMs()) {
            return;
        } else if (outcome != Outcome.CANCELLED) {
            // A failure counts at its time-out: else an upstream that fails at once would draw load.
            latencyMs = Math.max(elapsedMs, attempt.timeoutMs);
            if (outcome == Outcome.TIMEOUT) {
                view.moveTypical(latencyMs, MEDIAN_STEP); // else a jammed fleet, all time-outs, looks quiet
            } else if (outcome != Outcome.CONNECT_FAILED) {
                host.heardMs = nowMs;
            }
            note(nowMs, host, false);
        }
        host.latencies.add(latencyMs / view.typicalMs());
        // Room: guards against queues, and against servers that jam. Acts when a member's concurrency limit is reached.
        host.concurrency.answered(
                nowMs, latencyMs, view.quietMs(), view.typicalMs(), subset.leastWindow(list.hosts.size()));
        if (outcome != Outcome.OK) {
            host.concurrency.failed(nowMs, elapsedMs, view.typicalMs());
        }
    }

    private boolean mayResend(double nowMs, Call call) {
        return extra >= 1
                && call.attempts.size() < settings.limits().maxAttempts()
                && call.usefulUntilMs - nowMs >= call.view.typicalMs()
                && (call.view.spec.effect() != Effect.UNSAFE || call.provenNotRun());
    }

    private void giveUp(Call call, Cause cause) {
        givenUp.merge(cause, 1, Integer::sum);
        if (call.mayBeRefused()) {
            actions.refuse(call.id, settings.limits().maxRetryAfterMs());
        } else {
            actions.fail(call.id);
        }
        finish(call);
    }

    /** The request is over: what is still out would only cost work, and is remembered until it ends. */
    private void finish(Call call) {
        call.done = true;
        cancelOthers(call, null);
        if (call.out == 0) {
            calls.remove(call.id);
        }
    }

    private void cancelOthers(Call call, Attempt kept) {
        call.attempts.stream()
                .filter(a -> a != kept && a.outcome == null && settings.limits().cancel())
                .forEach(a -> actions.cancel(call.id, a.number));
    }

    @Override
    public void streamStarted(double nowMs, int request, int attempt, double elapsedMs) {
        Call call = calls.get(request);
        Attempt started = call == null ? null : call.attempt(attempt);
        if (started != null && started.outcome == null && !call.streaming) {
            call.streaming = true; // it belongs to the client now: its length says nothing of the server
            started.host.attempts.remove(started);
            learn(nowMs, started, Outcome.OK, elapsedMs);
            cancelOthers(call, started);
        }
    }

    @Override
    public void clientLeft(double nowMs, int request) {
        Call call = calls.get(request);
        if (call != null && !call.done) {
            waiting.remove(call.queue, call);
            asking.remove(call);
            finish(call);
        }
    }

    // ---- Cold servers. Guards against pushing over one that has just started. Acts for the contract's time:
    // one draw for each request, blind to how the others fare, may hit a cold member, which then takes it for
    // the part that is warm. So all sidecars together send it that part of its share of the first tries, no
    // more: nothing is saved up, and what others can't take is never heaped on it.

    /** The cold member that this request goes to, or null; asked once, before its first attempt. */
    private Host coldHost(double nowMs, Call call) {
        boolean asked = call.coldAsked || call.repeat || !call.attempts.isEmpty();
        call.coldAsked = true;
        if (asked || members.stream().noneMatch(host -> host.isCold(nowMs, settings.contract()))) {
            return null;
        }
        members.forEach(host -> host.weight = host.share);
        Host host = list.at(random.nextDouble());
        return random.nextDouble() < coldPart(nowMs, host, call) ? host : null;
    }

    /** The part of what a warm server takes that a cold one may be sent; 0 where it is warm, or this would be late there. */
    private double coldPart(double nowMs, Host host, Call call) {
        double warmth = host.warmth(nowMs, settings.contract());
        // A request that takes the inverse of the warm part longer must still make its aim.
        boolean inTime = call.view.quietMs() < warmth * (call.usefulUntilMs - nowMs);
        return warmth < 1 && inTime && host.setAside == null
                ? warmth * COLD_PART * settings.contract().overloadFactor()
                : 0;
    }

    // ---- Waiting and shedding. Guards against overload. Requests wait while all members are full: worthiest
    // (then the newest) go first; what could no longer earn is refused. While more than TOLERATED of attempts
    // are late, a growing part of the least worthy is refused at once.

    private boolean shed(double nowMs, Call call) {
        boolean hopeless = call.usefulUntilMs - nowMs <= Math.max(controlMs, call.view.typicalMs())
                || !members.isEmpty() && nowMs - call.waitingSinceMs > LONGEST_WAIT * call.view.typicalMs();
        if (hopeless) {
            giveUp(call, Cause.ROOM);
        }
        return hopeless;
    }

    /** Ranks the queues by what an answer adds to the goal: to the whole, and to the class served worst. */
    private void rankQueues() {
        double worth = Double.MIN_NORMAL
                + classes.stream().mapToDouble(ClassView::worthOffered).sum();
        ClassView worst = classes.stream()
                .min(Comparator.comparingDouble(ClassView::partServed))
                .get();
        for (int i = 0; i < classes.size(); i++) {
            ClassView view = classes.get(i);
            double value = settings.goal().whole() * view.spec.worth() / worth
                    + (view == worst ? settings.goal().worstClass() / Math.max(view.offered, 1) : 0);
            waiting.setValue(i, value, REPEAT_WORTH);
        }
        waiting.rank();
        double left = admit * Arrays.stream(offered).sum();
        for (int queue : waiting.order()) {
            refusedPart[queue] = offered[queue] > 0 ? Math.max(0, 1 - left / offered[queue]) : 0;
            left = Math.max(0, left - offered[queue]);
        }
    }

    private void adjustAdmission() {
        double excess = (late / (known + 1) - TOLERATED) / (1 - TOLERATED);
        admit = Math.max(LEAST_ADMITTED, Math.min(1, admit * (excess > 0 ? 1 - CUT * excess : RAISE)));
        late /= 2;
        known /= 2;
        Arrays.setAll(offered, queue -> offered[queue] * 0.9);
    }

    /** Counts an attempt once: as late when it has taken most of the aim, or as timely. */
    private void count(Attempt attempt, double tookMs, boolean failed) {
        boolean isLate = failed || tookMs > attempt.call.view.spec.aimMs() * LATE;
        boolean tells = isLate || attempt.outcome == Outcome.OK;
        if (tells && !attempt.counted && probes == 0) { // probes see queues themselves
            attempt.counted = true;
            late += isLate ? 1 : 0;
            known++;
        }
    }

    // ---- Set-asides. Guards against servers that are silent (hung, paused, out of reach) or fail. Acts on
    // silence of the attempts out, or on failures in a row; they return by an answer, to ever rarer trials.

    private void setAside(double nowMs, Host host, String why) {
        if (host.setAside == null) {
            host.setAside = why;
            host.trialGapMs = probes > 0 || settings.anySafe() ? TICK_MS / 2 : LONGEST_GAP_MS;
            host.trialAtMs = nowMs + host.trialGapMs;
        }
    }

    private void note(double nowMs, Host host, boolean answered) {
        host.failures = answered ? 0 : host.failures + 1;
        if (host.failures >= STREAK) {
            setAside(nowMs, host, "it failed " + host.failures + " times in a row");
        } else if (answered) {
            host.heardMs = nowMs;
            host.setAside = null;
            if (host.announced) {
                actions.log(host + " answers again and is back in the draw");
            }
            host.announced = false;
        }
    }

    /** A trial that is due of a server set aside: by a probe, or by this request if it is safe to repeat. */
    private Host trialHost(double nowMs, Call call) {
        boolean risk = call.view.spec.effect() == Effect.SAFE && call.attempts.isEmpty() && probes == 0;
        for (Host host : members) {
            if (host.setAside == null || nowMs < host.trialAtMs || host.isCold(nowMs, settings.contract())) {
                continue;
            }
            if (!host.announced) {
                actions.log(host + " is set aside, " + host.setAside + "; trying it now and then");
            }
            host.announced = true;
            if (risk || probes > 0) {
                host.trialGapMs = Math.min(2 * host.trialGapMs, LONGEST_GAP_MS);
                host.trialAtMs = nowMs + host.trialGapMs;
            }
            if (risk) {
                return host;
            } else if (probes > 0) {
                probe(host);
            } else if (!settings.anySafe()) {
                host.setAside = null; // nothing may try it, and for good it must not stay out
            }
        }
        return null;
    }

    private void watchSilence(double nowMs) {
        for (Host host : members) {
            host.attempts.forEach(attempt -> count(attempt, attempt.age(nowMs), false));
            Attempt oldest = host.attempts.peekFirst();
            double silentMs = oldest == null ? 0 : nowMs - Math.max(host.heardMs, oldest.sentMs);
            double typicalMs = oldest == null ? 0 : oldest.call.view.typicalMs();
            double telling = (host.concurrency.inFlight() > 1 ? SILENCE / 2 : SILENCE) * typicalMs;
            if (silentMs > 1.5 * typicalMs && silentMs * host.concurrency.inFlight() > telling) {
                setAside(nowMs, host, "silent for " + Math.round(silentMs) + " ms");
            }
            if (host.setAside != null && dense && admit == 1 && waiting.isEmpty()) {
                host.attempts.forEach(attempt -> copy(nowMs, attempt));
            }
        }
    }

    /** A second copy of what is stuck there, as class, budget and room allow. */
    private void copy(double nowMs, Attempt stuck) {
        Call call = stuck.call;
        boolean may = !call.done
                && call.out == 1
                && settings.limits().secondCopies()
                && stuck.age(nowMs) > call.view.typicalMs()
                && mayResend(nowMs, call);
        Host other = may ? pick(nowMs, call) : null;
        if (other != null && other != stuck.host) {
            extra -= 1;
            send(nowMs, call, other, call.usefulUntilMs - nowMs);
        }
    }

    @Override
    public void timer(double nowMs, int token) {
        if (token == SUBSCRIBE_TIMER) {
            subscribeArmed = false;
            actions.subscribe(true);
        } else if (token == CONTROL_TIMER) {
            try {
                control(nowMs);
            } finally { // a tick that fails is followed by the next one all the same
                controlArmed = !calls.isEmpty();
                if (controlArmed) {
                    actions.timer(controlMs, CONTROL_TIMER);
                }
            }
        }
    }

    private void control(double nowMs) {
        watchSilence(nowMs);
        placeAsked(nowMs);
        if (subset.step(members.size(), list.hosts.size())) {
            fillSubset(); // the design's small subset leaves servers idle while its own members are full
        }
        rankQueues();
        waiting.offer(held -> dispatch(nowMs, held));
        waiting.drop(call -> shed(nowMs, call));
        if (nowMs >= nextAdmissionMs) {
            nextAdmissionMs = nowMs + settings.shortestAimMs();
            adjustAdmission();
        }
        if (nowMs >= nextShareTickMs) {
            shareTick(nowMs);
        }
    }

    @Override
    public void upstreams(double nowMs, ListKind kind, List<Upstream> entries) {
        if (kind == ListKind.FAILED) {
            if (!subscribeArmed) { // ever later, at random times: many sidecars ask one service
                double delayMs = TICK_MS / 4 * (1 << Math.min(5, subscribeFailures++));
                delayMs = Math.min(delayMs, settings.contract().askEveryMs() / 4);
                actions.timer(delayMs * (0.5 + random.nextDouble()), SUBSCRIBE_TIMER);
            }
            subscribeArmed = true;
        } else {
            subscribeFailures = 0;
            list.apply(kind, entries, random);
            fillSubset();
            waiting.offer(held -> dispatch(nowMs, held));
        }
    }
}
