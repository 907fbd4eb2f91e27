package ivybank.daemon;

import ivybank.common.Clock;
import ivybank.common.Log;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;

/**
 * The steps by which a process shuts down, each at its time after the signal. A step that throws is retried at the next
 * poll, and delays no later step. Polled on the event loop; times are in milliseconds of its clock.
 */
final class DrainSequence {

    /** The phase of the shutdown. */
    private enum State {
        NOT_BEGUN,
        /** Keeps serving new requests. */
        SERVING,
        /** Closes connections and waits for the last answer. */
        FINISHING,
        COMPLETE
    }

    private static final int MAX_TRIES = 20;

    /** A step with its due time. */
    private static final class Step {
        final String name;
        final double atMs;
        final Runnable action;
        int tries;
        boolean done;

        Step(String name, double atMs, Runnable action) {
            this.name = name;
            this.atMs = atMs;
            this.action = action;
        }
    }

    private final Clock clock;
    private final Log log;
    private final List<Step> steps = new ArrayList<>();
    private State state = State.NOT_BEGUN;
    private double completeFromMs = Double.POSITIVE_INFINITY;
    private BooleanSupplier completion = () -> false;

    DrainSequence(Clock clock, Log log) {
        this.clock = clock;
        this.log = log;
    }

    /** Begins the shutdown; returns whether it had not begun before. */
    boolean begin() {
        boolean first = state == State.NOT_BEGUN;
        state = first ? State.SERVING : state;
        return first;
    }

    /** Adds a step that is due after a delay from now. */
    void addStep(long delayMs, String name, Runnable action) {
        steps.add(new Step(name, clock.nowMs() + delayMs, action));
    }

    /**
     * Checks from a delay on, at each poll, whether the shutdown is complete.
     *
     * @param isComplete returns whether no request is in progress any more
     */
    void completeAfter(long delayMs, BooleanSupplier isComplete) {
        completeFromMs = clock.nowMs() + delayMs;
        completion = isComplete;
    }

    /** Runs the steps that are due; returns true the first time that the shutdown is complete. */
    boolean poll() {
        if (state == State.NOT_BEGUN || state == State.COMPLETE) {
            return false;
        }
        double nowMs = clock.nowMs();
        steps.stream().filter(step -> !step.done && nowMs >= step.atMs).forEach(this::run);
        if (nowMs < completeFromMs) {
            return false;
        }
        state = State.FINISHING;
        if (completion.getAsBoolean()) {
            state = State.COMPLETE;
            return true;
        }
        return false;
    }

    private void run(Step step) {
        try {
            step.action.run();
            step.done = true;
        } catch (RuntimeException | Error e) {
            step.tries++;
            step.done = step.tries >= MAX_TRIES;
            log.line("drain: " + step.name + " failed, " + (step.done ? "giving up" : "retrying") + ": " + e);
        }
    }

    @Override
    public String toString() {
        return state.name().toLowerCase(Locale.ROOT);
    }
}
