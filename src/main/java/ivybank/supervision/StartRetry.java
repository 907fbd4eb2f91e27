package ivybank.supervision;

import ivybank.common.Log;
import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Tries what a process needs at its start again where the system fails it for a moment. Blocks; never on an event loop. */
public final class StartRetry {

    private static final long LONGEST_MS = 10_000;
    private static final long PAUSE_MS = 50;

    private StartRetry() {}

    /**
     * Runs an action until it succeeds, for 10 s at most.
     *
     * @param lasting which failures no time mends: those are thrown at once
     * @throws IOException the last failure
     */
    public static <T> T call(String what, Log log, Predicate<Throwable> lasting, Callable<T> action)
            throws IOException {
        long fromNanos = System.nanoTime();
        boolean told = false;
        while (true) {
            try {
                return action.call();
            } catch (Exception | Error e) {
                boolean late = System.nanoTime() - fromNanos > TimeUnit.MILLISECONDS.toNanos(LONGEST_MS);
                if (late || lasting.test(e) || isAddressInUse(e) || !pause()) {
                    throw asIoException(e);
                }
                if (!told) {
                    log.line(what + " failed, and is tried again for a while: " + e);
                    told = true;
                }
            }
        }
    }

    /** Whether another program has the address. */
    public static boolean isAddressInUse(Throwable failure) {
        return String.valueOf(failure.getMessage()).toLowerCase(Locale.ROOT).contains("address already in use");
    }

    /** False where the thread is told to end. */
    private static boolean pause() {
        try {
            Thread.sleep(PAUSE_MS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static IOException asIoException(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        if (failure instanceof RuntimeException exception) {
            throw exception;
        }
        return failure instanceof IOException io ? io : new IOException(failure.getMessage(), failure);
    }
}
