package ivybank.common;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;

/** Waits until an event loop has looked at all of its sockets once more, at what they hold by now. */
public final class OneMorePass {

    private static final long LEAST_MS = 1;

    private OneMorePass() {}

    /**
     * Runs {@code task} then. In two steps: a loop that is in the midst of a pass runs what falls due meanwhile right behind it,
     * in the same pass, but what is due from then on only behind the next one.
     */
    public static void then(EventExecutor loop, Runnable task) {
        loop.schedule(
                () -> {
                    loop.schedule(task, 0, TimeUnit.MILLISECONDS);
                },
                LEAST_MS,
                TimeUnit.MILLISECONDS);
    }
}
