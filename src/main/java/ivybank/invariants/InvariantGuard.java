package ivybank.invariants;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The last check before a request is sent or repeated, a connection is closed or serving starts. Prevents and counts
 * violations of the rules; the callers should have prevented them already, so that a count above 0 is a fault of this
 * program. Used on one event loop.
 */
public final class InvariantGuard {

    /**
     * An attempt that is about to be written to its node.
     *
     * @param nodeReady whether the node is ready in the list
     * @param requestCompleted whether the request is answered or its client has disconnected
     * @param listExpired whether the list is too old to be used
     * @param nodeBudgetMs the time that the node is given, in milliseconds
     * @param maxClientRemainingMs the most time that the client may have left, in milliseconds
     * @param minClientRemainingMs the least time that the client may have left, in milliseconds
     * @param repeatRisk the risk that follows from other attempts of the request
     */
    public record Transmission(
            boolean nodeReady,
            boolean requestCompleted,
            boolean listExpired,
            double nodeBudgetMs,
            double maxClientRemainingMs,
            double minClientRemainingMs,
            RepeatRisk repeatRisk) {}

    /** The tolerance by which a node's time may exceed what the client has left. */
    private static final double NODE_BUDGET_SLACK_MS = 150;

    private static final double MIN_NODE_BUDGET_MS = 1;

    private final Consumer<String> log;
    private final Map<Verdict, Long> denied = new EnumMap<>(Verdict.class);
    private long violations;
    private long violationsReported;

    /** @param log receives a line for each violation */
    public InvariantGuard(Consumer<String> log) {
        this.log = log;
    }

    /** Returns whether an attempt may be written now. */
    public Verdict checkSend(Transmission attempt) {
        return recorded(verdict(attempt), "sending");
    }

    private static Verdict verdict(Transmission attempt) {
        if (!attempt.nodeReady) {
            return Verdict.NODE_LEFT;
        }
        if (attempt.requestCompleted) {
            return Verdict.REQUEST_OVER;
        }
        if (attempt.listExpired) {
            return Verdict.LIST_LAPSED;
        }
        if (attempt.maxClientRemainingMs <= 0) {
            return Verdict.OUT_OF_TIME;
        }
        if (attempt.nodeBudgetMs > Math.max(MIN_NODE_BUDGET_MS, attempt.minClientRemainingMs + NODE_BUDGET_SLACK_MS)) {
            return Verdict.TOO_MUCH_TIME_TOLD;
        }
        return switch (attempt.repeatRisk) {
            case HARMLESS -> Verdict.ALLOWED;
            case WINDOW_EXPIRED -> Verdict.WINDOW_OVER;
            case MAY_RUN_TWICE -> Verdict.MAY_RUN_TWICE;
        };
    }

    /**
     * Returns whether a client's connection may be closed now.
     *
     * @param unanswered whether a request that was read on it has no answer yet
     * @param broken whether nothing can be answered on it any more: its client has disconnected, does not read, or was cut
     *     off
     */
    public Verdict checkClose(boolean unanswered, boolean broken) {
        return recorded(unanswered && !broken ? Verdict.UNANSWERED : Verdict.ALLOWED, "closing");
    }

    /**
     * Returns whether clients may be served from now on.
     *
     * @param asked whether discovery was asked, and has answered or is known not to
     */
    public Verdict checkStart(boolean asked) {
        return recorded(asked ? Verdict.ALLOWED : Verdict.NOT_ASKED, "starting");
    }

    private Verdict recorded(Verdict verdict, String what) {
        if (!verdict.isAllowed()) {
            denied.merge(verdict, 1L, Long::sum);
        }
        if (verdict.isViolation()) {
            violations++;
            log.accept("guard: " + what + " was denied: " + verdict);
        }
        return verdict;
    }

    /** Returns the number of violations prevented since the last call. */
    public long takeNewViolations() {
        long newViolations = violations - violationsReported;
        violationsReported = violations;
        return newViolations;
    }

    /** Returns how often each verdict other than {@link Verdict#ALLOWED} was given. */
    public Map<Verdict, Long> denied() {
        return Map.copyOf(denied);
    }
}
