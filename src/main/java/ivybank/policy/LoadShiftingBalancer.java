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

/**
 * A {@link Balancer} that shifts load between nodes until their latencies are equal. It balances over a random subset of the
 * nodes. Each request goes to a member of the subset, drawn at random in proportion to the members' shares, and shares move
 * from members with above-average latency to the others. The other mechanisms depart from this path under conditions of their
 * own: probes, slow start of cold nodes, waiting and shedding under load, nodes that are set aside, and hedged attempts.
 */
public final class LoadShiftingBalancer implements Balancer {

    /** Relative change of a share per update, for a latency that deviates from the mean by one mean; from the paper. */
    private static final double SHARE_STEP = 0.2;
    /** Long enough for many answers, and for the effect of moved load to show. */
    private static final double SHARE_INTERVAL_MS = 1000;
    /** Largest deviation that counts, in means; a share is never multiplied by less than 1 - 0.2 x 2. */
    private static final double MAX_DEVIATION = 2;
    /** Number of samples in an update at which their mean has half its weight. */
    private static final double HALF_WEIGHT_SAMPLES = 4;
    /** Smallest share, as a fraction of the mean share, so that each member still gets some requests. */
    private static final double MIN_PART_OF_MEAN_SHARE = 0.1;
    /** Smallest relative step of a running median per answer. */
    private static final double MIN_MEDIAN_STEP = 0.02;
    /** How often the median latency fits into the aim, as assumed before there are answers. */
    private static final double INITIAL_LATENCIES_PER_AIM = 4;
    /** Number of answers of a class after which its baseline latency follows the median. */
    private static final double SMOOTHING_ANSWERS = 32;
    /** Relative rise of the baseline latency per update, as machines change. */
    private static final double QUIET_LATENCY_DECAY = 0.005;
    /**
     * Number of failures in a row that is unlikely to be chance; also the mean number of samples per member from which an update
     * counts as well sampled.
     */
    private static final int SIGNIFICANT_COUNT = 3;
    /** Silence of a node that is significant, in median latencies; half of it if several attempts are in flight. */
    private static final double SILENCE_LATENCIES = 6;
    /** Longest pause between trials of a node that is set aside; faults last for seconds. */
    private static final double MAX_TRIAL_INTERVAL_MS = 4000;
    /** Fraction of the contract's overload factor that a cold node is loaded to; bursts fill the rest. */
    private static final double COLD_LOAD_FACTOR = 0.6;
    /** Further attempts, retries and hedges, that each request adds to the budget. */
    private static final double RETRY_BUDGET_PER_REQUEST = 0.25;

    private static final double MAX_RETRY_BUDGET = 20;
    /** Value of a client's retry, as a fraction of a first try's; its aim has been running since the first try. */
    private static final double CLIENT_RETRY_WORTH = 0.1;
    /** Fraction of the counts of offered and served requests that is dropped per update. */
    private static final double COUNT_DECAY = 0.02;
    /** Cost of the probes of one attempt, at most, as a fraction of the worth of a request. */
    private static final double MAX_PROBE_COST = 0.02;
    /** Longest wait in a queue, in median latencies; a waiting request occupies a connection of the client. */
    private static final double MAX_WAIT_LATENCIES = 0.3;
    /** Fraction of the aim after which an attempt counts as late; a request that takes longer is about to miss its aim. */
    private static final double LATE_PART_OF_AIM = 0.75;
    /** Fraction of late attempts that does not reduce admission; it allows for single faulty nodes. */
    private static final double TOLERATED_LATE_FRACTION = 1 / 3.0;
    /** Fraction by which admission is reduced per aim if all attempts are late. */
    private static final double ADMISSION_CUT = 0.75;
    /** Factor by which admission is raised per aim without excess lateness. */
    private static final double ADMISSION_RAISE = 1.15;
    /** Smallest admitted fraction, so that answers still show the state of the nodes. */
    private static final double MIN_ADMITTED_FRACTION = 0.05;
    /** Number of control ticks within the shortest aim. */
    private static final double CONTROL_TICKS_PER_AIM = 16;

