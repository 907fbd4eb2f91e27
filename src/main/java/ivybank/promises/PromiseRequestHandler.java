package ivybank.promises;

import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.exchange.Answer;
import ivybank.exchange.ClientRequest;
import ivybank.exchange.RequestHandler;
import ivybank.exchange.SendRecord;
import ivybank.policy.Balancer.Effect;
import ivybank.policy.Balancer.RequestClass;
import ivybank.policy.Balancer.Settings;
import ivybank.promises.PromiseTable.Decision;
import ivybank.store.Disk;
import ivybank.store.Limits;
import ivybank.store.Store;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Handles requests between the clients and the dispatcher. Requests that are safe to repeat pass unchanged; for the
 * others it keeps a promise. The promise that a request may run is on the disk before its first byte goes to a node,
 * and its answer is on the disk before the client gets its first byte. All methods run on the event loop; callbacks of
 * the store's thread are passed on to the event loop.
 */
public final class PromiseRequestHandler implements RequestHandler, AutoCloseable {

    /** Time before the client's deadline at which the wait for an answer that is being recorded ends. */
    private static final double ANSWER_MARGIN_MS = 10;

    private static final int STATUS_BAD_GATEWAY = 502;
    private static final int STATUS_GATEWAY_TIMEOUT = 504;
    private static final int STATUS_CONFLICT = 409;
    private static final double MICROS_PER_MS = 1000;
    /** How long a late answer to an abandoned request is accepted. */
    private static final double LATE_ANSWER_WINDOW_MS = 10_000;
    /** First character of generated identities. A header value can't contain it. */
    private static final char ANONYMOUS_PREFIX = '\n';

    /** A client that waits for an answer: the first one of a request, or one that sent the same request meanwhile. */
    private static final class Waiter {
        final Consumer<Answer> client;
        ScheduledFuture<?> timeout;
        /** The number by which {@link #clientDisconnected} identifies the client. */
        int number;

        boolean completed;

        Waiter(Consumer<Answer> client) {
            this.client = client;
        }

        void complete(Answer answer) {
            if (!completed) {
                completed = true;
                if (timeout != null) {
                    timeout.cancel(false);
                }
                client.accept(answer);
            }
        }

        void cancel() {
            completed = true;
            if (timeout != null) {
                timeout.cancel(false);
            }
        }
    }

    /** A pending request that must not run twice. */
    private final class Promise implements SendRecord {
        private final String identity;
        private final List<Waiter> waiters = new ArrayList<>(1);
        private final List<Runnable> onRecorded = new ArrayList<>(1);
        private final List<Runnable> onRecordFailed = new ArrayList<>(1);
        private int number;
        private int unresolvedAttempts; // attempts that have not proved that they did not run
        private boolean recording;
        private boolean recorded;
        private boolean settled; // the outcome is known, or is being recorded

        Promise(String identity) {
            this.identity = identity;
        }

        @Override
        public boolean isRecorded() {
            return recorded;
        }

        @Override
        public void record(Runnable onSuccess, Runnable onError) {
            onRecorded.add(onSuccess);
            onRecordFailed.add(onError);
            if (recording) {
                return;
            }
            recording = true;
            store.put(
                    key(identity),
                    new PromiseRecord(PromiseState.SENT, clock.nowMs(), null).encode(),
                    outcome -> loop.execute(() -> {
                        recording = false;
                        recorded = outcome == Store.Outcome.CONFIRMED || mayLetThrough();
                        failedRecords += outcome == Store.Outcome.CONFIRMED ? 0 : 1;
                        List<Runnable> callbacks = List.copyOf(recorded ? onRecorded : onRecordFailed);
                        onRecorded.clear();
                        onRecordFailed.clear();
                        callbacks.forEach(PromiseRequestHandler.this::runCallback);
                    }));
        }

        @Override
        public void attemptStarted() {
            unresolvedAttempts++;
            promises.sent(identity);
        }

        @Override
        public void attemptEnded(boolean proved) {
            unresolvedAttempts -= proved ? 1 : 0;
        }

        boolean isAnonymous() {
            return identity.charAt(0) == ANONYMOUS_PREFIX;
        }

        @Override
        public void servedLate(Answer answer) {
            if (!settled) {
                recordAnswer(this, answer);
            } else if (!isAnonymous() && awaitingLateAnswer.remove(identity)) {
                // The request was abandoned in doubt; this answer resolves the doubt.
                byte[] record = new PromiseRecord(PromiseState.ACKED, clock.nowMs(), answer).encode();
                if (record.length > maxRecordBytes) {
                    return;
                }
                store.put(
                        key(identity),
                        record,
                        outcome -> loop.execute(() -> {
                            if (outcome == Store.Outcome.CONFIRMED) {
                                promises.acknowledged(identity, clock.nowMs());
                            }
                        }));
            }
        }
    }

