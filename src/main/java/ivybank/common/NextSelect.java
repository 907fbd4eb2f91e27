package ivybank.common;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Runs a task after the event loop's next select, once all sockets that are readable by then have been read: before a
 * connection is closed or a request is sent on, so that nothing that has already arrived is missed.
 */
public final class NextSelect {

    private static final long LEAST_MS = 1;

    private NextSelect() {}

    /**
     * Runs {@code task} after that select. In two steps: what falls due during a pass runs at the end of that same pass, but
     * what is scheduled from there runs at the end of the next one.
     */
    public static void runAfter(EventExecutor loop, Runnable task) {
        loop.schedule(
                () -> {
                    loop.schedule(task, 0, TimeUnit.MILLISECONDS);
                },
                LEAST_MS,
                TimeUnit.MILLISECONDS);
    }
}
