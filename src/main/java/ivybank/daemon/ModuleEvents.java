package ivybank.daemon;

import ivybank.common.Log;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Tells the decision module of events, one after another: what its own actions cause at once is told after the event at hand,
 * never inside it. On one event loop; nothing is locked.
 */
final class ModuleEvents {

    private final Log log;
    private final Queue<Runnable> events = new ArrayDeque<>();
    private boolean telling;

    ModuleEvents(Log log) {
        this.log = log;
    }

    /** Tells the module of an event, after those that are waiting. One that it fails on is logged and left behind. */
    void tell(Runnable event) {
        events.add(event);
        if (telling) {
            return;
        }
        telling = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                run(next);
            }
        } finally {
            telling = false;
        }
    }

    private void run(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | Error e) {
            StackTraceElement[] trace = e.getStackTrace();
            log.line("the decision module failed: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