    private static final int CONTROL_TIMER = 1;
    private static final int SUBSCRIBE_TIMER = 2;

    /** Why a request is abandoned: not admitted, no free capacity, no time left, or its attempts failed. Names are logged. */
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
    /** Index of the active requests in load reports, negative if they are not reported. */
    private final int activeField;
    /** Index of the CPU utilisation in load reports, negative if it is not reported. */
    private final int cpuField;

    private final int probesPerAttempt;
    private final SubsetSize subset;
    private boolean controlTimerSet;
    private boolean subscribeTimerSet;
    private int subscribeFailures;
    private double nextShareUpdateMs;
    private final ColdNodeRateLimiter coldNodeRates = new ColdNodeRateLimiter();
    /** By queue, the number of requests received; older ones count less. */
    private final double[] offered;
    /** By queue, the fraction of requests that is refused on arrival. */
    private final double[] refusedFraction;

    private double admittedFraction = 1;
    private double nextAdmissionUpdateMs;
    private double lateAttempts;
    /** The number of attempts counted as late or in time; older ones count less. */
    private double judgedAttempts;
    /** Whether there were enough samples per member at the last update of the shares. */
    private boolean enoughSamples;
    /** Attempts beyond the first ones of requests, retries and hedges, that may be sent now. */
    private double retryBudget = MAX_RETRY_BUDGET / 2;
    /** The number of requests abandoned since the last update of the shares, by cause. */
    private final Map<Cause, Integer> abandonedCalls = new EnumMap<>(Cause.class);

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

    /** Sends the request to a member of the subset, drawn in proportion to the shares, unless it is refused on arrival. */
    @Override
    public void request(double nowMs, Request request) {
        ClassStatistics statistics = classes.get(request.requestClass());
        // If late answers are worth nothing, an answer is useful only within the aim.
        double usefulMs = statistics.spec.lateWorth() == 0 ? statistics.spec.aimMs() : request.timeoutMs();
        double usefulUntilMs = nowMs + Math.min(request.timeoutMs(), usefulMs) - 2 * settings.tickMs();
        // If clients do not mark retries, a shorter timeout than that of other requests indicates a retry.
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
                clientRetry
                        ? 0
                        : Math.min(statistics.baselineMs(), statistics.spec.aimMs() / INITIAL_LATENCIES_PER_AIM));
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
    public void bodyCompleted(double nowMs, int request, double timeoutMs) {
        Call call = calls.get(request);
        if (call != null && call.arriving) {
            call.arriving = false;
            call.usefulUntilMs = nowMs + timeoutMs;
            call.attempts.stream()
                    .filter(attempt -> attempt.outcome == null)
                    .forEach(attempt -> attempt.countAsLoad(nowMs));
        }
    }

