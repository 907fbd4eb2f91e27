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
import ivybank.promises.PromiseTable.State;
import ivybank.store.Disk;
import ivybank.store.Limits;
import ivybank.store.Store;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
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
 * Stands between clients and the driver: lets requests through that are safe to repeat, and keeps the promise of the others.
 * That one may run is on the disk before its first byte goes to a node, its answer before the client gets its first byte.
 * All of it runs on the event loop; the store's thread only hands back to it.
 */
public final class PromiseRequestHandler implements RequestHandler, AutoCloseable {

    /** When a promise that is still being written is given up, before the client's time is over. */
    private static final double MARGIN_MS = 10;

    private static final int FAILED = 502;
    private static final int OUT_OF_TIME = 504;
    private static final int IN_DOUBT = 409;
    private static final double MICROS_IN_MS = 1000;
    /** For so long an attempt that was given up may still be told of. */
    private static final double DOUBT_MS = 10_000;
    /** Begins the identities that are made here; no header can hold it. */
    private static final char NAMELESS = '\n';

    /** One that waits for an answer: the client of a request, or one that has asked for the same meanwhile. */
    private static final class Waiter {
        final Consumer<Answer> client;
        ScheduledFuture<?> patience;
        /** What its client is known by when it leaves. */
        int number;

        boolean over;

        Waiter(Consumer<Answer> client) {
            this.client = client;
        }

        void tell(Answer answer) {
            if (!over) {
                over = true;
                if (patience != null) {
                    patience.cancel(false);
                }
                client.accept(answer);
            }
        }

        void leave() {
            over = true;
            if (patience != null) {
                patience.cancel(false);
            }
        }
    }

    /** A request in hand that must not run twice. */
    private final class Promise implements SendRecord {
        private final String identity;
        private final List<Waiter> waiters = new ArrayList<>(1);
        private final List<Runnable> onRecord = new ArrayList<>(1);
        private final List<Runnable> onFailure = new ArrayList<>(1);
        private int number;
        private int out; // attempts that have not proved that they did not run
        private boolean recording;
        private boolean recorded;
        private boolean settled; // its end is known, or being written

        Promise(String identity) {
            this.identity = identity;
        }

        @Override
        public boolean isRecorded() {
            return recorded;
        }

        @Override
        public void record(Runnable done, Runnable failed) {
            onRecord.add(done);
            onFailure.add(failed);
            if (recording) {
                return;
            }
            recording = true;
            store.put(
                    key(identity),
                    new Entry(State.SENT, clock.nowMs(), null).bytes(),
                    outcome -> loop.execute(() -> {
                        recording = false;
                        recorded = outcome == Store.Outcome.CONFIRMED || settings.letThrough();
                        unrecorded += outcome == Store.Outcome.CONFIRMED ? 0 : 1;
                        List<Runnable> told = List.copyOf(recorded ? onRecord : onFailure);
                        onRecord.clear();
                        onFailure.clear();
                        told.forEach(PromiseRequestHandler.this::run);
                    }));
        }

        @Override
        public void attemptStarted() {
            out++;
            promises.sent(identity);
        }

        @Override
        public void attemptEnded(boolean proved) {
            out -= proved ? 1 : 0;
        }

        boolean isNameless() {
            return identity.charAt(0) == NAMELESS;
        }