    private final PromiseSettings settings;
    private final List<RequestClass> classes;
    private final ScheduledExecutorService loop;
    private final Clock clock;
    private final Log log;
    private final double retryAfterMs;
    private final int maxRecordBytes;
    private final PromiseTable promises;
    private final Store store;
    private final Map<String, Promise> pending = new HashMap<>();
    private final Map<Integer, Promise> byRequestNumber = new HashMap<>();
    /** Abandoned requests in doubt whose attempts may still be answered. */
    private final Set<String> awaitingLateAnswer = new HashSet<>();

    private RequestHandler dispatcher;
    /** Whether the store belongs to the next process of the sidecar, or will in a moment. */
    private boolean handingOver;
    /** Whether the store is closed, and what was known of ended requests forgotten. */
    private boolean handedOver;

    private long anonymousCount;
    private int joinedCount;
    private long failedRecords;
    private long failedAnswerRecords;

    /**
     * Recovers the promises of earlier processes. Blocks, and is therefore called before the event loop serves
     * requests.
     *
     * @throws IOException if the store can't be used in its present state; the message is one line
     */
    public PromiseRequestHandler(
            PromiseSettings settings,
            Settings decisionSettings,
            Disk disk,
            Limits limits,
            boolean degrade,
            ScheduledExecutorService loop,
            Clock clock,
            Log log)
            throws IOException {
        this.settings = settings;
        this.classes = decisionSettings.classes();
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.retryAfterMs = decisionSettings.limits().maxRetryAfterMs();
        this.maxRecordBytes = limits.value();
        this.promises = new PromiseTable(settings.keepMs(), settings.most(), this::forget);
        // The wall clock may have been stepped since the records were written, so each is kept for a whole period
        // again, and their order is that in which they were written.
        double nowMs = clock.nowMs();
        this.store = Store.open(
                disk,
                limits,
                degrade,
                (key, value) -> {
                    PromiseState state = PromiseRecord.decode(value).state();
                    promises.recovered(new String(key, StandardCharsets.UTF_8), state, nowMs, nowMs);
                },
                task -> {
                    Thread thread = new Thread(task, "store");
                    thread.setDaemon(true);
                    return thread;
                });
        promises.trim(nowMs);
        log.line("store: " + store.report().summary());
        log.line("promises: " + promises.statistics().acked() + " acked and "
                + promises.statistics().inDoubt() + " in doubt from before");
    }

    /** Returns whether requests go on without a promise: not where another process may hold one for the same identity. */
    private boolean mayLetThrough() {
        return settings.letThrough() && !handingOver;
    }

    /**
     * Takes no further promises, because the store is to be closed for the next process of the sidecar. Requests that are new are
     * refused from now on. Those in hand go on; whose answer comes when the store is closed is in doubt, as where the disk fails.
     */
    public void beginHandOver() {
        handingOver = true;
    }

    /** Notifies that the store is closed for the next process. What this one knows of ended requests is worth nothing from now on. */
    public void handedOver() {
        handedOver = true;
        promises.clear();
    }

    /** Returns the number of requests in hand that have not been settled on the disk. */
    public int inHand() {
        return pending.size();
    }

    /** Returns whether the store is closed, and its folder free for another process. */
    public boolean isClosed() {
        return store.isClosed();
    }

    /** Runs one of several callbacks that wait for the same write. A failing one does not affect the others. */
    private void runCallback(Runnable callback) {
        try {
            callback.run();
        } catch (RuntimeException | Error e) {
            log.line("callback of a request that waited for the store failed: " + e);
        }
    }

    /** Sets the handler that requests are passed on to. */
    public void setDispatcher(RequestHandler handler) {
        dispatcher = handler;
    }

    private static byte[] key(String identity) {
        return identity.getBytes(StandardCharsets.UTF_8);
    }

    private void forget(String identity, PromiseState was) {
        if (was == PromiseState.IN_DOUBT) {
            log.line("forgot a request in doubt because of its age or the size limit: " + identity);
        }
        store.delete(key(identity), outcome -> {}); // if this fails, the next start forgets it again
    }

    @Override
    public boolean ready() {
        return dispatcher.ready();
    }

    @Override
    public int unanswered() {
        int recordingAnswers = 0;
        for (Promise promise : pending.values()) {
            recordingAnswers += promise.settled ? 1 : 0; // answered by the dispatcher; the answer is being recorded
        }
        return dispatcher.unanswered() + recordingAnswers;
    }

    @Override
    public boolean isInFlight(String callId) {
        return dispatcher.isInFlight(callId);
    }

