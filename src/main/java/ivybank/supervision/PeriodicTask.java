package ivybank.supervision;

import ivybank.common.Clock;
import ivybank.common.Log;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Runs a step again and again, whatever becomes of a run: one that throws is logged, and the next one comes all the same. With
 * a {@link Watchdog} a run whose timer is lost is made up for too. Its runs are on one thread; it may be asked on another.
 */
public final class PeriodicTask implements SupervisedTask {

    /** A run counts as lost so many periods after it was due, and at least so many milliseconds. */
    private static final double LOST_PERIODS = 3;

    private static final double LOST_MS = 500;
    private static final double MICROS_IN_MS = 1000;
    /** What keeps failing in the same way is logged once in so many runs. */
    private static final long LOGGED_FAILURES = 100;

    private final String name;
    private final ScheduledExecutorService executor;
    private final Clock clock;
    private final Log log;
    private final long periodMs;
    private final Runnable step;
    private final boolean atRate;
    private volatile double nextRunMs = NEVER;
    private volatile int timer;
    private volatile long failures;
    private volatile boolean stopped;

    private PeriodicTask(
            String name,
            ScheduledExecutorService executor,
            Clock clock,
            Log log,
            long periodMs,
            boolean atRate,
            Runnable step) {
        this.name = name;
        this.executor = executor;
        this.clock = clock;
        this.log = log;
        this.periodMs = periodMs;
        this.atRate = atRate;
        this.step = step;
    }

    /**
     * Runs a step each period, the first time after one; a run that comes late moves those behind it.
     *
     * @param periodMs in milliseconds
     */
    public static PeriodicTask start(
            String name, ScheduledExecutorService executor, Clock clock, Log log, long periodMs, Runnable step) {
        return start(new PeriodicTask(name, executor, clock, log, periodMs, false, step));
    }

    /** The same, but for a run that comes late, which leaves those behind it where they are. */
    public static PeriodicTask startAtRate(
            String name, ScheduledExecutorService executor, Clock clock, Log log, long periodMs, Runnable step) {
        return start(new PeriodicTask(name, executor, clock, log, periodMs, true, step));
    }

    private static PeriodicTask start(PeriodicTask task) {
        task.nextRunMs = task.clock.nowMs();
        task.schedule();
        return task;
    }

    /** Runs no more; what is running ends. */
    public void stop() {
        stopped = true;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public String state() {
        return stopped ? "stopped" : failures > 0 ? "waiting after " + failures + " failures" : "waiting";
    }

    @Override
    public double dueMs() {
        return stopped ? NEVER : nextRunMs + Math.max(LOST_MS, LOST_PERIODS * periodMs);
    }

    @Override
    public void restart() {
        int current = timer;
        nextRunMs = clock.nowMs(); // it has as long again
        EventLoopTasks.execute(executor, () -> run(current));
    }

    @SuppressWarnings("NonAtomicVolatileUpdate") // only the thread of its runs writes it
    private void schedule() {
        int current = ++timer;
        double nowMs = clock.nowMs();
        nextRunMs = atRate ? Math.max(nowMs, nextRunMs + periodMs) : nowMs + periodMs;
        long delayMicros = (long) ((nextRunMs - nowMs) * MICROS_IN_MS);
        executor.schedule(() -> run(current), delayMicros, TimeUnit.MICROSECONDS);
    }

    @SuppressWarnings("NonAtomicVolatileUpdate") // only the thread of its runs writes it
    private void run(int current) {
        if (stopped || current != timer) {
            return;
        }
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            if (failures++ % LOGGED_FAILURES == 0) {
                log.line(name + " failed, and goes on: " + e);
            }
        } finally {
            schedule();
        }
    }
}