        @Override
        public void servedLate(Answer answer) {
            if (!settled) {
                acknowledge(this, answer);
            } else if (!isNameless() && inDoubt.remove(identity)) {
                // It was given up as one that may have run; now it is known.
                byte[] entry = new Entry(State.ACKED, clock.nowMs(), answer).bytes();
                if (entry.length > longestEntry) {
                    return;
                }
                store.put(
                        key(identity),
                        entry,
                        outcome -> loop.execute(() -> {
                            if (outcome == Store.Outcome.CONFIRMED) {
                                promises.acked(identity, clock.nowMs());
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
    private final int longestEntry;
    private final PromiseTable promises;
    private final Store store;
    private final Map<String, Promise> inHand = new HashMap<>();
    private final Map<Integer, Promise> byNumber = new HashMap<>();
    /** Given up here as ones that may have run, whose attempts may still be told of. */
    private final Set<String> inDoubt = new HashSet<>();

    private RequestHandler driver;
    private long nameless;
    private int joined;
    private long unrecorded;
    private long unacknowledged;

    /**
     * Recovers what earlier processes have left on record. Blocks; to be called before the event loop serves.
     *
     * @throws IOException in one line, if the store can't be used as it is
     */
    public PromiseRequestHandler(
            PromiseSettings settings,
            Settings module,
            Disk disk,
            Limits limits,
            boolean degrade,
            ScheduledExecutorService loop,
            Clock clock,
            Log log)
            throws IOException {
        this.settings = settings;
        this.classes = module.classes();
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.retryAfterMs = module.limits().maxRetryAfterMs();
        this.longestEntry = limits.value();
        this.promises = new PromiseTable(settings.keepMs(), settings.most(), this::forget);
        List<Found> found = new ArrayList<>();
        this.store = Store.open(
                disk,
                limits,
                degrade,
                (key, value) -> {
                    Entry entry = Entry.read(value);
                    found.add(new Found(new String(key, StandardCharsets.UTF_8), entry.state(), entry.atMs()));
                },
                task -> {
                    Thread thread = new Thread(task, "store");
                    thread.setDaemon(true);
                    return thread;
                });
        found.sort(Comparator.comparingDouble(Found::atMs));
        double nowMs = clock.nowMs();
        // The wall clock may have been stepped since they were written: what is owed is owed for a whole time more.
        found.forEach(each -> promises.recovered(each.identity, each.state, nowMs, nowMs));
        promises.trim(nowMs);
        log.line("store: " + store.report().summary());
        log.line("promises: " + promises.figures().acked() + " acked and "
                + promises.figures().inDoubt() + " in doubt from before");
    }

    /** Runs one of several that wait for the same: one that fails keeps none of the others from it. */
    private void run(Runnable waiting) {
        try {
            waiting.run();
        } catch (RuntimeException | Error e) {
            log.line("a request that waited for the store failed: " + e);
        }
    }

    private record Found(String identity, State state, double atMs) {}

    /** Who takes what may go on. */
    public void setDispatcher(RequestHandler handler) {
        driver = handler;
    }

    private static byte[] key(String identity) {
        return identity.getBytes(StandardCharsets.UTF_8);
    }

    private void forget(String identity, State was) {
        if (was == State.IN_DOUBT) {
            log.line("forgotten while in doubt, for its age or for want of room: " + identity);
        }
        store.delete(key(identity), outcome -> {}); // what stays is forgotten again at the next start
    }

    @Override
    public boolean ready() {
        return driver.ready();
    }

    @Override
    public int unanswered() {
        int held = 0;
        for (Promise promise : inHand.values()) {
            held += promise.settled ? 1 : 0; // answered by the driver, and its answer is being recorded
        }
        return driver.unanswered() + held;
    }

    @Override
    public boolean isInFlight(String callId) {
        return driver.isInFlight(callId);
    }

    @Override
    public int handle(ClientRequest request, Consumer<Answer> client) {
        RequestClass spec = classes.get(request.requestClass());
        if (spec.effect() == Effect.SAFE) {
            return driver.handle(request, client);
        }
        String named = request.identity();
        // One without a name is never recognised again: what is promised of it is only that this sidecar sends it once.
        String identity = named == null
                ? NAMELESS + Long.toHexString((long) (clock.nowMs() * MICROS_IN_MS)) + "-" + ++nameless
                : spec.name() + "\n" + named;
        Decision decision = promises.ask(identity, clock.nowMs());
        switch (decision) {
            case STORED -> readAnswer(identity, request, client);
            case JOIN -> {
                return join(inHand.get(identity), request, client);
            }
            case IN_DOUBT ->
                client.accept(Answer.failure(IN_DOUBT, "it may have run, and is not sent again: in doubt"));
            case NO_ROOM -> client.accept(Answer.refused(retryAfterMs));
            default -> {
                return take(identity, request, client);
            }
        }
        return 0;
    }

    private int take(String identity, ClientRequest request, Consumer<Answer> client) {
        Store.State state = store.figures().state();
        if (state != Store.State.GOOD && !settings.letThrough()) {
            promises.ended(identity, true, clock.nowMs());
            client.accept(Answer.refused(retryAfterMs));
            return 0;
        }
        Promise promise = new Promise(identity);
        inHand.put(identity, promise);
        Waiter first = new Waiter(client);
        promise.waiters.add(first);
        double deadlineMs = request.arrivedMs() + request.budgetMs();
        int number = driver.handle(request.withSendRecord(promise), answer -> answered(promise, answer, deadlineMs));
        promise.number = number;
        first.number = number;
        if (inHand.get(identity) == promise) {
            byNumber.put(number, promise);
        }
        return number;
    }

    /** The driver's final answer. */
    private void answered(Promise promise, Answer answer, double deadlineMs) {
        promise.waiters.forEach(waiter -> byNumber.remove(waiter.number));
        if (answer.isServed()) {
            bound(promise.waiters.get(0), deadlineMs);
            acknowledge(promise, answer);
        } else {
            promise.settled = true;
            end(promise, answer.isRefusal() || promise.out == 0);
            tell(promise, answer);
        }
    }

    /** Lets the answer go when it is on the disk. */
    private void acknowledge(Promise promise, Answer answer) {
        promise.settled = true;
        if (promise.isNameless()) { // nobody can ask for it again
            end(promise, true);
            tell(promise, answer);
            return;
        }
        byte[] entry = new Entry(State.ACKED, clock.nowMs(), answer).bytes();
        if (entry.length > longestEntry) {
            notAcknowledged(promise, answer);
            return;
        }
        store.put(
                key(promise.identity),
                entry,
                outcome -> loop.execute(() -> {
                    if (outcome == Store.Outcome.CONFIRMED) {
                        inHand.remove(promise.identity);
                        promises.acked(promise.identity, clock.nowMs());
                        tell(promise, answer);
                    } else {
                        notAcknowledged(promise, answer);
                    }
                }));
    }

    private void notAcknowledged(Promise promise, Answer answer) {
        unacknowledged++;
        end(promise, false);
        tell(
                promise,
                settings.letThrough()
                        ? answer
                        : Answer.failure(FAILED, "it has run, and its answer could not be recorded: in doubt"));
    }

    /** It has ended without an answer that is on record. */
    private void end(Promise promise, boolean proved) {
        inHand.remove(promise.identity);
        if (promises.mayHaveRun(promise.identity) && !proved) {
            inDoubt.add(promise.identity);
            after(settings.keepMs() > DOUBT_MS ? DOUBT_MS : settings.keepMs(), () -> inDoubt.remove(promise.identity));
        }
        promises.ended(promise.identity, proved, clock.nowMs());
    }

    private void tell(Promise promise, Answer answer) {
        promise.waiters.forEach(waiter -> waiter.tell(answer));
    }

    /** Bounds its wait by its client's time. */
    private void bound(Waiter waiter, double deadlineMs) {
        waiter.patience = after(
                deadlineMs - MARGIN_MS - clock.nowMs(),
                () -> waiter.tell(Answer.failure(OUT_OF_TIME, "it is in hand, and its answer is not there yet")));
    }

    private int join(Promise promise, ClientRequest request, Consumer<Answer> client) {
        Waiter waiter = new Waiter(client);
        promise.waiters.add(waiter);
        bound(waiter, request.arrivedMs() + request.budgetMs());
        waiter.number = --joined; // apart from the driver's numbers
        byNumber.put(waiter.number, promise);
        return waiter.number;
    }

    private void readAnswer(String identity, ClientRequest request, Consumer<Answer> client) {
        Waiter waiter = new Waiter(client);
        bound(waiter, request.arrivedMs() + request.budgetMs());
        store.get(
                key(identity),
                (value, failure) -> loop.execute(() -> waiter.tell(
                        value == null
                                ? Answer.failure(
                                        FAILED,
                                        "it has run, and its answer can't be read: "
                                                + (failure == null ? "it was just forgotten" : failure.getMessage()))
                                : Entry.read(value).answer())));
    }

    private ScheduledFuture<?> after(double delayMs, Runnable task) {
        return loop.schedule(task, Math.max(0, (long) (delayMs * MICROS_IN_MS)), TimeUnit.MICROSECONDS);
    }

    @Override
    public void bodyCompleted(int number) {
        driver.bodyCompleted(number); // long ones are not on record and keep their numbers
    }

    @Override
    public void cancel(int number) {
        Promise promise = byNumber.remove(number);
        if (promise == null) {
            driver.cancel(number);
            return;
        }
        promise.waiters.stream().filter(waiter -> waiter.number == number).forEach(Waiter::leave);
        if (promise.waiters.stream().allMatch(waiter -> waiter.over)
                && !promise.settled) { // else another one waits for the same
            driver.cancel(promise.number);
            promise.settled = true;
            end(promise, promise.out == 0);
        }
    }

    /** A line of figures. */
    public String statusLine() {
        PromiseTable.Figures figures = promises.figures();
        Store.Figures disk = store.figures();
        return "promises: " + figures.inHand() + " in hand, " + figures.acked() + " acked, " + figures.inDoubt()
                + " in doubt; "
                + figures.stored() + " answered from the record, " + figures.joined() + " joined, "
                + figures.failedInDoubt()
                + " failed as in doubt, " + figures.forgottenByAge() + " forgotten by age, " + figures.forgottenBySize()
                + " by size, " + figures.forgottenInDoubt() + " of them in doubt; " + unrecorded + " not recorded, "
                + unacknowledged
                + " answers not recorded; store " + disk.state() + ", " + disk.used() + " bytes, " + disk.keys()
                + " keys, "
                + disk.confirmed() + " changes in " + disk.batches() + " writes, " + disk.compactions()
                + " compactions, "
                + disk.failures() + " failures, longest write " + Math.round(disk.longestForceMs()) + " ms";
    }

    /** Returns when all is on the disk. */
    @Override
    public void close() {
        store.close();
    }
}