    /** A request with an identity is answered by its record, whatever its ID. */
    @Override
    public boolean mayHaveRun(ClientRequest request) {
        return request.identity() == null && dispatcher.mayHaveRun(request);
    }

    @Override
    public void turnedAway(String callId) {
        dispatcher.turnedAway(callId);
    }

    @Override
    public void answerRead(int number, String callId) {
        dispatcher.answerRead(number, callId);
    }

    @Override
    public int handle(ClientRequest request, Consumer<Answer> client) {
        RequestClass requestClass = classes.get(request.requestClass());
        if (requestClass.effect() == Effect.SAFE) {
            return dispatcher.handle(request, client);
        }
        String requestIdentity = request.identity();
        // A request without an identity can't be recognised again: the promise is only that this sidecar sends it once.
        String identity = requestIdentity == null
                ? ANONYMOUS_PREFIX + Long.toHexString((long) (clock.nowMs() * MICROS_PER_MS)) + "-" + ++anonymousCount
                : requestClass.name() + "\n" + requestIdentity;
        Decision decision = promises.admit(identity, clock.nowMs());
        switch (decision) {
            case STORED -> readAnswer(identity, request, client);
            case JOIN -> {
                return join(pending.get(identity), request, client);
            }
            case IN_DOUBT ->
                client.accept(Answer.failure(STATUS_CONFLICT, "it may have run, and is not sent again: in doubt"));
            case AT_CAPACITY -> client.accept(Answer.refused(retryAfterMs));
            default -> {
                return start(identity, request, client);
            }
        }
        return 0;
    }

    private int start(String identity, ClientRequest request, Consumer<Answer> client) {
        Store.State state = store.statistics().state();
        if (handedOver) {
            promises.ended(identity, true, clock.nowMs());
            client.accept(Answer.failure(
                    STATUS_BAD_GATEWAY, "the next process of this sidecar knows whether it has run: ask again"));
            return 0;
        }
        if (handingOver || state != Store.State.GOOD && !settings.letThrough()) {
            promises.ended(identity, true, clock.nowMs());
            client.accept(Answer.refused(retryAfterMs));
            return 0;
        }
        Promise promise = new Promise(identity);
        pending.put(identity, promise);
        Waiter first = new Waiter(client);
        promise.waiters.add(first);
        double deadlineMs = request.arrivedMs() + request.budgetMs();
        int number =
                dispatcher.handle(request.withSendRecord(promise), answer -> onAnswer(promise, answer, deadlineMs));
        promise.number = number;
        first.number = number;
        if (pending.get(identity) == promise) {
            byRequestNumber.put(number, promise);
        }
        return number;
    }

    /** Receives the final answer of the dispatcher. */
    private void onAnswer(Promise promise, Answer answer, double deadlineMs) {
        promise.waiters.forEach(waiter -> byRequestNumber.remove(waiter.number));
        if (answer.isServed()) {
            scheduleTimeout(promise.waiters.get(0), deadlineMs);
            recordAnswer(promise, answer);
        } else {
            promise.settled = true;
            finish(promise, answer.isRefusal() || promise.unresolvedAttempts == 0);
            answerWaiters(promise, isInDoubtElsewhere(promise, answer) ? inDoubt() : answer);
        }
    }

    /**
     * Returns whether a refusal would be wrong, since the next process has the request in doubt: it has read the record that it may
     * run, and this process can't take the record back.
     */
    private boolean isInDoubtElsewhere(Promise promise, Answer answer) {
        return answer.isRefusal() && promise.recorded && handingOver && isClosed();
    }

    private static Answer inDoubt() {
        return Answer.failure(STATUS_BAD_GATEWAY, "its outcome could not be recorded: in doubt");
    }

    /** Records an answer, and passes it to the waiting clients when it is on the disk. */
    private void recordAnswer(Promise promise, Answer answer) {
        promise.settled = true;
        if (promise.isAnonymous()) { // no client can ask for it again
            finish(promise, true);
            answerWaiters(promise, answer);
            return;
        }
        byte[] record = new PromiseRecord(PromiseState.ACKED, clock.nowMs(), answer).encode();
        if (record.length > maxRecordBytes) {
            onAnswerNotRecorded(promise, answer);
            return;
        }
        store.put(
                key(promise.identity),
                record,
                outcome -> loop.execute(() -> {
                    if (outcome == Store.Outcome.CONFIRMED) {
                        pending.remove(promise.identity);
                        promises.acknowledged(promise.identity, clock.nowMs());
                        answerWaiters(promise, answer);
                    } else {
                        onAnswerNotRecorded(promise, answer);
                    }
                }));
    }

