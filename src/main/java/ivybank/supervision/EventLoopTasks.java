package ivybank.supervision;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/** Hands tasks to an event loop from callbacks that must not fail for it. */
public final class EventLoopTasks {

    private EventLoopTasks() {}

    /**
     * Hands a task over. Waking the loop is a write, which may fail when the task is in the queue already: it is run with the
     * loop's next event then.
     *
     * @return whether the loop takes it; false when it has been shut down
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
