package ivybank.supervision;

/**
 * A chain of steps that must go on for as long as the process serves: each step brings about the next one. Its owner names the
 * state that it is in and by when that state must have ended. Times are in milliseconds of the process's monotonic clock. Used
 * on the owner's event loop alone.
 */
public interface SupervisedTask {

    /** The due time of a chain that waits for nothing. */
    double NEVER = Double.POSITIVE_INFINITY;

    /** What it is called in the log. */
    String name();

    /** The state that it is in, in a word. */
    String state();

    /** By when its next step must have happened; {@link #NEVER} where none has to. */
    double dueMs();

    /** Gives up the step at hand, gives back what that has taken, and begins the next one. */
    void restart();
}