    private void onAnswerNotRecorded(Promise promise, Answer answer) {
        failedAnswerRecords++;
        finish(promise, false);
        answerWaiters(
                promise,
                settings.letThrough()
                        ? answer
                        : Answer.failure(
                                STATUS_BAD_GATEWAY, "it has run, and its answer could not be recorded: in doubt"));
    }

    /** Ends a request without a recorded answer. {@code proved}: it is certain that the request did not run. */
    private void finish(Promise promise, boolean proved) {
        pending.remove(promise.identity);
        if (promises.mayHaveRun(promise.identity) && !proved) {
            awaitingLateAnswer.add(promise.identity);
            schedule(
                    settings.keepMs() > LATE_ANSWER_WINDOW_MS ? LATE_ANSWER_WINDOW_MS : settings.keepMs(),
                    () -> awaitingLateAnswer.remove(promise.identity));
        }
        promises.ended(promise.identity, proved, clock.nowMs());
    }

    private void answerWaiters(Promise promise, Answer answer) {
        promise.waiters.forEach(waiter -> waiter.complete(answer));
    }

    /** Schedules a failure for a waiting client shortly before its deadline. */
    private void scheduleTimeout(Waiter waiter, double deadlineMs) {
        waiter.timeout = schedule(
                deadlineMs - ANSWER_MARGIN_MS - clock.nowMs(),
                () -> waiter.complete(
                        Answer.failure(STATUS_GATEWAY_TIMEOUT, "it is in hand, and its answer is not there yet")));
    }

    private int join(Promise promise, ClientRequest request, Consumer<Answer> client) {
        Waiter waiter = new Waiter(client);
        promise.waiters.add(waiter);
        scheduleTimeout(waiter, request.arrivedMs() + request.budgetMs());
        waiter.number = --joinedCount; // negative, to differ from the dispatcher's numbers
        byRequestNumber.put(waiter.number, promise);
        return waiter.number;
    }

    private void readAnswer(String identity, ClientRequest request, Consumer<Answer> client) {
        Waiter waiter = new Waiter(client);
        scheduleTimeout(waiter, request.arrivedMs() + request.budgetMs());
        store.get(
                key(identity),
                (value, failure) -> loop.execute(() -> waiter.complete(
                        value == null
                                ? Answer.failure(
                                        STATUS_BAD_GATEWAY,
                                        "it has run, and its answer can't be read: "
                                                + (failure == null ? "it was just forgotten" : failure.getMessage()))
                                : PromiseRecord.decode(value).answer())));
    }

    private ScheduledFuture<?> schedule(double delayMs, Runnable task) {
        return loop.schedule(task, Math.max(0, (long) (delayMs * MICROS_PER_MS)), TimeUnit.MICROSECONDS);
    }

    @Override
    public void bodyCompleted(int number, double earliestMs) {
        dispatcher.bodyCompleted(
                number, earliestMs); // long requests are not recorded and keep the dispatcher's numbers
    }

    @Override
    public void clientDisconnected(int number) {
        Promise promise = byRequestNumber.remove(number);
        if (promise == null) {
            dispatcher.clientDisconnected(number);
            return;
        }
        promise.waiters.stream().filter(waiter -> waiter.number == number).forEach(Waiter::cancel);
        if (promise.waiters.stream().allMatch(waiter -> waiter.completed)
                && !promise.settled) { // otherwise another client still waits
            dispatcher.clientDisconnected(promise.number);
            promise.settled = true;
            finish(promise, promise.unresolvedAttempts == 0);
        }
    }

    /** Returns the statistics as one line for the log. */
    public String statusLine() {
        PromiseTable.Statistics statistics = promises.statistics();
        Store.Statistics storeStatistics = store.statistics();
        return "promises: " + statistics.pending() + " in hand, " + statistics.acked() + " acked, "
                + statistics.inDoubt()
                + " in doubt; "
                + statistics.stored() + " answered from the record, " + statistics.joined() + " joined, "
                + statistics.failedInDoubt()
                + " failed as in doubt, " + statistics.forgottenByAge() + " forgotten by age, "
                + statistics.forgottenBySize()
                + " by size, " + statistics.forgottenInDoubt() + " of them in doubt; " + failedRecords
                + " not recorded, "
                + failedAnswerRecords
                + " answers not recorded; store " + storeStatistics.state() + ", " + storeStatistics.usedBytes()
                + " bytes, "
                + storeStatistics.keyCount()
                + " keys, "
                + storeStatistics.confirmed() + " changes in " + storeStatistics.batches() + " writes, "
                + storeStatistics.compactions()
                + " compactions, "
                + storeStatistics.failures() + " failures, longest write "
                + Math.round(storeStatistics.longestForceMs()) + " ms";
    }

    /** Closes the store. Returns when all queued writes are on the disk, or after a timeout. */
    @Override
    public void close() {
        store.close();
    }
}
