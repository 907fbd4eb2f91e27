package ivybank.supervision;

import ivybank.common.Clock;
import ivybank.common.Log;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Runs a step periodically. A run that throws is logged, and the next follows all the same. With a {@link Watchdog}, a run
 * whose timer is lost is made up for as well. Runs use one thread; the state may be read on another.
 */
public final class PeriodicTask implements SupervisedTask {

    /** A run counts as lost this many periods after it was due, and at least this many milliseconds. */
    private static final double LOST_PERIODS = 3;

    private static final double MIN_LOST_MS = 500;
    private static final double MICROS_IN_MS = 1000;
    /** Repeated failures are logged once in this many times. */
    private static final long FAILURES_PER_LOG_LINE = 100;

    private final String name;
    private final ScheduledExecutorService executor;
    private final Clock clock;
    private final Log log;
    private final long periodMs;
    private final Runnable step;
    private final boolean fixedRate;
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
            boolean fixedRate,
            Runnable step) {
        this.name = name;
        this.executor = executor;
        this.clock = clock;
        this.log = log;
        this.periodMs = periodMs;
        this.fixedRate = fixedRate;
        this.step = step;
    }

    /**
     * Runs a step once per period, for the first time after one period; a late run delays those after it.
     *
     * @param periodMs the period in milliseconds
     */
    public static PeriodicTask start(
            String name, ScheduledExecutorService executor, Clock clock, Log log, long periodMs, Runnable step) {
        return start(new PeriodicTask(name, executor, clock, log, periodMs, false, step));
    }

    /** Runs a step once per period at a fixed rate: a late run does not delay those after it. */
    public static PeriodicTask startAtRate(
            String name, ScheduledExecutorService executor, Clock clock, Log log, long periodMs, Runnable step) {
        return start(new PeriodicTask(name, executor, clock, log, periodMs, true, step));
    }

    private static PeriodicTask start(PeriodicTask task) {
        task.nextRunMs = task.clock.nowMs();
        task.schedule();
        return task;
    }

    /** Starts no further runs; a current run continues to its end. */
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
        return stopped ? NEVER : nextRunMs + Math.max(MIN_LOST_MS, LOST_PERIODS * periodMs);
    }

    @Override
    public void restart() {
        int current = timer;
        nextRunMs = clock.nowMs(); // allow the restarted run the full time
        EventLoopTasks.execute(executor, () -> run(current));
    }

    @SuppressWarnings("NonAtomicVolatileUpdate") // only the thread of its runs writes it
    private void schedule() {
        int current = ++timer;
        double nowMs = clock.nowMs();
        nextRunMs = fixedRate ? Math.max(nowMs, nextRunMs + periodMs) : nowMs + periodMs;
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
            if (failures++ % FAILURES_PER_LOG_LINE == 0) {
                log.line(name + " failed; continuing with the next run: " + e);
            }
        } finally {
            schedule();
        }
    }
}
