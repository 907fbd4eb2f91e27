package ivybank.supervision;

import ivybank.common.Log;
import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Retries what a process needs at startup after transient failures of the system. Blocks; must not be used on an event loop. */
public final class StartRetry {

    private static final long TIMEOUT_MS = 10_000;
    private static final long RETRY_DELAY_MS = 50;

    private StartRetry() {}

    /**
     * Runs an action until it succeeds, for 10 s at most.
     *
     * @param permanent returns whether a failure is permanent; such a failure is thrown at once
     * @throws IOException the last failure
     */
    public static <T> T call(String what, Log log, Predicate<Throwable> permanent, Callable<T> action)
            throws IOException {
        long startNanos = System.nanoTime();
        boolean logged = false;
        while (true) {
            try {
                return action.call();
            } catch (Exception | Error e) {
                boolean timedOut = System.nanoTime() - startNanos > TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
                if (timedOut || permanent.test(e) || isAddressInUse(e) || !pause()) {
                    throw asIoException(e);
                }
                if (!logged) {
                    log.line(what + " failed; retrying for up to 10 s: " + e);
                    logged = true;
                }
            }
        }
    }

    /** Returns whether another program uses the address. */
    public static boolean isAddressInUse(Throwable failure) {
        return String.valueOf(failure.getMessage()).toLowerCase(Locale.ROOT).contains("address already in use");
    }

    /** Waits before the next attempt; returns false if the thread is interrupted. */
    private static boolean pause() {
        try {
            Thread.sleep(RETRY_DELAY_MS);
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
