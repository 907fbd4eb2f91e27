package ivybank.policy;

import ivybank.handover.Learned;
import ivybank.handover.Trust;
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

    private static final double SHARE_STEP = 0.2; // of a share, for a deviation of one mean in a tick: the paper's
    private static final double SHARE_INTERVAL_MS = 1000; // many answers fall into it, and moved load shows within it
    private static final double MAX_DEVIATION = 2; // in means: a factor is never under 1 - 0.2 x 2
    private static final double HALF_WEIGHT_SAMPLES = 4; // samples at which the mean of a tick counts half
    private static final double MIN_PART_OF_MEAN_SHARE = 0.1; // of the mean share, so that each member is still seen
    private static final double MIN_MEDIAN_STEP = 0.02; // what one answer moves a running median
    private static final double INITIAL_LATENCIES_PER_AIM = 4; // of them in an aim, before any answer is known
    private static final double SMOOTHING_ANSWERS = 32; // answers over which a server's latency is smoothed
    private static final double QUIET_LATENCY_DECAY = 0.005; // of the quiet latency in a tick: machines change
    private static final int SIGNIFICANT_COUNT = 3; // failures or slow answers in a row that are hardly chance
    private static final double SILENCE_LATENCIES = 6; // typical latencies that tell; half that where several are out
    private static final double MAX_TRIAL_INTERVAL_MS = 4000; // between trials: a fault lasts for seconds
    private static final double COLD_LOAD_FACTOR = 0.6; // of the contract's overload factor: bursts fill the rest
    private static final double RETRY_BUDGET_PER_REQUEST = 0.25; // further attempts and second copies for each request
    private static final double MAX_RETRY_BUDGET = 20; // of them that may be saved up
    private static final double CLIENT_RETRY_WORTH = 0.1; // of a first try: the aim has run since that
    private static final double COUNT_DECAY = 0.02; // of what was offered and served that is forgotten in a tick
    private static final double MAX_PROBE_COST = 0.02; // of a request's worth, for the probes of one attempt
    private static final double MAX_WAIT_LATENCIES = 0.3; // of a typical latency: it holds a client's connection
    private static final double LATE_PART_OF_AIM = 0.75; // of the aim: a request that takes longer is about to be lost
    private static final double TOLERATED_LATE_FRACTION = 1 / 3.0; // of the attempts late: the sick servers'
    private static final double ADMISSION_CUT = 0.75; // of what is admitted, in an aim in which all is late
    private static final double ADMISSION_RAISE = 1.15; // of what is admitted, in an aim without that
    private static final double MIN_ADMITTED_FRACTION = 0.05; // so that something is heard of the servers
    private static final double CONTROL_TICKS_PER_AIM = 16; // control ticks within the shortest aim
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
    private final double controlIntervalMs;
    private final List<ClassStatistics> classes = new ArrayList<>();
    private final HostList list = new HostList();
    private final List<Host> members = list.members;
    private final Map<Integer, Call> calls = new HashMap<>();
    private final RankedQueues<Call> waitingCalls;
    private final List<Call> probingCalls = new ArrayList<>();
    private final int activeField;
    private final int cpuField;
    private final int probesPerAttempt; // for each attempt
    private final SubsetSize subset;
    private boolean controlTimerSet;
    private boolean subscribeTimerSet;
    private int subscribeFailures;
    private double nextShareUpdateMs;
    private final ColdNodeRateLimiter coldNodeRates = new ColdNodeRateLimiter();
    private final double[] offered;
    private final double[] refusedFraction; // of each queue, at once
    private double admittedFraction = 1;
    private double nextAdmissionUpdateMs;
    private double lateAttempts;
    private double judgedAttempts; // attempts, late or timely; older ones count less
    private boolean enoughSamples; // enough answers of each member in the last tick
    private double retryBudget = MAX_RETRY_BUDGET / 2;
    private final Map<Cause, Integer> abandonedCalls = new EnumMap<>(Cause.class); // in this tick

    public LoadShiftingBalancer(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        subset = new SubsetSize(() -> actions.sidecars(settings.sidecars()));
        this.random = new SplittableRandom(seed);
        settings.classes()
                .forEach(spec -> classes.add(new ClassStatistics(spec, spec.aimMs() / INITIAL_LATENCIES_PER_AIM)));
        waitingCalls = new RankedQueues<>(classes.size());
        offered = new double[waitingCalls.count()];
        refusedFraction = new double[offered.length];
        activeField = settings.reportFields().indexOf("active");
        cpuField = settings.reportFields().indexOf("cpu");
        probesPerAttempt = !settings.limits().probes() || activeField < 0
                ? 0
                : (int) Math.min(
                        SubsetSize.DEFAULT_SIZE / 2,
                        MAX_PROBE_COST / settings.goal().probeCost());
        controlIntervalMs = Math.max(settings.tickMs(), settings.shortestAimMs() / CONTROL_TICKS_PER_AIM);
    }

    @Override
    public void start(double nowMs) {
        nextShareUpdateMs = nowMs + SHARE_INTERVAL_MS;
        if (settings.subscribesToList()) {
            actions.subscribe(true);
        }
    }

    // ---- The ordinary path: each request goes to a member of the subset, drawn in proportion to the shares.

    @Override
    public void request(double nowMs, Request request) {
        ClassStatistics statistics = classes.get(request.requestClass());
        // Where late answers are worth nothing, what comes after the aim earns nothing.
        double usefulMs = statistics.spec.lateWorth() == 0 ? statistics.spec.aimMs() : request.timeoutMs();
        double usefulUntilMs = nowMs + Math.min(request.timeoutMs(), usefulMs) - 2 * settings.tickMs();
        // Where clients do not mark repeats, less patience than others have is the sign of a later try.
        statistics.longestTimeoutMs = Math.max(statistics.longestTimeoutMs, request.timeoutMs());
        boolean clientRetry = request.clientRetry()
                || !settings.clientsMarkRetries()
                        && request.timeoutMs() < statistics.longestTimeoutMs - settings.tickMs();
        int queue = waitingCalls.queue(request.requestClass(), clientRetry);
        Call call = new Call(request.id(), statistics, queue, clientRetry, usefulUntilMs);
        call.arriving = request.arriving();
        statistics.offered++;
        offered[queue]++;
        subset.requestReceived(
                nowMs,
                clientRetry ? 0 : Math.min(statistics.quietMs(), statistics.spec.aimMs() / INITIAL_LATENCIES_PER_AIM));
        calls.put(call.id, call);
        retryBudget = Math.min(MAX_RETRY_BUDGET, retryBudget + RETRY_BUDGET_PER_REQUEST);
        if (!controlTimerSet) {
            actions.timer(controlIntervalMs, CONTROL_TIMER);
        }
        controlTimerSet = true;
        if (random.nextDouble() >= refusedFraction[queue]) {
            route(nowMs, call);
        } else {
            abandon(call, Cause.ADMISSION);
        }
    }

    @Override
    public void arrived(double nowMs, int request, double timeoutMs) {
        Call call = calls.get(request);
        if (call != null && call.arriving) {
            call.arriving = false;
            call.usefulUntilMs = nowMs + timeoutMs;
            call.attempts.stream()
                    .filter(attempt -> attempt.outcome == null)
                    .forEach(attempt -> attempt.countAsLoad(nowMs));
        }
    }

    private void route(double nowMs, Call call) {
        if (call.usefulUntilMs - nowMs <= call.statistics.typicalMs() / 2) {
            abandon(call, Cause.TIME); // to earn, and perhaps to be answered in time after an attempt
        } else if (probesPerAttempt > 0 && call.probedHosts.isEmpty() && probeCandidates(nowMs, call)) {
            probingCalls.add(call);
        } else if ((!waitingCalls.isEmpty() || !tryDispatch(nowMs, call)) && !abandonIfHopeless(nowMs, call)) {
            call.waitingSinceMs = nowMs;
            waitingCalls.add(call.queue, call);
        }
    }

    private boolean tryDispatch(double nowMs, Call call) {
        Host trial = trialHost(nowMs, call);
        Host host = trial != null ? trial : pickHost(nowMs, call);
        if (host == null) {
            return false;
        }
        double maxTimeoutMs = trial == null ? Double.MAX_VALUE : SILENCE_LATENCIES * call.statistics.typicalMs();
        send(nowMs, call, host, Math.min(maxTimeoutMs, call.usefulUntilMs - nowMs));
        return true;
    }

    private Host pickHost(double nowMs, Call call) {
        Host host = coldHost(nowMs, call);
        if (host == null) {
            setWeights(nowMs, call, false);
            host = call.probedHosts.isEmpty()
                    ? list.memberAt(random.nextDouble())
                    : call.probedHosts.stream()
                            .filter(probed -> probed.weight > 0 && members.contains(probed))
                            .filter(probed ->
                                    probed.activeRequests * call.statistics.quietMs() < call.usefulUntilMs - nowMs)
                            .min(Comparator.comparingDouble(probed -> probed.activeRequests))
                            .orElse(null);
        }
        subset.memberOffered(host != null);
        if (host == null && call.probedHosts.isEmpty()) { // what the warm ones have no room for
            setWeights(nowMs, call, true);
            host = list.memberAt(random.nextDouble());
        }
        return host;
    }

    private void setWeights(double nowMs, Call call, boolean cold) {
        boolean allTried = members.stream().allMatch(call::tried);
        // Never most of the subset: that many are not all at fault.
        boolean avoid =
                2 * members.stream().filter(host -> host.setAsideReason != null).count() <= members.size();
        for (Host host : members) {
            boolean out = avoid && host.setAsideReason != null
                    || !allTried && call.tried(host)
                    || (cold
                            ? !host.tokens.hasToken(
                                    nowMs,
                                    coldNodeRates.allowedPerMs(host.listed.kind(), coldLoadFraction(nowMs, host, call)))
                            : host.isCold(nowMs, settings.contract()))
                    || !call.mayBeSentTo(host, nowMs)
                    || host.concurrency.isFull(nowMs);
            host.weight = out ? 0 : host.share;
        }
    }

    // ---- Probes. Guards against queues that a sidecar of few requests can't see. Acts where a probe tells
    // what a server holds, and costs little: a request draws several members by share, probes them, and goes
    // to the one that holds least, the first drawn of equals. It waits for a control tick at most.

    private boolean probeCandidates(double nowMs, Call call) {
        setWeights(nowMs, call, false);
        for (int i = 0; i < probesPerAttempt; i++) {
            Host host = list.memberAt(random.nextDouble());
            if (host != null) {
                call.probedHosts.add(host);
                host.weight = 0;
                probe(host);
            }
        }
        call.probedAtMs = nowMs;
        return !call.probedHosts.isEmpty();
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
            host.activeRequests = report.length > activeField ? report[activeField] : Double.MAX_VALUE;
            recordHealth(nowMs, host, outcome == Outcome.OK);
        }
        routeProbedCalls(nowMs);
    }

    private void routeProbedCalls(double nowMs) {
        for (Call call : List.copyOf(probingCalls)) {
            if (nowMs - call.probedAtMs >= controlIntervalMs
                    || call.probedHosts.stream().noneMatch(host -> host.probing)) {
                probingCalls.remove(call);
                route(nowMs, call);
            }
        }
    }

    private void send(double nowMs, Call call, Host host, double timeoutMs) {
        new Attempt(call, host, nowMs, timeoutMs).register();
        call.probedHosts.clear();
        host.tokens.take();
        actions.send(call.id, host.id, timeoutMs);
    }

    /** The design's step: D <- D (1 + eta F l) for members with samples in this tick, then renormalised. */
    private void updateShares(double nowMs) {
        for (Host host : members) {
            // A hung server answers nothing: what is out for longer than usual counts by its age.
            host.attempts.stream()
                    .mapToDouble(attempt -> attempt.ageMs(nowMs) / attempt.call.statistics.typicalMs())
                    .filter(ratio -> ratio > 1)
                    .forEach(host.latencies::add);
        }
        enoughSamples = list.membersWithSamples()
                        .mapToDouble(host -> host.latencies.count())
                        .sum()
                >= SIGNIFICANT_COUNT * members.size();
        double mean = list.membersWithSamples()
                .mapToDouble(host -> host.latencies.mean())
                .average()
                .orElse(1);
        for (Host host : members) {
            if (host.latencies.count() > 0 && mean > 0) { // else 0 / 0 would make every share NaN
                double deviation = (host.latencies.mean() - mean) / mean;
                double trust = host.latencies.count() / (host.latencies.count() + HALF_WEIGHT_SAMPLES);
                double factor = 1 - SHARE_STEP * trust * Math.min(MAX_DEVIATION, deviation);
                host.share = Math.max(host.share * factor, MIN_PART_OF_MEAN_SHARE / members.size());
            }
            host.latencies.clear();
        }
        list.normaliseShares();
    }

    // The lowest random ranks: one that leaves gives way to a random ready server, at the mean share, and a
    // new server enters as often as any other, also where nobody leaves.
    private void fillSubset() {
        List<Host> ready = list.ready();
        ready.sort(Comparator.comparingDouble(host -> host.rank));
        List<Host> chosen = ready.subList(0, subset.update(ready.size()));
        members.removeIf(host -> !chosen.contains(host));
        double meanListedWeight = chosen.stream()
                .mapToDouble(host -> host.listed.weight())
                .average()
                .orElse(0);
        double meanShare = members.isEmpty() ? 1 : 1.0 / members.size();
        for (Host host : chosen) {
            if (!members.contains(host)) {
                host.concurrency.reset(Math.max(1, subset.minWindow(list.hosts.size())));
                subset.memberAdded(host.id);
                // As the paper starts: in proportion to the listed size.
                host.share = meanShare * (meanListedWeight > 0 ? host.listed.weight() / meanListedWeight : 1);
                members.add(host);
            }
        }
        list.normaliseShares();
    }

    private void shareTick(double nowMs) {
        nextShareUpdateMs = nowMs + SHARE_INTERVAL_MS;
        updateShares(nowMs);
        classes.forEach(statistics -> statistics.tick(1 - COUNT_DECAY, SMOOTHING_ANSWERS, QUIET_LATENCY_DECAY));
        if (subset.tick(
                members.stream()
                                .mapToDouble(host -> host.concurrency.halfHeadroom())
                                .sum()
                        >= 0,
                list.hosts.size())) {
            fillSubset();
        }
        logAbandonedCalls(nowMs);
    }

    /** Explains the gaps of a tick: why so many requests were given up, and how much room the members had. */
    private void logAbandonedCalls(double nowMs) {
        if (!abandonedCalls.isEmpty()) {
            long full = members.stream()
                    .filter(host -> host.concurrency.isFull(nowMs))
                    .count();
            long cold = members.stream()
                    .filter(host -> host.isCold(nowMs, settings.contract()))
                    .count();
            long aside =
                    members.stream().filter(host -> host.setAsideReason != null).count();
            actions.log("given up within " + Math.round(SHARE_INTERVAL_MS) + " ms: " + abandonedCalls + "; admitting "
                    + Math.round(100 * admittedFraction) + "%; of " + members.size() + " members " + full
                    + " full, " + cold + " cold, " + aside + " set aside");
        }
        abandonedCalls.clear();
    }

    // ---- Another process of this sidecar, before this one or beside it: what it has learned, and what it has out.

    @Override
    public Learned<Integer> learned() {
        Map<Integer, Learned.OfNode> nodes = new HashMap<>();
        list.hosts.forEach(host -> nodes.put(host.id, host.learned(members.contains(host))));
        return new Learned<>(
                admittedFraction,
                retryBudget,
                classes.stream().map(ClassStatistics::learned).toList(),
                nodes,
                coldNodeRates.maxRates());
    }

    @Override
    public void recall(Learned<Integer> other, double trust) {
        if (other.classes().size() == classes.size()) {
            admittedFraction = Trust.blend(admittedFraction, other.admitted(), trust);
            retryBudget = Trust.blend(retryBudget, Math.min(MAX_RETRY_BUDGET, other.extra()), trust);
            classes.forEach(statistics -> statistics.restore(other.classes().get(classes.indexOf(statistics)), trust));
            coldNodeRates.restore(other.carried(), trust);
        }
        list.hosts.forEach(
                host -> host.restore(other.nodes().get(host.id), 0)); // the order first: it says who is drawn from
        subset.restore((int)
                other.nodes().values().stream().filter(node -> node.share() > 0).count());
        fillSubset();
        members.forEach(host -> host.restore(other.nodes().get(host.id), trust));
        list.normaliseShares();
    }

    @Override
    public void elsewhere(Map<Integer, Integer> out, double part) {
        list.hosts.forEach(host -> host.concurrency.elsewhere(out.getOrDefault(host.id, 0)));
        coldNodeRates.setShare(part);
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
        subset.reportReceived(end.upstream(), !attempt.host.isCold(nowMs, settings.contract()), end.report(), cpuField);
        if (!call.streaming) {
            recordOutcome(nowMs, attempt, end.outcome(), end.elapsedMs());
        }
        if (end.requestCompleted() || call.completed) {
            complete(call);
        } else if (call.attemptsInFlight == 0 && mayResend(nowMs, call)) {
            retryBudget -= 1;
            route(nowMs, call);
        } else if (call.attemptsInFlight == 0) {
            abandon(call, Cause.ATTEMPTS);
        }
        waitingCalls.offer(held -> tryDispatch(nowMs, held));
    }

    private void recordOutcome(double nowMs, Attempt attempt, Outcome outcome, double elapsedMs) {
        Host host = attempt.host;
        ClassStatistics statistics = attempt.call.statistics;
        double latencyMs = elapsedMs;
        countLateness(attempt, elapsedMs, outcome == Outcome.REJECTED || outcome == Outcome.TIMEOUT);
        if (outcome == Outcome.OK) {
            recordHealth(nowMs, host, true);
            if (!host.isCold(nowMs, settings.contract())) {
                coldNodeRates.answered(nowMs, host.id, host.listed.kind());
            }
            statistics.served++;
            statistics.answered(latencyMs, MIN_MEDIAN_STEP);
        } else if (outcome == Outcome.NOT_SENT || outcome == Outcome.CANCELLED && elapsedMs < statistics.typicalMs()) {
            return;
        } else if (outcome != Outcome.CANCELLED) {
            // A failure counts at its time-out: else an upstream that fails at once would draw load.
            latencyMs = Math.max(elapsedMs, attempt.timeoutMs);
            if (outcome == Outcome.TIMEOUT) {
                statistics.moveTypical(latencyMs, MIN_MEDIAN_STEP); // else a jammed fleet, all time-outs, looks quiet
            } else if (outcome != Outcome.CONNECT_FAILED) {
                host.lastResponseMs = nowMs;
            }
            recordHealth(nowMs, host, false);
        }
        host.latencies.add(latencyMs / statistics.typicalMs());
        // Room: guards against queues, and against servers that jam. Acts when a member's concurrency limit is reached.
        host.concurrency.answered(
                nowMs, latencyMs, statistics.quietMs(), statistics.typicalMs(), subset.minWindow(list.hosts.size()));
        if (outcome != Outcome.OK) {
            host.concurrency.failed(nowMs, elapsedMs, statistics.typicalMs());
        }
    }

    private boolean mayResend(double nowMs, Call call) {
        return retryBudget >= 1
                && call.attempts.size() < settings.limits().maxAttempts()
                && call.usefulUntilMs - nowMs >= call.statistics.typicalMs()
                && (call.statistics.spec.effect() != Effect.UNSAFE || call.provenNotRun());
    }

    private void abandon(Call call, Cause cause) {
        abandonedCalls.merge(cause, 1, Integer::sum);
        if (call.mayBeRefused()) {
            actions.refuse(call.id, settings.limits().maxRetryAfterMs());
        } else {
            actions.fail(call.id);
        }
        complete(call);
    }

    /** The request is over: what is still out would only cost work, and is remembered until it ends. */
    private void complete(Call call) {
        call.completed = true;
        cancelOthers(call, null);
        if (call.attemptsInFlight == 0) {
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
            recordOutcome(nowMs, started, Outcome.OK, elapsedMs);
            cancelOthers(call, started);
        }
    }

    @Override
    public void clientLeft(double nowMs, int request) {
        Call call = calls.get(request);
        if (call != null && !call.completed) {
            waitingCalls.remove(call.queue, call);
            probingCalls.remove(call);
            complete(call);
        }
    }

    // ---- Cold servers. Guards against pushing over one that has just started. Acts for the contract's time:
    // one draw for each request, blind to how the others fare, may hit a cold member, which then takes it for
    // the part that is warm. So all sidecars together send it that part of its share of the first tries, no
    // more: nothing is saved up, and what others can't take is never heaped on it.

    /** The cold member that this request goes to, or null; asked once, before its first attempt. */
    private Host coldHost(double nowMs, Call call) {
        boolean asked = call.coldDrawMade || call.clientRetry || !call.attempts.isEmpty();
        call.coldDrawMade = true;
        if (asked || members.stream().noneMatch(host -> host.isCold(nowMs, settings.contract()))) {
            return null;
        }
        members.forEach(host -> host.weight = host.share);
        Host host = list.memberAt(random.nextDouble());
        return random.nextDouble() < coldLoadFraction(nowMs, host, call) ? host : null;
    }

    /** The part of what a warm server takes that a cold one may be sent; 0 where it is warm, or this would be late there. */
    private double coldLoadFraction(double nowMs, Host host, Call call) {
        double warmFraction = host.warmFraction(nowMs, settings.contract());
        // A request that takes the inverse of the warm part longer must still make its aim.
        boolean inTime = call.statistics.quietMs() < warmFraction * (call.usefulUntilMs - nowMs);
        return warmFraction < 1 && inTime && host.setAsideReason == null
                ? warmFraction * COLD_LOAD_FACTOR * settings.contract().overloadFactor()
                : 0;
    }

    // ---- Waiting and shedding. Guards against overload. Requests wait while all members are full: worthiest
    // (then the newest) go first; what could no longer earn is refused. While more than TOLERATED of attempts
    // are late, a growing part of the least worthy is refused at once.

    private boolean abandonIfHopeless(double nowMs, Call call) {
        boolean hopeless = call.usefulUntilMs - nowMs <= Math.max(controlIntervalMs, call.statistics.typicalMs())
                || !members.isEmpty() && nowMs - call.waitingSinceMs > MAX_WAIT_LATENCIES * call.statistics.typicalMs();
        if (hopeless) {
            abandon(call, Cause.ROOM);
        }
        return hopeless;
    }

    /** Ranks the queues by what an answer adds to the goal: to the whole, and to the class served worst. */
    private void rankQueues() {
        double worth = Double.MIN_NORMAL
                + classes.stream().mapToDouble(ClassStatistics::offeredWorth).sum();
        ClassStatistics worst = classes.stream()
                .min(Comparator.comparingDouble(ClassStatistics::servedFraction))
                .get();
        for (int i = 0; i < classes.size(); i++) {
            ClassStatistics statistics = classes.get(i);
            double value = settings.goal().whole() * statistics.spec.worth() / worth
                    + (statistics == worst ? settings.goal().worstClass() / Math.max(statistics.offered, 1) : 0);
            waitingCalls.setValue(i, value, CLIENT_RETRY_WORTH);
        }
        waitingCalls.rank();
        double left = admittedFraction * Arrays.stream(offered).sum();
        for (int queue : waitingCalls.order()) {
            refusedFraction[queue] = offered[queue] > 0 ? Math.max(0, 1 - left / offered[queue]) : 0;
            left = Math.max(0, left - offered[queue]);
        }
    }

    private void adjustAdmission() {
        double excess = (lateAttempts / (judgedAttempts + 1) - TOLERATED_LATE_FRACTION) / (1 - TOLERATED_LATE_FRACTION);
        admittedFraction = Math.max(
                MIN_ADMITTED_FRACTION,
                Math.min(1, admittedFraction * (excess > 0 ? 1 - ADMISSION_CUT * excess : ADMISSION_RAISE)));
        lateAttempts /= 2;
        judgedAttempts /= 2;
        Arrays.setAll(offered, queue -> offered[queue] * 0.9);
    }

    /** Counts an attempt once: as late when it has taken most of the aim, or as timely. */
    private void countLateness(Attempt attempt, double elapsedMs, boolean failed) {
        boolean late = failed || elapsedMs > attempt.call.statistics.spec.aimMs() * LATE_PART_OF_AIM;
        boolean judged = late || attempt.outcome == Outcome.OK;
        if (judged && !attempt.latenessCounted && probesPerAttempt == 0) { // probes see queues themselves
            attempt.latenessCounted = true;
            lateAttempts += late ? 1 : 0;
            judgedAttempts++;
        }
    }

    // ---- Set-asides. Guards against servers that are silent (hung, paused, out of reach) or fail. Acts on
    // silence of the attempts out, or on failures in a row; they return by an answer, to ever rarer trials.

    private void setAside(double nowMs, Host host, String why) {
        if (host.setAsideReason == null) {
            host.setAsideReason = why;
            host.trialIntervalMs =
                    probesPerAttempt > 0 || settings.anySafe() ? SHARE_INTERVAL_MS / 2 : MAX_TRIAL_INTERVAL_MS;
            host.nextTrialMs = nowMs + host.trialIntervalMs;
        }
    }

    private void recordHealth(double nowMs, Host host, boolean answered) {
        host.consecutiveFailures = answered ? 0 : host.consecutiveFailures + 1;
        if (host.consecutiveFailures >= SIGNIFICANT_COUNT) {
            setAside(nowMs, host, "it failed " + host.consecutiveFailures + " times in a row");
        } else if (answered) {
            host.lastResponseMs = nowMs;
            host.setAsideReason = null;
            if (host.setAsideLogged) {
                actions.log(host + " answers again and is back in the draw");
            }
            host.setAsideLogged = false;
        }
    }

    /** A trial that is due of a server set aside: by a probe, or by this request if it is safe to repeat. */
    private Host trialHost(double nowMs, Call call) {
        boolean byRequest =
                call.statistics.spec.effect() == Effect.SAFE && call.attempts.isEmpty() && probesPerAttempt == 0;
        for (Host host : members) {
            if (host.setAsideReason == null || nowMs < host.nextTrialMs || host.isCold(nowMs, settings.contract())) {
                continue;
            }
            if (!host.setAsideLogged) {
                actions.log(host + " is set aside, " + host.setAsideReason + "; trying it now and then");
            }
            host.setAsideLogged = true;
            if (byRequest || probesPerAttempt > 0) {
                host.trialIntervalMs = Math.min(2 * host.trialIntervalMs, MAX_TRIAL_INTERVAL_MS);
                host.nextTrialMs = nowMs + host.trialIntervalMs;
            }
            if (byRequest) {
                return host;
            } else if (probesPerAttempt > 0) {
                probe(host);
            } else if (!settings.anySafe()) {
                host.setAsideReason = null; // nothing may try it, and for good it must not stay out
            }
        }
        return null;
    }

    private void setAsideSilentHosts(double nowMs) {
        for (Host host : members) {
            host.attempts.forEach(attempt -> countLateness(attempt, attempt.ageMs(nowMs), false));
            Attempt oldest = host.attempts.peekFirst();
            double silentMs = oldest == null ? 0 : nowMs - Math.max(host.lastResponseMs, oldest.sentMs);
            double typicalMs = oldest == null ? 0 : oldest.call.statistics.typicalMs();
            double thresholdMs =
                    (host.concurrency.inFlight() > 1 ? SILENCE_LATENCIES / 2 : SILENCE_LATENCIES) * typicalMs;
            if (silentMs > 1.5 * typicalMs && silentMs * host.concurrency.inFlight() > thresholdMs) {
                setAside(nowMs, host, "silent for " + Math.round(silentMs) + " ms");
            }
            if (host.setAsideReason != null && enoughSamples && admittedFraction == 1 && waitingCalls.isEmpty()) {
                host.attempts.forEach(attempt -> sendHedge(nowMs, attempt));
            }
        }
    }

    /** A second copy of what is stuck there, as class, budget and room allow. */
    private void sendHedge(double nowMs, Attempt stalled) {
        Call call = stalled.call;
        boolean allowed = !call.completed
                && call.attemptsInFlight == 1
                && settings.limits().secondCopies()
                && stalled.ageMs(nowMs) > call.statistics.typicalMs()
                && mayResend(nowMs, call);
        Host other = allowed ? pickHost(nowMs, call) : null;
        if (other != null && other != stalled.host) {
            retryBudget -= 1;
            send(nowMs, call, other, call.usefulUntilMs - nowMs);
        }
    }

    @Override
    public void timer(double nowMs, int token) {
        if (token == SUBSCRIBE_TIMER) {
            subscribeTimerSet = false;
            actions.subscribe(true);
        } else if (token == CONTROL_TIMER) {
            try {
                controlTick(nowMs);
            } finally { // a tick that fails is followed by the next one all the same
                controlTimerSet = !calls.isEmpty();
                if (controlTimerSet) {
                    actions.timer(controlIntervalMs, CONTROL_TIMER);
                }
            }
        }
    }

    private void controlTick(double nowMs) {
        setAsideSilentHosts(nowMs);
        routeProbedCalls(nowMs);
        if (subset.step(members.size(), list.hosts.size())) {
            fillSubset(); // the design's small subset leaves servers idle while its own members are full
        }
        rankQueues();
        waitingCalls.offer(held -> tryDispatch(nowMs, held));
        waitingCalls.removeIf(call -> abandonIfHopeless(nowMs, call));
        if (nowMs >= nextAdmissionUpdateMs) {
            nextAdmissionUpdateMs = nowMs + settings.shortestAimMs();
            adjustAdmission();
        }
        if (nowMs >= nextShareUpdateMs) {
            shareTick(nowMs);
        }
    }

    @Override
    public void upstreams(double nowMs, ListKind kind, List<Upstream> entries) {
        if (kind == ListKind.FAILED) {
            if (!subscribeTimerSet) { // ever later, at random times: many sidecars ask one service
                double delayMs = SHARE_INTERVAL_MS / 4 * (1 << Math.min(5, subscribeFailures++));
                delayMs = Math.min(delayMs, settings.contract().askEveryMs() / 4);
                actions.timer(delayMs * (0.5 + random.nextDouble()), SUBSCRIBE_TIMER);
            }
            subscribeTimerSet = true;
        } else {
            subscribeFailures = 0;
            list.apply(kind, entries, random);
            fillSubset();
            waitingCalls.offer(held -> tryDispatch(nowMs, held));
        }
    }
}
