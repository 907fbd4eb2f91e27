package ivybank.discovery;

/**
 * Timeouts and delays of the calls to discovery, in milliseconds: the silence timeout of a watch, the timeouts of the first
 * answer and of the connection, and the longest pause between calls. {@code asked}: calls queue at one discovery service
 * shared by all sidecars. docs/operators/daemon.md gives the reasons for the standard values.
 */
public record Timing(int silenceMs, int firstAnswerMs, int connectMs, double longestPauseMs, boolean asked) {

    /** The grace of a drain where the settings name none. */
    public static final double DEFAULT_DRAIN_GRACE_MS = 500;
    /**
     * After a watch has fallen silent, a change counts as reported to this sidecar at the latest after this time, whether a watch
     * is open or not.
     */
    public static final double SILENCE_LIMIT_MS = 6000;
    /** A call that may queue at discovery counts as answered at the latest this long after its wait. */
    public static final double QUEUED_CALL_REPORT_LIMIT_MS = 2000;
    /**
     * Whatever became of earlier calls, a change counts as reported this long after discovery had it and could be reached.
     */
    public static final double FAILURE_REPORT_LIMIT_MS = 6000;
    /** The pause after the first failure of a healthy call; it doubles with each further failure. */
    static final double INITIAL_PAUSE_MS = 50;

    /**
     * Discovery sends an empty line every 2 s, and a change counts as reported 6 s after a watch fell silent. Guards against a
     * watch that stays open and delivers nothing: after 7 s, requests had gone to removed nodes for too long. Where the
     * empty lines are a second late, one list too many is requested.
     */
    private static final int SILENCE_TIMEOUT_MS = 3000;
    /** For the first data of a watch that follows a silent one: the interval of empty lines and a margin. */
    private static final int RETRIED_WATCH_TIMEOUT_MS = 2300;
    /** With a shared service, a call waits at most this long in its queue and ends with status 503 then. */
    private static final int MAX_QUEUE_WAIT_MS = 2000;
    /** With a shared service: the longest wait in the queue and a margin. */
    private static final int QUEUED_ANSWER_TIMEOUT_MS = 2300;

    private static final int CONNECT_TIMEOUT_MS = 1000;
    /**
     * With a shared service, two silent watches and this time between them must fit in {@link #SILENCE_LIMIT_MS}.
     */
    private static final int QUEUED_CONNECT_TIMEOUT_MS = 500;

    private static final int ANSWER_TIMEOUT_MS = 1000;
    private static final double MAX_PAUSE_MS = 1500;
    /**
     * With a shared service: what {@link #FAILURE_REPORT_LIMIT_MS} leaves beside two connections, a call that is abandoned
     * and one that waits. A longer pause would not relieve discovery: each sidecar has at most one call there in any case.
     */
    private static final double QUEUED_MAX_PAUSE_MS = 600;
    /**
     * Parts of a drain's grace where a local agent pushes lists: the agent answers at once, and what it receives when discovery
     * comes back counts as reported at once. The rest of the grace is left for the list itself.
     */
    private static final double CONNECT_GRACE_RATIO = 0.15;

    private static final double ANSWER_GRACE_RATIO = 0.3;
    private static final double PAUSE_GRACE_RATIO = 0.15;
    private static final int MIN_TIMEOUT_MS = 20;
    private static final double MIN_PAUSE_MS = 10;

    /**
     * Returns the standard timing.
     *
     * @param asked whether calls queue at one discovery service shared by all sidecars
     * @param graceMs how long requests may still be sent to a node that has been instructed to drain
     */
    public static Timing standard(boolean asked, double graceMs) {
        return asked
                ? new Timing(
                        SILENCE_TIMEOUT_MS,
                        QUEUED_ANSWER_TIMEOUT_MS,
                        QUEUED_CONNECT_TIMEOUT_MS,
                        QUEUED_MAX_PAUSE_MS,
                        true)
                : new Timing(
                        SILENCE_TIMEOUT_MS,
                        (int) clamp(MIN_TIMEOUT_MS, ANSWER_GRACE_RATIO * graceMs, ANSWER_TIMEOUT_MS),
                        (int) clamp(MIN_TIMEOUT_MS, CONNECT_GRACE_RATIO * graceMs, CONNECT_TIMEOUT_MS),
                        clamp(MIN_PAUSE_MS, PAUSE_GRACE_RATIO * graceMs, MAX_PAUSE_MS),
                        false);
    }

    private static double clamp(double min, double value, double max) {
        return Math.max(min, Math.min(value, max));
    }

    /** Returns how long a watch may deliver nothing after {@code silentWatches} silent ones in a row. */
    int watchTimeoutMs(int silentWatches) {
        return asked && silentWatches > 0 ? Math.min(silenceMs, RETRIED_WATCH_TIMEOUT_MS) : silenceMs;
    }

    /**
     * Returns whether the whole list is requested after so many silent watches, which reports what was missed at once: after the
     * first where a call is cheap, after the second where all sidecars call one service.
     */
    boolean needsWholeList(int silentWatches) {
        return silentWatches > (asked ? 1 : 0);
    }

    /**
     * Returns the longest time from discovery's return to the start of a call that it answers: a call that started just before
     * hangs first.
     */
    public double maxCallAfterOutageMs() {
        return connectMs + firstAnswerMs + longestPauseMs;
    }

    /** Returns the longest time that an answered call waits for its answer. */
    public double maxAnswerWaitMs() {
        return asked ? Math.min(MAX_QUEUE_WAIT_MS, firstAnswerMs) : firstAnswerMs;
    }

    /**
     * Returns the longest time from the moment at which discovery has a change and can be reached until it is reported here,
     * whatever becomes of the current call. That call hangs and is abandoned, or fails at the last moment; then come the longest
     * pause and a call that uses all of its connect timeout and then the longest wait.
     */
    public double maxReportAfterFailureMs() {
        return maxCallAfterOutageMs() + connectMs + maxAnswerWaitMs();
    }

    /**
     * Returns the longest time from the moment at which a watch fell silent to the start of a call that reports what was missed,
     * provided that calls are answered: at once, or, with a shared service ({@code asked}), after their wait. There, the watch
     * after the silent one may be silent as well.
     */
    public double maxSilenceMs() {
        double reconnectMs = Math.min(INITIAL_PAUSE_MS, longestPauseMs) + connectMs;
        return silenceMs + reconnectMs + (asked ? watchTimeoutMs(1) : 0);
    }
}
