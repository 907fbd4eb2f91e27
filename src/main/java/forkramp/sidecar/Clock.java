package forkramp.sidecar;

import java.util.function.LongSupplier;

/**
 * The module's clock: Unix time in milliseconds, as discovery states the starts of upstreams, read once and then
 * advanced by the monotonic clock, so that a correction of the wall clock never moves it back.
 */
final class Clock {

    private static final double NANOS_IN_MS = 1e6;

    private final LongSupplier nanos;
    private final long originNanos;
    private final double originMs;

    Clock(long unixMs, LongSupplier nanos) {
        this.nanos = nanos;
        this.originNanos = nanos.getAsLong();
        this.originMs = unixMs;
    }

    static Clock system() {
        return new Clock(System.currentTimeMillis(), System::nanoTime);
    }

    double nowMs() {
        return originMs + (nanos.getAsLong() - originNanos) / NANOS_IN_MS;
    }
}