    /** Sends the request, lets it wait for probes or for free capacity, or abandons it. */
    private void route(double nowMs, Call call) {
        if (call.usefulUntilMs - nowMs <= call.statistics.medianMs() / 2) {
            abandon(call, Cause.TIME); // too little time left for a useful answer
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
        double maxTimeoutMs = trial == null ? Double.MAX_VALUE : SILENCE_LATENCIES * call.statistics.medianMs();
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
                                    probed.activeRequests * call.statistics.baselineMs() < call.usefulUntilMs - nowMs)
                            .min(Comparator.comparingDouble(probed -> probed.activeRequests))
                            .orElse(null);
        }
        subset.memberOffered(host != null);
        if (host == null && call.probedHosts.isEmpty()) { // no warm node has free capacity
            setWeights(nowMs, call, true);
            host = list.memberAt(random.nextDouble());
        }
        return host;
    }

    /** Sets the weight of each member for this request: its share, or 0 if it is excluded. */
    private void setWeights(double nowMs, Call call, boolean cold) {
        boolean allTried = members.stream().allMatch(call::tried);
        // Nodes that are set aside are not avoided if they are most of the subset: that many are not all faulty.
        boolean avoid =
                2 * members.stream().filter(host -> host.setAsideReason != null).count() <= members.size();
        for (Host host : members) {
            boolean excluded = avoid && host.setAsideReason != null
                    || !allTried && call.tried(host)
                    || (cold
                            ? !host.tokens.hasToken(
                                    nowMs,
                                    coldNodeRates.allowedPerMs(host.listed.kind(), coldLoadFraction(nowMs, host, call)))
                            : host.isCold(nowMs, settings.contract()))
                    || !call.mayBeSentTo(host, nowMs)
                    || host.concurrency.isFull(nowMs);
            host.weight = excluded ? 0 : host.share;
        }
    }

    /**
     * Draws candidates for a request by share, probes them and returns whether there are any. The request then goes to the one
     * that is working on the fewest requests, among equals the one drawn first, and waits for the probes for a control interval
     * at most. Probes show queues that a sidecar with few requests cannot see. They are used only if their answers report the
     * requests that a node is working on, and if they cost little.
     */
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

    /**
     * Applies the step of the load-shifting algorithm, D &lt;- D (1 + eta F l), to the shares of members with samples since the last
     * update, then normalises the shares.
     */
    private void updateShares(double nowMs) {
        for (Host host : members) {
            // A hung node gives no answers, so attempts in flight for longer than usual count with their age.
            host.attempts.stream()
                    .mapToDouble(attempt -> attempt.ageMs(nowMs) / attempt.call.statistics.medianMs())
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
            if (host.latencies.count() > 0 && mean > 0) { // otherwise 0 / 0 would make every share NaN
                double deviation = (host.latencies.mean() - mean) / mean;
                double sampleWeight = host.latencies.count() / (host.latencies.count() + HALF_WEIGHT_SAMPLES);
                double factor = 1 - SHARE_STEP * sampleWeight * Math.min(MAX_DEVIATION, deviation);
                host.share = Math.max(host.share * factor, MIN_PART_OF_MEAN_SHARE / members.size());
            }
            host.latencies.clear();
        }
        list.normaliseShares();
    }

    /**
     * Fills the subset with the ready nodes of the lowest random ranks. A member that leaves is thus replaced by a random node, at
     * the mean share, and a new node becomes a member as often as any other, even if none leaves.
     */
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
                host.concurrency.reset(Math.max(1, subset.minConcurrency(list.hosts.size())));
                subset.memberAdded(host.id);
                // As in the paper, shares start in proportion to the listed weights.
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

    /** Logs why requests were abandoned since the last update, and how many members were full, cold or set aside. */
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

    @Override
    public LearnedState<Integer> learned() {
        Map<Integer, LearnedState.NodeState> nodes = new HashMap<>();
        list.hosts.forEach(host -> nodes.put(host.id, host.learned(members.contains(host))));
        return new LearnedState<>(
                admittedFraction,
                retryBudget,
                classes.stream().map(ClassStatistics::learned).toList(),
                nodes,
                coldNodeRates.maxRates());
    }

    @Override
    public void restore(LearnedState<Integer> other, double confidence) {
        if (other.classes().size() == classes.size()) {
            admittedFraction = Confidence.blend(admittedFraction, other.admittedFraction(), confidence);
            retryBudget = Confidence.blend(retryBudget, Math.min(MAX_RETRY_BUDGET, other.retryBudget()), confidence);
            classes.forEach(
                    statistics -> statistics.restore(other.classes().get(classes.indexOf(statistics)), confidence));
            coldNodeRates.restore(other.maxRateByKind(), confidence);
        }
        // The ranks come first, as they decide which nodes are members.
        list.hosts.forEach(host -> host.restore(other.nodes().get(host.id), 0));
        subset.restore((int)
                other.nodes().values().stream().filter(node -> node.share() > 0).count());
        fillSubset();
        members.forEach(host -> host.restore(other.nodes().get(host.id), confidence));
        list.normaliseShares();
    }

    @Override
    public void setSiblingLoad(Map<Integer, Integer> inFlight, double share) {
        list.hosts.forEach(host -> host.concurrency.setSiblingInFlight(inFlight.getOrDefault(host.id, 0)));
        coldNodeRates.setShare(share);
    }

    /** Learns from the outcome and, if the request is still open, sends another attempt or abandons it. */
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
        waitingCalls.offer(waitingCall -> tryDispatch(nowMs, waitingCall));
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
        } else if (outcome == Outcome.NOT_SENT || outcome == Outcome.CANCELLED && elapsedMs < statistics.medianMs()) {
            return;
        } else if (outcome != Outcome.CANCELLED) {
            // A failure counts as if it had taken its whole timeout; otherwise a node that fails at once attracts load.
            latencyMs = Math.max(elapsedMs, attempt.timeoutMs);
            if (outcome == Outcome.TIMEOUT) {
                // Without this, an overloaded fleet in which every attempt times out would look quiet.
                statistics.moveMedian(latencyMs, MIN_MEDIAN_STEP);
            } else if (outcome != Outcome.CONNECT_FAILED) {
                host.lastResponseMs = nowMs;
            }
            recordHealth(nowMs, host, false);
        }
        host.latencies.add(latencyMs / statistics.medianMs());
        // The limit prevents queues at nodes and keeps load off congested
        // ones; a member that has reached it is excluded.
        host.concurrency.answered(
                nowMs,
                latencyMs,
                statistics.baselineMs(),
                statistics.medianMs(),
                subset.minConcurrency(list.hosts.size()));
        if (outcome != Outcome.OK) {
            host.concurrency.failed(nowMs, elapsedMs, statistics.medianMs());
        }
    }

    /** Returns whether the request may be sent once more: budget, attempts and time are left, and a repeat is safe. */
    private boolean mayResend(double nowMs, Call call) {
        return retryBudget >= 1
                && call.attempts.size() < settings.limits().maxAttempts()
                && call.usefulUntilMs - nowMs >= call.statistics.medianMs()
                && (call.statistics.spec.effect() != Effect.UNSAFE || call.provenNotRun());
    }

    /** Refuses the request if a retry is safe, and fails it otherwise. */
    private void abandon(Call call, Cause cause) {
        abandonedCalls.merge(cause, 1, Integer::sum);
        if (call.mayBeRefused()) {
            actions.refuse(call.id, settings.limits().maxRetryAfterMs());
        } else {
            actions.fail(call.id);
        }
        complete(call);
    }

    /** Completes the request. Attempts in flight are cancelled, as they would only cost work, and tracked until they end. */
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
            // How long the stream lasts says nothing about the node's latency.
            call.streaming = true;
            started.host.attempts.remove(started);
            recordOutcome(nowMs, started, Outcome.OK, elapsedMs);
            cancelOthers(call, started);
        }
    }

    @Override
    public void clientDisconnected(double nowMs, int request) {
        Call call = calls.get(request);
        if (call != null && !call.completed) {
            waitingCalls.remove(call.queue, call);
            probingCalls.remove(call);
            complete(call);
        }
    }

    /**
     * Returns the cold member that this request is sent to, or null. This protects a node that has just started from
     * overload, for as long as the contract calls it cold. Each request makes one draw before its first attempt,
     * whatever the state of the other members. If the draw hits a cold member, the member takes the request with the
     * probability that {@link #coldLoadFraction} returns. All sidecars together thus send it that fraction of its share
     * of first tries and no more: no credit accumulates, and requests that other nodes have no capacity for are not
     * moved to it here.
     */
    private Host coldHost(double nowMs, Call call) {
        boolean noDraw = call.coldDrawMade || call.clientRetry || !call.attempts.isEmpty();
        call.coldDrawMade = true;
        if (noDraw || members.stream().noneMatch(host -> host.isCold(nowMs, settings.contract()))) {
            return null;
        }
        members.forEach(host -> host.weight = host.share);
        Host host = list.memberAt(random.nextDouble());
        return random.nextDouble() < coldLoadFraction(nowMs, host, call) ? host : null;
    }

    /**
     * Returns the load that a cold node may be sent, as a fraction of a warm node's; 0 if the node is warm or set aside, or if the
     * request would be too late there.
     */
    private double coldLoadFraction(double nowMs, Host host, Call call) {
        double warmFraction = host.warmFraction(nowMs, settings.contract());
        // At a node with this fraction of its speed the request must still be answered in time.
        boolean inTime = call.statistics.baselineMs() < warmFraction * (call.usefulUntilMs - nowMs);
        return warmFraction < 1 && inTime && host.setAsideReason == null
                ? warmFraction * COLD_LOAD_FACTOR * settings.contract().overloadFactor()
                : 0;
    }

    /**
     * Abandons a waiting request that can no longer be answered in time or has waited too long; returns whether it did. Under
     * overload requests wait while all members are full. Those of the highest value are sent first, and among them the newest.
     */
    private boolean abandonIfHopeless(double nowMs, Call call) {
        boolean hopeless = call.usefulUntilMs - nowMs <= Math.max(controlIntervalMs, call.statistics.medianMs())
                || !members.isEmpty() && nowMs - call.waitingSinceMs > MAX_WAIT_LATENCIES * call.statistics.medianMs();
        if (hopeless) {
            abandon(call, Cause.ROOM);
        }
        return hopeless;
    }

    /**
     * Ranks the queues by what an answer adds to the goal, over all classes and for the worst-served one; sets the
     * fraction of each queue that is refused.
     */
    private void rankQueues() {
        double totalWorth = Double.MIN_NORMAL
                + classes.stream().mapToDouble(ClassStatistics::offeredWorth).sum();
        ClassStatistics worst = classes.stream()
                .min(Comparator.comparingDouble(ClassStatistics::servedFraction))
                .get();
        for (int i = 0; i < classes.size(); i++) {
            ClassStatistics statistics = classes.get(i);
            double value = settings.goal().whole() * statistics.spec.worth() / totalWorth
                    + (statistics == worst ? settings.goal().worstClass() / Math.max(statistics.offered, 1) : 0);
            waitingCalls.setValue(i, value, CLIENT_RETRY_WORTH);
        }
        waitingCalls.rank();
        double remaining = admittedFraction * Arrays.stream(offered).sum();
        for (int queue : waitingCalls.order()) {
            refusedFraction[queue] = offered[queue] > 0 ? Math.max(0, 1 - remaining / offered[queue]) : 0;
            remaining = Math.max(0, remaining - offered[queue]);
        }
    }

    /**
     * Adjusts the admitted fraction to the lateness of attempts. While more than the tolerated fraction of them is late, a growing
     * part of the requests is refused on arrival, those of the lowest value first.
     */
    private void adjustAdmission() {
        double excess = (lateAttempts / (judgedAttempts + 1) - TOLERATED_LATE_FRACTION) / (1 - TOLERATED_LATE_FRACTION);
        admittedFraction = Math.max(
                MIN_ADMITTED_FRACTION,
                Math.min(1, admittedFraction * (excess > 0 ? 1 - ADMISSION_CUT * excess : ADMISSION_RAISE)));
        lateAttempts /= 2;
        judgedAttempts /= 2;
        Arrays.setAll(offered, queue -> offered[queue] * 0.9);
    }

    /** Counts an attempt once, as late if it failed or has taken most of the aim, or as in time once it is answered. */
    private void countLateness(Attempt attempt, double elapsedMs, boolean failed) {
        boolean late = failed || elapsedMs > attempt.call.statistics.spec.aimMs() * LATE_PART_OF_AIM;
        boolean judged = late || attempt.outcome == Outcome.OK;
        if (judged
                && !attempt.latenessCounted
                && probesPerAttempt == 0) { // with probes, queues at nodes are visible directly
            attempt.latenessCounted = true;
            lateAttempts += late ? 1 : 0;
            judgedAttempts++;
        }
    }

    /**
     * Sets a node aside: it gets no requests but trials, at growing intervals, until it answers one. This protects against nodes
     * that are silent (hung, paused or unreachable) or fail, and is triggered by silence of the attempts in flight or by
     * failures in a row.
     */
    private void setAside(double nowMs, Host host, String reason) {
        if (host.setAsideReason == null) {
            host.setAsideReason = reason;
            host.trialIntervalMs =
                    probesPerAttempt > 0 || settings.anySafe() ? SHARE_INTERVAL_MS / 2 : MAX_TRIAL_INTERVAL_MS;
            host.nextTrialMs = nowMs + host.trialIntervalMs;
        }
    }

    /** Records whether a node answered or failed; sets it aside after failures in a row, and takes it back when it answers. */
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

    /**
     * Returns the node that is due for a trial by this request, or null. Without probes, a request that is safe to repeat serves
     * as the trial; with probes, a probe is sent instead.
     */
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
                // There are no probes and no requests that are safe to repeat, so nothing can serve as a trial, and the
                // node must not stay set aside indefinitely.
                host.setAsideReason = null;
            }
        }
        return null;
    }

    /** Sets aside members that are silent, and hedges the attempts in flight at members that are set aside. */
    private void setAsideSilentHosts(double nowMs) {
        for (Host host : members) {
            host.attempts.forEach(attempt -> countLateness(attempt, attempt.ageMs(nowMs), false));
            Attempt oldest = host.attempts.peekFirst();
            double silentMs = oldest == null ? 0 : nowMs - Math.max(host.lastResponseMs, oldest.sentMs);
            double medianMs = oldest == null ? 0 : oldest.call.statistics.medianMs();
            double thresholdMs =
                    (host.concurrency.inFlight() > 1 ? SILENCE_LATENCIES / 2 : SILENCE_LATENCIES) * medianMs;
            if (silentMs > 1.5 * medianMs && silentMs * host.concurrency.inFlight() > thresholdMs) {
                setAside(nowMs, host, "silent for " + Math.round(silentMs) + " ms");
            }
            if (host.setAsideReason != null && enoughSamples && admittedFraction == 1 && waitingCalls.isEmpty()) {
                host.attempts.forEach(attempt -> sendHedge(nowMs, attempt));
            }
        }
    }

    /** Sends a hedge, a second copy of a stalled attempt, if the request class, the budget and free capacity allow. */
    private void sendHedge(double nowMs, Attempt stalled) {
        Call call = stalled.call;
        boolean allowed = !call.completed
                && call.attemptsInFlight == 1
                && settings.limits().secondCopies()
                && stalled.ageMs(nowMs) > call.statistics.medianMs()
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
            } finally { // the next tick follows even if this one fails
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
            fillSubset(); // a small subset would leave nodes idle while its own members are full
        }
        rankQueues();
        waitingCalls.offer(call -> tryDispatch(nowMs, call));
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
            if (!subscribeTimerSet) { // exponential backoff with jitter, as many sidecars use one discovery service
                double delayMs = SHARE_INTERVAL_MS / 4 * (1 << Math.min(5, subscribeFailures++));
                delayMs = Math.min(delayMs, settings.contract().askEveryMs() / 4);
                actions.timer(delayMs * (0.5 + random.nextDouble()), SUBSCRIBE_TIMER);
            }
            subscribeTimerSet = true;
        } else {
            subscribeFailures = 0;
            list.apply(kind, entries, random);
            fillSubset();
            waitingCalls.offer(call -> tryDispatch(nowMs, call));
        }
    }
}
