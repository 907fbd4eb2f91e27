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

/**
 * A request in progress, until it is answered and each of its attempts has ended. Times are in milliseconds of the
 * clock.
 */
final class Exchange {

    final int id;
    final ClientRequest request;
    /** The deadline, or {@link RequestDeadline#NONE_YET} while the last byte has not arrived. */
    RequestDeadline deadline;
    /** When the last byte of a long request was read. */
    private double completedMs;

    /**
     * The earliest time at which the request may have arrived: it may have been buffered in its socket during an event
     * loop stall.
     */
    final double earliestArrivalMs;

    final Consumer<Answer> client;
    final List<UpstreamAttempt> attempts = new ArrayList<>(2);
    /** Runs until the answer is complete or known to be a long one; null before the last byte has arrived. */
    ScheduledFuture<?> timer;

    int inFlight;
    boolean closed;
    /** The number of the attempt whose streamed answer is being forwarded, or -1. */
    int streamingAttempt = -1;

    Exchange(
            int id,
            ClientRequest request,
            RequestDeadline deadline,
            double earliestArrivalMs,
            Consumer<Answer> client) {
        this.earliestArrivalMs = earliestArrivalMs;
        this.id = id;
        this.request = request;
        this.deadline = deadline;
        this.client = client;
    }

    /** Returns whether the last byte of the request has not arrived yet. */
    boolean isArriving() {
        return deadline.equals(RequestDeadline.NONE_YET);
    }

    /** Records that the last byte of a long request has been read, and when it has to be answered. */
    void completed(double readMs, RequestDeadline newDeadline) {
        completedMs = readMs;
        deadline = newDeadline;
    }

    /**
     * Returns whether the part of a long request that an earlier attempt sent is gone, so that the request cannot be
     * sent again.
     */
    boolean isBodyConsumed() {
        return request.remainingBody() != null && request.remainingBody().isAttached();
    }

    /**
     * Returns the time from which an attempt that began at {@code startedMs} counts: a node begins with the request's
     * last byte.
     */
    double sentMs(double startedMs, double nowMs) {
        if (request.remainingBody() == null) {
            return startedMs;
        }
        return Math.max(startedMs, isArriving() ? nowMs : completedMs);
    }

    /** Returns the maximum time that the client has left; its whole budget while the last byte has not arrived. */
    double maxClientRemainingMs(double nowMs) {
        return isArriving() ? request.budgetMs() : deadline.atMs() - nowMs;
    }

    /** Returns the minimum time that the client has left: a request may have arrived before it was read. */
    double minClientRemainingMs(double nowMs) {
        double byArrivalMs =
                request.remainingBody() == null ? earliestArrivalMs + request.budgetMs() - nowMs : Double.MAX_VALUE;
        return Math.min(byArrivalMs, maxClientRemainingMs(nowMs));
    }

    /** Returns the attempt whose answer is being forwarded. */
    UpstreamAttempt streaming() {
        return attempts.get(streamingAttempt);
    }

    /** Returns whether no attempt can have run the request, so that it may be refused. */
    boolean hasNotRun() {
        return attempts.stream().noneMatch(UpstreamAttempt::mayHaveRun);
    }

    /** Returns whether the request is neither answered nor being answered. */
    boolean isUnanswered() {
        return !closed && streamingAttempt < 0;
    }

    /** Returns whether an answer is being forwarded that is not known to be a long one, and for whose end its node is awaited. */
    boolean isShortAnswerUnfinished() {
        return !closed
                && streamingAttempt >= 0
                && !streaming().hasLongAnswer()
                && !streaming().isAnswerHeldBack();
    }

    /**
     * Ends the attempts of a closed request whose last byte has not been sent, so that nothing more is sent that nobody
     * waits for, even where the settings do not allow cancellation.
     */
    void abandonUnsent() {
        for (int number = 0; number < attempts.size(); number++) {
            if (number != streamingAttempt) {
                attempts.get(number).cancelIfUnsent();
            }
        }
    }

    /** Stores in the request's record, if it has one, how an attempt that was sent has ended. */
    void recordEnd(int number, Ending ending) {
        SendRecord record = request.sendRecord();
        if (record == null || !attempts.get(number).wasDispatched()) {
            return;
        }
        record.attemptEnded(ending.outcome().provesNotRun());
        if (ending.outcome() == Outcome.OK && closed) {
            record.servedLate(Answer.served(ending.contentType(), ending.body()));
        }
    }
}
