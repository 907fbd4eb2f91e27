package ivybank.invariants;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The last look at whatever is sent, repeated, closed or started. It keeps what is against the rules from happening, and counts
 * it: those before it should have seen to that, so that a count above 0 is a fault of this program. Used on one event loop.
 */
public final class InvariantGuard {

    /**
     * An attempt that is about to be written to its node.
     *
     * @param nodeReady whether the list has the node ready
     * @param requestCompleted whether the request is answered or its client has left
     * @param listExpired whether the list may no longer be gone by
     * @param nodeBudgetMs the time that the node is to be told, in milliseconds
     * @param maxClientRemainingMs the time that the client has left at most, in milliseconds
     * @param minClientRemainingMs the time that the client has left at least, in milliseconds
     * @param repeat what other attempts of the request mean for this one
     */
    public record Transmission(
            boolean nodeReady,
            boolean requestCompleted,
            boolean listExpired,
            double nodeBudgetMs,
            double maxClientRemainingMs,
            double minClientRemainingMs,
            RepeatRisk repeat) {}

    /** Slack of what a node may be told over what the client has left. */
    private static final double TOLD_SLACK_MS = 150;

    private static final double LEAST_TOLD_MS = 1;

    private final Consumer<String> log;
    private final Map<Verdict, Long> denied = new EnumMap<>(Verdict.class);
    private long violations;
    private long violationsTold;

    /** @param log takes a line for each violation */
    public InvariantGuard(Consumer<String> log) {
        this.log = log;
    }

    /** Whether an attempt may be written now. */
    public Verdict checkSend(Transmission attempt) {
        return judged(verdict(attempt), "sending");
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
        if (attempt.nodeBudgetMs > Math.max(LEAST_TOLD_MS, attempt.minClientRemainingMs + TOLD_SLACK_MS)) {
            return Verdict.TOO_MUCH_TIME_TOLD;
        }
        return switch (attempt.repeat) {
            case HARMLESS -> Verdict.ALLOWED;
            case WINDOW_EXPIRED -> Verdict.WINDOW_OVER;
            case MAY_RUN_TWICE -> Verdict.MAY_RUN_TWICE;
        };
    }

    /**
     * Whether a client's connection may be closed now.
     *
     * @param unanswered whether a request that was read on it has no answer yet
     * @param broken whether nothing can be answered on it any more: its client has left, takes nothing, or was cut off
     */
    public Verdict checkClose(boolean unanswered, boolean broken) {
        return judged(unanswered && !broken ? Verdict.UNANSWERED : Verdict.ALLOWED, "closing");
    }

    /**
     * Whether clients may be served from now on.
     *
     * @param asked whether discovery was asked, and has answered or is known not to
     */
    public Verdict checkStart(boolean asked) {
        return judged(asked ? Verdict.ALLOWED : Verdict.NOT_ASKED, "starting");
    }

    private Verdict judged(Verdict verdict, String what) {
        if (!verdict.isAllowed()) {
            denied.merge(verdict, 1L, Long::sum);
        }
        if (verdict.isViolation()) {
            violations++;
            log.accept("guard: " + what + " was denied: " + verdict);
        }
        return verdict;
    }

    /** How often something against the rules was kept from happening since this was asked last. */
    public long takeNewViolations() {
        long fresh = violations - violationsTold;
        violationsTold = violations;
        return fresh;
    }

    /** How often each verdict but a yes was given. */
    public Map<Verdict, Long> denied() {
        return Map.copyOf(denied);
    }
}
