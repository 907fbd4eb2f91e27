package ivybank.daemon;

import ivybank.policy.Balancer.RequestClass;
import ivybank.policy.Balancer.Settings;

/**
 * When, after the signal to end, the listener closes, when the connections of the client do, and when what is still
 * open then is failed.
 */
record DrainTimes(long stopListeningMs, long stopServingMs, long failRestMs) {

    /** After the signal new connections still come for up to 0.4 s. */
    private static final long STOP_LISTENING_MS = 600;

    private static final long LEAST_LISTENING_MS = 450;
    /** The process is left the longest deadline, or so much if that is less, and a while more to end in. */
    private static final double LONGEST_TIME_TO_END_MS = 3000;

    private static final double MORE_TIME_TO_END_MS = 700;
    private static final double END_MARGIN_MS = 200;
    /** Of the longest time in which an answer is of use: what is taken last is left this much, and most take less. */
    private static final double LAST_PART = 0.3;

    /**
     * Serves for about as long as the process is left. Guards against a gap that nobody needed: the next process
     * comes when this one's time is up, however early it has ended. What is taken last may be failed in the end, and
     * would have found nobody otherwise; it does harm where a process is killed sooner than it was promised.
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
        double allMs = Math.min(LONGEST_TIME_TO_END_MS, deadlineMs) + MORE_TIME_TO_END_MS - END_MARGIN_MS;
        // Where deadlines are short the listener closes sooner, so that what it took last can still be answered.
        long stopListeningMs =
                Math.max(LEAST_LISTENING_MS, Math.min(STOP_LISTENING_MS, (long) (allMs - LAST_PART * answerMs)));
        return new DrainTimes(
                stopListeningMs, Math.max(stopListeningMs, (long) (allMs - LAST_PART * answerMs)), (long) allMs);
    }
}
