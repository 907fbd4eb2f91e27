package ivybank.upstream;

import io.netty.channel.EventLoop;
import ivybank.discovery.Node;
import ivybank.exchange.Answer;
import ivybank.exchange.ClientRequest;
import ivybank.invariants.RepeatRisk;
import ivybank.invariants.Verdict;
import ivybank.policy.Balancer.Outcome;
import ivybank.tally.Stage;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** One attempt at one upstream. It ends exactly once, whatever else is still to come for it. */
public final class UpstreamAttempt {

    /** Told what becomes of an attempt. */
    public interface Listener {

        /** A long answer has begun; it belongs to the client now, and the attempt ends with it. */
        default void answerStarted(Answer answer) {
            answer.remainingBody().abandon();
        }

        /** The most that its node may be told of the time that is left, in milliseconds. */
        default double maxBudgetMs() {
            return Double.POSITIVE_INFINITY;
        }

        /**
         * Whether it may be written now. Asked right before its first byte.
         *
         * @param toldMs the time that its node is to be told, in milliseconds
         */
        default Verdict mayBeWritten(double toldMs) {
            return Verdict.ALLOWED;
        }

        /** It has ended, once. */
        void ended(Ending ending);
    }

    /** How an attempt ended; type and body are those of a 200 answer and null with any other outcome. */
    public record Ending(Outcome outcome, double[] report, String contentType, byte[] body) {

        private static final double[] NO_REPORT = {};

        public static Ending of(Outcome outcome) {
            return new Ending(outcome, NO_REPORT, null, null);
        }
    }

    private static final double MICROS_IN_MS = 1000;

    public final Node node;
    final ClientRequest request;
    final double timeoutMs;
    private final Listener listener;
    private ScheduledFuture<?> timer;
    private UpstreamConnection connection;
    private boolean ended;
    private boolean dispatched;
    /** How it ended, or null; and when its first byte was written, by the module's clock. */
    private Outcome outcome;

    private double writtenMs = Double.POSITIVE_INFINITY;
    /** When it was handed to the pool, and what it has waited for since. */
    double begunMs;

    Stage stage = Stage.REUSE;

    public UpstreamAttempt(Node node, ClientRequest request, double timeoutMs, Listener listener) {
        this.node = node;
        this.request = request;
        this.timeoutMs = timeoutMs;
        this.listener = listener;
    }

    public boolean ended() {
        return ended;
    }

    /** From now on it may reach its node. */
    public void markDispatched() {
        dispatched = true;
    }

    public boolean wasDispatched() {
        return dispatched;
    }

    /** From now on it has its time; before that it has as much as its request takes to come. */
    void startTimer(EventLoop loop) {
        stopTimer();
        timer = loop.schedule(() -> stop(Outcome.TIMEOUT), (long) (timeoutMs * MICROS_IN_MS), TimeUnit.MICROSECONDS);
    }

    /** How long it is still waited for, in ms: what waited for a connection has less than it began with. */
    double leftMs() {
        return timer == null ? timeoutMs : timer.getDelay(TimeUnit.MICROSECONDS) / MICROS_IN_MS;
    }

    /** What its node is told of that: little more than its client has left, as far as that can be known. */
    double toldMs() {
        return Math.min(leftMs(), listener.maxBudgetMs());
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** Passes on an answer that is too long to be kept whole. */
    void begin(Answer answer) {
        stopTimer();
        listener.answerStarted(answer);
    }

    /** Whether it may be written now, with this time told to its node. */
    Verdict mayBeWritten(double toldMs) {
        return listener.mayBeWritten(toldMs);
    }

    /** It is being written on this connection; the request may have left on it from now on. */
    void writing(UpstreamConnection carrier, double nowMs) {
        connection = carrier;
        writtenMs = nowMs;
    }

    /** What another attempt of the same request has to know of it. */
    public RepeatRisk.OtherAttempt asOther() {
        boolean written = writtenMs < Double.POSITIVE_INFINITY;
        boolean provedNotRun = outcome != null && outcome.provesNotRun();
        return new RepeatRisk.OtherAttempt(written && !provedNotRun, node.zone(), node.cell(), writtenMs);
    }

    /** Stops waiting: called off, or out of time. */
    public void stop(Outcome ifSent) {
        if (ended) {
            return;
        }
        boolean neverSent = connection == null || !connection.written();
        UpstreamConnection carrier = connection;
        // Without its last byte it cannot have begun, so a time-out before that proves that it has not run.
        end(Ending.of(neverSent && ifSent == Outcome.TIMEOUT ? Outcome.CONNECT_FAILED : ifSent));
        if (carrier != null) {
            carrier.close();
        }
    }

    /**
     * Ends it if its last byte has not left: it is not sent any more, whatever it waits for. That is no calling off, for nothing
     * can have begun, and so needs nobody's leave.
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
