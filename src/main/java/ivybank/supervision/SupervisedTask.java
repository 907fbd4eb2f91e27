package ivybank.supervision;

/**
 * A task that must continue as long as the process serves: each of its steps triggers the next. The owner states the
 * current state and the time by which it must have ended. Times are in milliseconds of the process's monotonic clock. Used
 * on the owner's event loop alone.
 */
public interface SupervisedTask {

    /** The due time of a task that waits for nothing. */
    double NEVER = Double.POSITIVE_INFINITY;

    /** Returns the name for the log. */
    String name();

    /** Returns the name of the current state, for the log. */
    String state();

    /** Returns the time by which the next step must have happened; {@link #NEVER} if none must. */
    double dueMs();

    /** Aborts the current step, releases its resources and starts the next one. */
    void restart();
}
