package ivybank.common;

import java.util.function.LongSupplier;

/**
 * The clock of the decision module: Unix time in milliseconds, in which discovery states the start times of upstreams. It is
 * read once and then advanced by the monotonic clock, so that a correction of the wall clock never moves it back.
 */
public final class Clock {

    private static final double NANOS_IN_MS = 1e6;

    private final LongSupplier nanos;
    private final long originNanos;
    private final double originMs;

    public Clock(long unixMs, LongSupplier nanos) {
        this.nanos = nanos;
        this.originNanos = nanos.getAsLong();
        this.originMs = unixMs;
    }

    public static Clock system() {
        return new Clock(System.currentTimeMillis(), System::nanoTime);
    }

    /**
     * Returns the machine's monotonic clock in milliseconds, which is the same for all its processes and independent of the
     * wall clock.
     */
    public double monotonicMs() {
        return nanos.getAsLong() / NANOS_IN_MS;
    }

    public double nowMs() {
        return originMs + (nanos.getAsLong() - originNanos) / NANOS_IN_MS;
    }
}
