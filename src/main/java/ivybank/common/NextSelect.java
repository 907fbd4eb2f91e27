package ivybank.common;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Runs a task after the event loop's next select, once all sockets that were readable by then have been read. Used before a
 * connection is closed or a request is forwarded, so that nothing that has already arrived is missed.
 */
public final class NextSelect {

    private static final long MIN_DELAY_MS = 1;

    private NextSelect() {}

    /**
     * Runs {@code task} after the next select. This takes two steps: a task that becomes due during a pass runs at the end
     * of that pass, but one that is scheduled from there runs at the end of the next.
     */
    public static void runAfter(EventExecutor loop, Runnable task) {
        loop.schedule(
                () -> {
                    loop.schedule(task, 0, TimeUnit.MILLISECONDS);
                },
                MIN_DELAY_MS,
                TimeUnit.MILLISECONDS);
    }
}
