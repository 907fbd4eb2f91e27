package ivybank.daemon;

import ivybank.policy.Balancer.RequestClass;
import ivybank.policy.Balancer.Settings;

/**
 * The delays after the shutdown signal at which the listener closes, at which client connections close, and at which
 * requests that are still open are failed.
 */
record DrainTimes(long stopListeningMs, long stopServingMs, long failOpenMs) {

    /** New connections still arrive for up to 0.4 s after the signal. */
    private static final long STOP_LISTENING_MS = 600;

    private static final long MIN_LISTENING_MS = 450;
    /** The process may run for the longest deadline, capped at this value, plus {@link #EXTRA_SHUTDOWN_MS}. */
    private static final double MAX_DEADLINE_MS = 3000;

    private static final double EXTRA_SHUTDOWN_MS = 700;
    /** Requests are failed so long before SIGKILL, for a process may be stopped for a moment meanwhile. */
    private static final double SHUTDOWN_MARGIN_MS = 400;

    /** With short deadlines the margin is smaller, since new connections arrive first; this much is left of it. */
    private static final double MIN_SHUTDOWN_MARGIN_MS = 200;

    private static final double MIN_SERVING_MS = 600;
    /**
     * The fraction of the longest useful answer time that is left to the request that is accepted last; most requests
     * take less.
     */
    private static final double LAST_REQUEST_FRACTION = 0.3;

    /**
     * Returns the times of a process that serves for about as long as it may run. Guards against an avoidable gap: the
     * next process starts when the time of this one is up, however early this one ends. A request that is accepted last
     * may be failed in the end, but without this process nobody would have accepted it. The drawback: where a process
     * is killed earlier than the platform promises, its open requests are lost.
     */
    static DrainTimes longest(Settings settings) {
        double deadlineMs = settings.classes().stream()
                .mapToDouble(RequestClass::deadlineMs)
                .max()
                .orElse(0);
        double answerMs = settings.classes().stream()
                .mapToDouble(spec -> spec.lateWorth() > 0 ? spec.deadlineMs() : spec.aimMs())
                .max()
                .orElse(0);
        double killMs = Math.min(MAX_DEADLINE_MS, deadlineMs) + EXTRA_SHUTDOWN_MS;
        double marginMs = Math.max(MIN_SHUTDOWN_MARGIN_MS, Math.min(SHUTDOWN_MARGIN_MS, killMs - MIN_SERVING_MS));
        double totalMs = killMs - marginMs;
        // With short deadlines the listener closes earlier, so that the last accepted requests can still be answered.
        long stopListeningMs = Math.max(
                MIN_LISTENING_MS, Math.min(STOP_LISTENING_MS, (long) (totalMs - LAST_REQUEST_FRACTION * answerMs)));
        return new DrainTimes(
                stopListeningMs, Math.max(stopListeningMs, (long) (totalMs - LAST_REQUEST_FRACTION * answerMs)), (long)
                        totalMs);
    }
}
