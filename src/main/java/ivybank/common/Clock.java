package ivybank.common;

import java.util.function.LongSupplier;

/**
 * The module's clock: Unix time in milliseconds, as discovery states the starts of upstreams, read once and then
 * advanced by the monotonic clock, so that a correction of the wall clock never moves it back.
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

    /** The machine's monotonic clock in milliseconds: the same for all of its processes, whatever becomes of the wall clock. */
    public double monotonicMs() {
        return nanos.getAsLong() / NANOS_IN_MS;
    }

    public double nowMs() {
        return originMs + (nanos.getAsLong() - originNanos) / NANOS_IN_MS;
    }
}
