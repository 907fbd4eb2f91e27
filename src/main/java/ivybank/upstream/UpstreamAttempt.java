package ivybank.upstream;

import io.netty.channel.EventLoop;
import ivybank.common.NextSelect;
import ivybank.discovery.Node;
import ivybank.exchange.Answer;
import ivybank.exchange.ClientRequest;
import ivybank.invariants.RepeatRisk;
import ivybank.invariants.Verdict;
import ivybank.policy.Balancer.Outcome;
import ivybank.tally.Stage;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** One attempt at one node. It ends exactly once, whatever events are still to come for it. */
public final class UpstreamAttempt {

    /** Receives the events of an attempt. */
    public interface Listener {

        /** A long answer has started. It belongs to the client from now on, and the attempt ends with it. */
        default void answerStarted(Answer answer) {
            answer.remainingBody().abandon();
        }

        /** Returns the upper limit of the time budget that is sent to the node, in milliseconds. */
        default double maxBudgetMs() {
            return Double.POSITIVE_INFINITY;
        }

        /** Returns how long the request has left until its answer has to be returned, in milliseconds. */
        default double requestRemainingMs() {
            return 0;
        }

        /**
         * Returns whether the attempt may be written now. Called right before its first byte.
         *
         * @param budgetMs the time budget that will be sent to the node, in milliseconds
         */
        default Verdict mayBeWritten(double budgetMs) {
            return Verdict.ALLOWED;
        }

        /** The attempt has ended; called once. */
        void ended(Ending ending);
    }

    /**
     * The end of an attempt. Content type and body are those of an answer with status 200, and null with any other outcome.
     */
    public record Ending(Outcome outcome, double[] report, String contentType, byte[] body) {

        private static final double[] NO_REPORT = {};

        public static Ending of(Outcome outcome) {
            return new Ending(outcome, NO_REPORT, null, null);
        }
    }

    private static final double MICROS_PER_MS = 1000;
    /** The shortest time for which an attempt goes on with an answer that is arriving. */
    private static final double MIN_EXTENSION_MS = 1;

    public final Node node;
    final ClientRequest request;
    final double timeoutMs;
    private final Listener listener;
    private ScheduledFuture<?> timer;
    private UpstreamConnection connection;
    private boolean ended;
    private boolean dispatched;
    /** The outcome, or null while the attempt is under way. */
    private Outcome outcome;

    /** The time at which the attempt's first byte was written, by the clock of the decision module. */
    private double writtenMs = Double.POSITIVE_INFINITY;
    /** The time at which the attempt was handed to the pool. */
    double startedMs;

    /** The stage in which the attempt has waited since then. */
    Stage stage = Stage.REUSE;

    public UpstreamAttempt(Node node, ClientRequest request, double timeoutMs, Listener listener) {
        this.node = node;
        this.request = request;
        this.timeoutMs = timeoutMs;
        this.listener = listener;
    }

    /** Returns whether the attempt has ended. */
    public boolean ended() {
        return ended;
    }

    /** Marks that the attempt may reach its node from now on. */
    public void markDispatched() {
        dispatched = true;
    }

    /** Returns whether the attempt may have reached its node. */
    public boolean wasDispatched() {
        return dispatched;
    }

    /** Starts the timeout. Before that, the attempt may take as long as its request takes to arrive. */
    void startTimer(EventLoop loop) {
        startTimer(loop, timeoutMs);
    }

    private void startTimer(EventLoop loop, double delayMs) {
        stopTimer();
        timer = loop.schedule(() -> timedOut(loop), (long) (delayMs * MICROS_PER_MS), TimeUnit.MICROSECONDS);
    }

    /**
     * Ends the attempt when its time is over; behind a stall of the event loop only once all sockets have been read, as its answer may
     * be in one. An attempt whose answer is arriving goes on: the answer has the time of the whole request. Where that ends, an answer
     * that may be a long one belongs to the client: a node that writes slowly has not failed.
     */
    private void timedOut(EventLoop loop) {
        if (connection != null && connection.mayHaveUnreadAnswer()) {
            NextSelect.runAfter(loop, () -> endTime(loop));
        } else {
            endTime(loop);
        }
    }

