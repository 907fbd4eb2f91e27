package ivybank.daemon;

import java.lang.reflect.Proxy;

/**
 * Acts on SIGHUP, which otherwise ends the process. The JDK offers no supported way to a signal, and its internal one
 * can't be named in code that compiles without warnings: so it is looked up.
 */
final class HangupSignal {

    private HangupSignal() {}

    /**
     * From now on runs {@code action} at each SIGHUP, on a thread of its own. Returns false where no SIGHUP will come: the
     * process was started with the signal ignored, as by nohup, and Java leaves it so.
     */
    static boolean handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object acting = Proxy.newProxyInstance(
                    handler.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        action.run();
                        return null;
                    });
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), acting);
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this Java runtime lets nobody handle SIGHUP", e);
        }
    }
}
