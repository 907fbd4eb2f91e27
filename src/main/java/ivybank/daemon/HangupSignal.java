package ivybank.daemon;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which otherwise ends the process. The JDK has no supported signal API, and its internal one cannot be
 * referenced by code that compiles without warnings, so it is called by reflection.
 */
final class HangupSignal {

    private static Runnable action;
    private static boolean pending;

    private HangupSignal() {}

    /**
     * Starts to listen for SIGHUP. A signal that arrives before {@link #handle} is kept until then; the action runs on
     * a separate thread. Has to be called first in the process: an earlier signal ends it. Returns false where no
     * SIGHUP will arrive: the process was started with the signal ignored, as by nohup, and Java keeps that.
     */
    static boolean listen() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object signalHandler = Proxy.newProxyInstance(
                    handler.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        signalled();
                        return null;
                    });
            Object previousHandler = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), signalHandler);
            return previousHandler != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this Java runtime has no way to handle SIGHUP", e);
        }
    }

    private static synchronized void signalled() {
        if (action == null) {
            pending = true;
        } else {
            action.run();
        }
    }

    /** Sets the action that runs on each SIGHUP, and runs it now if a signal has arrived already. */
    static synchronized void handle(Runnable atSignal) {
        action = atSignal;
        if (pending) {
            pending = false;
            action.run();
        }
    }
}
