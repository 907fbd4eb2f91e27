package ivybank.supervision;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/** Submits tasks to an event loop from callbacks that must not fail. */
public final class EventLoopTasks {

    private EventLoopTasks() {}

    /**
     * Submits a task. Waking up the loop is a write, which may fail although the task is already queued; it runs with the
     * loop's next event then.
     *
     * @return whether the loop accepts it; false if it has been shut down
     */
    public static boolean execute(Executor loop, Runnable task) {
        try {
            loop.execute(task);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        } catch (InternalError e) {
            return true;
        }
    }
}
