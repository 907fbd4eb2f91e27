package ivybank.daemon;

import ivybank.common.Clock;
import ivybank.discovery.ListLease;
import ivybank.discovery.Node;
import ivybank.exchange.Answer;
import ivybank.exchange.SendRecord;
import ivybank.invariants.InvariantGuard;
import ivybank.invariants.InvariantGuard.Transmission;
import ivybank.invariants.RepeatRisk;
import ivybank.invariants.Verdict;
import ivybank.policy.Balancer.Outcome;
import ivybank.policy.Balancer.Settings;
import ivybank.tally.Stage;
import ivybank.tally.Tally;
import ivybank.upstream.UpstreamAttempt;
import ivybank.upstream.UpstreamAttempt.Ending;
import ivybank.upstream.UpstreamPool;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Starts the attempts that the decision module requests: each within the time left to its request and, for a request
 * that is kept on record, only after the record is stored. Used on one event loop; times are in milliseconds.
 */
final class AttemptSender {

    /** Receives the outcome of attempts. */
    interface Listener {

        /** A streamed answer has begun: the client gets the rest of it, and no other answer. */
        void responseStarted(Exchange exchange, int number, double sentMs, Answer answer);

        /** An attempt has ended; its time counts from {@code sentMs}. */
        void attemptEnded(Exchange exchange, int number, double sentMs, Ending ending);

        /**
         * The record that the request may run could not be stored: nothing of the request has been sent, and nothing
         * will be.
         */
        void recordFailed(Exchange exchange);
    }

    /**
     * Limits by how much the budget forwarded to a node exceeds the minimum time that its client has left; a part of
     * the allowed slack.
     */
    private static final double MAX_FORWARDED_BUDGET_EXCESS_MS = 100;

    private final Settings settings;
    private final Clock clock;
    private final UpstreamPool pool;
    private final Listener listener;
    private Tally tally = Tally.NONE;
    private ListLease lease = ListLease.unlimited();
    private InvariantGuard guard = new InvariantGuard(line -> {});

    AttemptSender(Settings settings, Clock clock, UpstreamPool pool, Listener listener) {
        this.settings = settings;
        this.clock = clock;
        this.pool = pool;
        this.listener = listener;
    }

    /** Sets the tally that attempts are counted in. */
    void setTally(Tally counts) {
        tally = counts;
    }

    /**
     * From now on sends no attempt that relies on a list which this lease no longer covers, or that the guard denies.
     */
    void enforce(ListLease listLease, InvariantGuard invariants) {
        lease = listLease;
        guard = invariants;
    }

    /**
     * Starts an attempt. It ends immediately as not sent where the request is closed, has no time left, or may not be
     * sent again.
     *
     * @param timeoutMs the timeout of the attempt; 0 for the time that the request has left
     * @param immediate whether the module requested the attempt while it was notified of the request
     */
    void send(Exchange exchange, Node node, double timeoutMs, boolean immediate) {
        double nowMs = clock.nowMs();
        double remainingMs = remainingMs(exchange, nowMs);
        double attemptTimeoutMs = timeoutMs == 0 ? remainingMs : Math.min(timeoutMs, remainingMs);
        int number = exchange.attempts.size();
        UpstreamAttempt attempt =
                new UpstreamAttempt(node, exchange.request, attemptTimeoutMs, listener(exchange, node, number, nowMs));
        exchange.attempts.add(attempt);
        exchange.inFlight++;
        if (exchange.closed
                || exchange.isBodyConsumed()
                || attemptTimeoutMs <= 0
                || lease.hasExpired(nowMs)
                || number >= settings.limits().maxAttempts()) {
            attempt.end(Ending.of(Outcome.NOT_SENT));
            return;
        }
        count(exchange, node, nowMs, number == 0, immediate);
        send(exchange, attempt);
    }

    /** Returns how long a request has left until its answer has to be returned. */
    private static double remainingMs(Exchange exchange, double nowMs) {
        return exchange.deadline.atMs() - RequestDeadline.reserveMs(exchange.request) - nowMs;
    }

    private UpstreamAttempt.Listener listener(Exchange exchange, Node node, int number, double attemptStartMs) {
        return new UpstreamAttempt.Listener() {
            @Override
            public void answerStarted(Answer answer) {
                listener.responseStarted(exchange, number, exchange.sentMs(attemptStartMs, clock.nowMs()), answer);
            }

            @Override
            public double maxBudgetMs() {
                return exchange.minClientRemainingMs(clock.nowMs()) + MAX_FORWARDED_BUDGET_EXCESS_MS;
            }

            @Override
            public double requestRemainingMs() {
                return exchange.closed ? 0 : remainingMs(exchange, clock.nowMs());
            }

            @Override
            public Verdict mayBeWritten(double budgetMs) {
                return guard.checkSend(transmission(exchange, node, number, budgetMs));
            }

            @Override
            public void ended(Ending ending) {
                listener.attemptEnded(exchange, number, exchange.sentMs(attemptStartMs, clock.nowMs()), ending);
            }
        };
    }

    private Transmission transmission(Exchange exchange, Node node, int number, double budgetMs) {
        double nowMs = clock.nowMs();
        List<RepeatRisk.OtherAttempt> others = IntStream.range(0, exchange.attempts.size())
                .filter(each -> each != number)
                .mapToObj(each -> exchange.attempts.get(each).asOther())
                .toList();
        return new Transmission(
                node.ready,
                exchange.closed,
                lease.hasExpired(nowMs),
                budgetMs,
                exchange.maxClientRemainingMs(nowMs),
                exchange.minClientRemainingMs(nowMs),
                RepeatRisk.of(
                        settings.classes().get(exchange.request.requestClass()),
                        others,
                        node.zone(),
                        node.cell(),
                        nowMs));
    }

    private void count(Exchange exchange, Node node, double nowMs, boolean first, boolean immediate) {
        if (first && !exchange.request.isIncomplete()) {
            tally.stageCompleted(immediate ? Stage.DECISION : Stage.ROOM, nowMs - exchange.request.arrivedMs());
        }
        double startedMs = node.startedMs();
        double ageMs = startedMs <= 0 ? Double.POSITIVE_INFINITY : nowMs - startedMs;
        tally.attemptSent(node.host, Tally.Age.of(ageMs, settings.contract().coldMs()));
    }

    private void send(Exchange exchange, UpstreamAttempt attempt) {
        SendRecord record = exchange.request.sendRecord();
        if (record == null) {
            pool.send(attempt);
        } else if (record.isRecorded()) {
            record.attemptStarted();
            attempt.markDispatched();
            pool.send(attempt);
        } else {
            record.record(() -> sendUnlessEnded(exchange, attempt), () -> endUnrecorded(exchange, attempt));
        }
    }

    /** Sends the attempt unless it was cancelled while the record was being stored. */
    private void sendUnlessEnded(Exchange exchange, UpstreamAttempt attempt) {
        if (!attempt.ended()) {
            send(exchange, attempt);
        }
    }

    private void endUnrecorded(Exchange exchange, UpstreamAttempt attempt) {
        listener.recordFailed(exchange);
        attempt.end(Ending.of(Outcome.CANCELLED));
    }
}
