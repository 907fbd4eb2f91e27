package ivybank.supervision;

import ivybank.common.Clock;
import ivybank.common.Log;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Restarts tasks whose next step is overdue. It is run by its own timer and by whatever calls {@link #checkIfDue}, so that a
 * lost timer is made up for by another one. Used on one event loop.
 */
public final class Watchdog {

    /** The interval between checks. */
    private static final long CHECK_INTERVAL_MS = 50;
    /** The delay after which the watchdog's own timer counts as lost. */
    private static final double LOST_TIMER_MS = 4.0 * CHECK_INTERVAL_MS;

    private final ScheduledExecutorService executor;
    private final Clock clock;
    private final Log log;
    private final List<SupervisedTask> tasks = new ArrayList<>();
    private double nextCheckMs = SupervisedTask.NEVER;
    /** The number of the current timer; one that has been replaced does nothing if it still fires. */
    private int timer;

    public Watchdog(ScheduledExecutorService executor, Clock clock, Log log) {
        this.executor = executor;
        this.clock = clock;
        this.log = log;
    }

    /** Adds a task to be restarted when it is overdue. */
    public void watch(SupervisedTask task) {
        tasks.add(task);
    }

    /** Starts the periodic checks. */
    public void start() {
        schedule();
    }

    /** Checks the tasks if the watchdog's own timer did not; cheap enough to be called on each event. */
    public void checkIfDue() {
        if (clock.nowMs() > nextCheckMs + LOST_TIMER_MS) {
            check(timer);
        }
    }

    private void schedule() {
        int current = ++timer;
        nextCheckMs = clock.nowMs() + CHECK_INTERVAL_MS;
        executor.schedule(() -> check(current), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void check(int current) {
        if (current != timer) {
            return;
        }
        try {
            tasks.forEach(this::check);
        } finally {
            schedule();
        }
    }

    private void check(SupervisedTask task) {
        try {
            double overdueMs = clock.nowMs() - task.dueMs();
            if (overdueMs > 0) {
                log.line(task.name() + " is overdue by " + Math.round(overdueMs) + " ms in state " + task.state()
                        + ": restarting it");
                task.restart();
            }
        } catch (RuntimeException | Error e) {
            log.line(task.name() + " could not be restarted; retrying: " + e);
        }
    }
}
