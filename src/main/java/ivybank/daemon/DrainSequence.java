package ivybank.daemon;

import ivybank.common.Clock;
import ivybank.common.Log;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;

/**
 * The steps by which a process ends, each at its time after the signal. A step that throws is tried again at the next look, and
 * keeps none behind it from its time. Looked at again and again on the event loop; times are in milliseconds of its clock.
 */
final class DrainSequence {

    /** What it is doing. */
    private enum State {
        NOT_BEGUN,
        /** Goes on serving what still comes. */
        SERVING,
        /** Ends connections and waits for the last answer. */
        FINISHING,
        DONE
    }

    private static final int MOST_TRIES = 20;

    /** One step. */
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
    private double finishFromMs = Double.POSITIVE_INFINITY;
    private BooleanSupplier finished = () -> false;

    DrainSequence(Clock clock, Log log) {
        this.clock = clock;
        this.log = log;
    }

    /** Begins; whether it had not begun before. */
    boolean begin() {
        boolean first = state == State.NOT_BEGUN;
        state = first ? State.SERVING : state;
        return first;
    }

    /** Adds a step that is due so long from now. */
    void after(long delayMs, String name, Runnable action) {
        steps.add(new Step(name, clock.nowMs() + delayMs, action));
    }

    /**
     * From so long from now on asks at each look whether all is over.
     *
     * @param over whether nothing is in hand any more
     */
    void finishAfter(long delayMs, BooleanSupplier over) {
        finishFromMs = clock.nowMs() + delayMs;
        finished = over;
    }

    /** Runs what is due; whether all is over, the first time that it is. */
    boolean look() {
        if (state == State.NOT_BEGUN || state == State.DONE) {
            return false;
        }
        double nowMs = clock.nowMs();
        steps.stream().filter(step -> !step.done && nowMs >= step.atMs).forEach(this::run);
        if (nowMs < finishFromMs) {
            return false;
        }
        state = State.FINISHING;
        if (finished.getAsBoolean()) {
            state = State.DONE;
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
            step.done = step.tries >= MOST_TRIES;
            log.line("ending: " + step.name + " failed, " + (step.done ? "left" : "tried again") + ": " + e);
        }
    }

    @Override
    public String toString() {
        return state.name().toLowerCase(Locale.ROOT);
    }
}