    private void endTime(EventLoop loop) {
        UpstreamConnection carrier = connection;
        double arrivingMs = ended || carrier == null ? 0 : carrier.arrivalRemainingMs();
        double leftMs = arrivingMs <= 0 ? 0 : Math.min(arrivingMs, listener.requestRemainingMs());
        if (leftMs >= MIN_EXTENSION_MS) {
            startTimer(loop, leftMs);
        } else if (arrivingMs < MIN_EXTENSION_MS || !carrier.forwardArrivingAnswer()) {
            stop(Outcome.TIMEOUT);
        }
    }

    /**
     * Returns the remaining time, in milliseconds: an attempt that waited for a connection has less than it started with.
     */
    double remainingMs() {
        return timer == null ? timeoutMs : timer.getDelay(TimeUnit.MICROSECONDS) / MICROS_PER_MS;
    }

    /** Returns the time budget for the node: little more than its client has left, as far as that can be known. */
    double budgetMs() {
        return Math.min(remainingMs(), listener.maxBudgetMs());
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** Forwards an answer that is too long to be buffered whole. */
    void forwardAnswer(Answer answer) {
        stopTimer();
        listener.answerStarted(answer);
    }

    /** Returns whether its answer, which is being forwarded, is longer than one that is kept whole. */
    public boolean hasLongAnswer() {
        return connection != null && connection.hasLongAnswer();
    }

    /** Returns whether more of its answer, which is being forwarded, is read only when the client has taken what was read. */
    public boolean isAnswerHeldBack() {
        return connection != null && connection.isAnswerHeldBack();
    }

    /** Ends its answer, which is being forwarded and does not come to its end. */
    public void breakOffAnswer() {
        if (connection != null) {
            connection.breakOffAnswer();
        }
    }

    /** Returns whether the attempt may be written now, with this time budget for its node. */
    Verdict mayBeWritten(double budgetMs) {
        return listener.mayBeWritten(budgetMs);
    }

    /** Records that the attempt is being written on this connection; the request may have left on it from now on. */
    void writeStarted(UpstreamConnection carrier, double nowMs) {
        connection = carrier;
        writtenMs = nowMs;
    }

    /** Returns what another attempt of the same request has to know about this one. */
    public RepeatRisk.OtherAttempt asOther() {
        boolean written = writtenMs < Double.POSITIVE_INFINITY;
        boolean provedNotRun = outcome != null && outcome.provesNotRun();
        return new RepeatRisk.OtherAttempt(written && !provedNotRun, node.zone(), node.cell(), writtenMs);
    }

    /** Returns whether the request may have run by this attempt: its last byte was written, and nothing proves that it has not. */
    public boolean mayHaveRun() {
        return ended ? !outcome.provesNotRun() : connection != null && connection.written();
    }

    /** Stops waiting, because the attempt was cancelled or has timed out. */
    public void stop(Outcome ifSent) {
        if (ended) {
            return;
        }
        boolean neverSent = connection == null || !connection.written();
        UpstreamConnection carrier = connection;
        if (carrier != null && ifSent == Outcome.TIMEOUT) {
            carrier.reportLocalEnd(LocalEndReason.TIMEOUT);
        }
        // A node starts with the last byte, so a timeout before that proves that the request has not run.
        end(Ending.of(neverSent && ifSent == Outcome.TIMEOUT ? Outcome.CONNECT_FAILED : ifSent));
        if (carrier != null) {
            carrier.close();
        }
    }

    /**
     * Ends the attempt if its last byte has not been written; it is then never sent. This is not a cancellation, because the node
     * cannot have started on it, and so needs no permission.
     */
    public void cancelIfUnsent() {
        UpstreamConnection carrier = connection;
        if (!ended && (carrier == null || !carrier.written())) {
            end(Ending.of(Outcome.NOT_SENT));
            if (carrier != null) {
                carrier.close();
            }
        }
    }

    /** Ends the attempt, unless it has ended already. */
    public void end(Ending ending) {
        if (ended) {
            return;
        }
        ended = true;
        outcome = ending.outcome();
        connection = null;
        stopTimer();
        listener.ended(ending);
    }
}
