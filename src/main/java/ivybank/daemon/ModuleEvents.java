package ivybank.daemon;

import ivybank.common.Log;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Delivers events to the decision module one after another: events that its own actions cause are delivered after the
 * current event, never within it. Used on one event loop, without locks.
 */
final class ModuleEvents {

    private final Log log;
    private final Queue<Runnable> events = new ArrayDeque<>();
    private boolean delivering;

    ModuleEvents(Log log) {
        this.log = log;
    }

    /** Delivers an event after those that are queued. An event on which the module fails is logged and dropped. */
    void deliver(Runnable event) {
        events.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                run(next);
            }
        } finally {
            delivering = false;
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
