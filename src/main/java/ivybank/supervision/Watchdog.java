package ivybank.supervision;

import ivybank.common.Clock;
import ivybank.common.Log;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Restarts chains whose next step is overdue. It is checked by a timer of its own, and by whatever calls {@link #checkIfDue},
 * so that a timer that is lost is made up for by another one. Used on one event loop.
 */
public final class Watchdog {

    /** How often chains are looked at. */
    private static final long PERIOD_MS = 50;
    /** A timer of its own that is later than this is taken for lost. */
    private static final double LOST_MS = 4.0 * PERIOD_MS;

    private final ScheduledExecutorService executor;
    private final Clock clock;
    private final Log log;
    private final List<SupervisedTask> chains = new ArrayList<>();
    private double nextCheckMs = SupervisedTask.NEVER;
    /** Which timer counts: one that was replaced and comes after all does nothing. */
    private int timer;

    public Watchdog(ScheduledExecutorService executor, Clock clock, Log log) {
        this.executor = executor;
        this.clock = clock;
        this.log = log;
    }

    /** From now on restarts this chain when it is overdue. */
    public void watch(SupervisedTask chain) {
        chains.add(chain);
    }

    /** Begins to check. */
    public void start() {
        schedule();
    }

    /** Checks if its own timer did not: cheap enough for each event. */
    public void checkIfDue() {
        if (clock.nowMs() > nextCheckMs + LOST_MS) {
            check(timer);
        }
    }

    private void schedule() {
        int current = ++timer;
        nextCheckMs = clock.nowMs() + PERIOD_MS;
        executor.schedule(() -> check(current), PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    private void check(int current) {
        if (current != timer) {
            return;
        }
        try {
            chains.forEach(this::check);
        } finally {
            schedule();
        }
    }

    private void check(SupervisedTask chain) {
        try {
            double overdueMs = clock.nowMs() - chain.dueMs();
            if (overdueMs > 0) {
                log.line(chain.name() + " is overdue by " + Math.round(overdueMs) + " ms in state " + chain.state()
                        + ": started again");
                chain.restart();
            }
        } catch (RuntimeException | Error e) {
            log.line(chain.name() + " could not be started again, and is tried anew: " + e);
        }
    }
}
