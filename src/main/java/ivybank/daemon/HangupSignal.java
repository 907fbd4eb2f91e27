package ivybank.daemon;

import java.lang.reflect.Proxy;

/**
 * Acts on SIGHUP, which otherwise ends the process. The JDK offers no supported way to a signal, and its internal one
 * can't be named in code that compiles without warnings: so it is looked up.
 */
final class HangupSignal {

    private static Runnable action;
    private static boolean pending;

    private HangupSignal() {}

    /**
     * From now on notes each SIGHUP, and runs {@code action} at it once there is one, on a thread of its own. To be called first
     * thing: a signal that comes before ends the process. Returns false where no SIGHUP will come: the process was started with
     * the signal ignored, as by nohup, and Java leaves it so.
     */
    static boolean listen() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object acting = Proxy.newProxyInstance(
                    handler.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        came();
                        return null;
                    });
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), acting);
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this Java runtime lets nobody handle SIGHUP", e);
        }
    }

    private static synchronized void came() {
        if (action == null) {
            pending = true;
        } else {
            action.run();
        }
    }

    /** Runs this at each SIGHUP from now on, and now if one has come. */
    static synchronized void handle(Runnable atSignal) {
        action = atSignal;
        if (pending) {
            pending = false;
            action.run();
        }
    }
}
