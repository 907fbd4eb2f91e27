package ivybank.daemon;

import ivybank.exchange.Answer;
import ivybank.exchange.ClientRequest;
import ivybank.exchange.SendRecord;
import ivybank.policy.Balancer.Outcome;
import ivybank.upstream.UpstreamAttempt;
import ivybank.upstream.UpstreamAttempt.Ending;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;

/** A request in hand, until it is answered and each of its attempts has ended. Times are in milliseconds of the clock. */
final class Exchange {

    /** The deadline of a request whose last byte is still to come. */
    static final double NO_DEADLINE_YET = Double.MAX_VALUE;

    final int id;
    final ClientRequest request;
    /** Far off while its last byte is still to come. */
    double deadlineMs;

    /** When it may have come at the earliest: it may have stood in its socket while the event loop stalled. */
    final double earliestArrivalMs;

    final Consumer<Answer> client;
    final List<UpstreamAttempt> attempts = new ArrayList<>(2);
    ScheduledFuture<?> backstop;
    int out;
    boolean over;
    /** The attempt whose long answer is being passed on, or -1. */
    int passingOn = -1;

    Exchange(int id, ClientRequest request, double deadlineMs, double earliestArrivalMs, Consumer<Answer> client) {
        this.earliestArrivalMs = earliestArrivalMs;
        this.id = id;
        this.request = request;
        this.deadlineMs = deadlineMs;
        this.client = client;
    }

    /** Whether its last byte is still to come. */
    boolean isArriving() {
        return deadlineMs == NO_DEADLINE_YET;
    }

    /** Whether what an earlier attempt has sent of a long request is gone, so that it can't be sent again. */
    boolean isBodySpent() {
        return request.remainingBody() != null && request.remainingBody().isAttached();
    }

    /** Since when an attempt that began at {@code begunMs} counts: a node begins with the request's last byte. */
    double sentMs(double begunMs, double nowMs) {
        if (request.remainingBody() == null) {
            return begunMs;
        }
        double arrivedMs = isArriving() ? nowMs : deadlineMs - request.budgetMs();
        return Math.max(begunMs, arrivedMs);
    }

    /** What its client has left at most; all of its time while its last byte is still to come. */
    double clientLeftMs(double nowMs) {
        return isArriving() ? request.budgetMs() : deadlineMs - nowMs;
    }

    /** What its client has left at least: a request may have come before it was read. */
    double leastLeftMs(double nowMs) {
        double byArrivalMs =
                request.remainingBody() == null ? earliestArrivalMs + request.budgetMs() - nowMs : Double.MAX_VALUE;
        return Math.min(byArrivalMs, clientLeftMs(nowMs));
    }

    void stopBackstop() {
        if (backstop != null) {
            backstop.cancel(false);
        }
    }

    /** Whether it is neither answered nor being answered. */
    boolean isUnanswered() {
        return !over && passingOn < 0;
    }

    /**
     * Ends the attempts of a request that is over whose last byte has not left, so that nothing is sent on for which nobody
     * waits, also where the settings allow no calling off.
     */
    void leaveUnsent() {
        for (int number = 0; number < attempts.size(); number++) {
            if (number != passingOn) {
                attempts.get(number).cancelIfUnsent();
            }
        }
    }

    /** Notes on the request's record, if it has one, how an attempt that went out has ended. */
    void recordEnd(int number, Ending ending) {
        SendRecord record = request.sendRecord();
        if (record == null || !attempts.get(number).wasDispatched()) {
            return;
        }
        record.attemptEnded(ending.outcome().provesNotRun());
        if (ending.outcome() == Outcome.OK && over) {
            record.servedLate(Answer.served(ending.contentType(), ending.body()));
        }
    }
}
