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
 * Begins the attempts that the module asks for: each within the time that is left to its request, and, where the request is
 * kept on record, only once it is recorded that it may run. On one event loop; times are in milliseconds.
 */
final class AttemptSender {

    /** Hears what becomes of attempts. */
    interface Listener {

        /** A long answer has begun: the client gets what comes of it, and nothing else any more. */
        void began(Exchange exchange, int number, double sentMs, Answer answer);

        /** An attempt, which counts since {@code sentMs}, has ended. */
        void ended(Exchange exchange, int number, double sentMs, Ending ending);

        /** It can't be put on record that the request may run: nothing of it has gone out, and nothing will. */
        void unrecorded(Exchange exchange);
    }

    /** What a node is told over what its client has left at least, of the slack that is allowed. */
    private static final double TOLD_SLACK_MS = 100;

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

    /** From now on tells this of attempts. */
    void countIn(Tally counts) {
        tally = counts;
    }

    /** From now on sends nothing by a list that this lease no longer covers, nor what the guard denies. */
    void heeds(ListLease listLease, InvariantGuard invariants) {
        lease = listLease;
        guard = invariants;
    }

    /**
     * Begins an attempt. It ends at once, as not sent, where the request is over, has no time left, or may not be sent again.
     *
     * @param timeoutMs for the attempt; 0 for as long as the request has
     * @param atOnce whether the module asked for it as soon as it was told of the request
     */
    void send(Exchange exchange, Node node, double timeoutMs, boolean atOnce) {
        double nowMs = clock.nowMs();
        double leftMs = exchange.deadlineMs - RequestDeadline.reserveMs(exchange.request) - nowMs;
        double mostMs = timeoutMs == 0 ? leftMs : Math.min(timeoutMs, leftMs);
        int number = exchange.attempts.size();
        UpstreamAttempt attempt =
                new UpstreamAttempt(node, exchange.request, mostMs, listener(exchange, node, number, nowMs));
        exchange.attempts.add(attempt);
        exchange.out++;
        if (exchange.over
                || exchange.isBodySpent()
                || mostMs <= 0
                || lease.hasLapsed(nowMs)
                || number >= settings.limits().maxAttempts()) {
            attempt.end(Ending.of(Outcome.NOT_SENT));
            return;
        }
        count(exchange, node, nowMs, number == 0, atOnce);
        send(exchange, attempt);
    }

    private UpstreamAttempt.Listener listener(Exchange exchange, Node node, int number, double begunMs) {
        return new UpstreamAttempt.Listener() {
            @Override
            public void answerStarted(Answer answer) {
                listener.began(exchange, number, exchange.sentMs(begunMs, clock.nowMs()), answer);
            }

            @Override
            public double maxBudgetMs() {
                return exchange.leastLeftMs(clock.nowMs()) + TOLD_SLACK_MS;
            }

            @Override
            public Verdict mayBeWritten(double toldMs) {
                return guard.checkSend(transmission(exchange, node, number, toldMs));
            }

            @Override
            public void ended(Ending ending) {
                listener.ended(exchange, number, exchange.sentMs(begunMs, clock.nowMs()), ending);
            }
        };
    }

    private Transmission transmission(Exchange exchange, Node node, int number, double toldMs) {
        double nowMs = clock.nowMs();
        List<RepeatRisk.OtherAttempt> others = IntStream.range(0, exchange.attempts.size())
                .filter(each -> each != number)
                .mapToObj(each -> exchange.attempts.get(each).asOther())
                .toList();
        return new Transmission(
                node.ready,
                exchange.over,
                lease.hasLapsed(nowMs),
                toldMs,
                exchange.clientLeftMs(nowMs),
                exchange.leastLeftMs(nowMs),
                RepeatRisk.of(
                        settings.classes().get(exchange.request.requestClass()),
                        others,
                        node.zone(),
                        node.cell(),
                        nowMs));
    }

    private void count(Exchange exchange, Node node, double nowMs, boolean first, boolean atOnce) {
        if (first && !exchange.request.isIncomplete()) {
            tally.stageCompleted(atOnce ? Stage.DECISION : Stage.ROOM, nowMs - exchange.request.arrivedMs());
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
            record.record(() -> sendUnlessEnded(exchange, attempt), () -> unrecorded(exchange, attempt));
        }
    }

    /** It may have been called off while it was put on record. */
    private void sendUnlessEnded(Exchange exchange, UpstreamAttempt attempt) {
        if (!attempt.ended()) {
            send(exchange, attempt);
        }
    }

    private void unrecorded(Exchange exchange, UpstreamAttempt attempt) {
        listener.unrecorded(exchange);
        attempt.end(Ending.of(Outcome.CANCELLED));
    }
}
