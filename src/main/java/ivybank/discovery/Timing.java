package ivybank.discovery;

/**
 * How patient a sidecar is with discovery, in ms: with a watch that says nothing, with the first answer to a call, with a
 * connection that is coming up, and between tries at most; {@code asked}: whether calls wait in turn at one service for all
 * sidecars. docs/operators/daemon.md tells why the standard values are what they are.
 */
public record Timing(int silenceMs, int firstAnswerMs, int connectMs, double longestPauseMs, boolean asked) {

    /** A drain's grace where the settings name none. */
    public static final double DEFAULT_DRAIN_GRACE_MS = 500;
    /** What is told on a watch, or on none, counts as told so long after a watch has fallen silent. */
    public static final double SILENCE_COUNTS_MS = 6000;
    /** For a call that may wait: so long after that wait is over. */
    public static final double WAIT_COUNTS_MS = 2000;
    /** Whatever became of calls, a change counts as told so long after discovery had it and could be reached. */
    public static final double TOLD_AFTER_FAILED_CALL_MS = 6000;
    /** The pause after the first break of what was well; each one after it is twice as long. */
    static final double FIRST_PAUSE_MS = 50;

    /**
     * An empty line comes every 2 s, and what could have been heard counts as told 6 s later. Guards against a watch
     * that stays open and brings nothing: after 7 s upstreams that were gone had been sent to for too long. A list is
     * asked for once too often where lines are a second late.
     */
    private static final int SILENCE_MS = 3000;
    /** The first word of a watch that follows a silent one: the empty line and a little. */
    private static final int FIRST_WORD_MS = 2300;
    /** Where lists are asked for: a call waits so long in discovery's queue at the most, and ends with 503 then. */
    private static final int LONGEST_WAIT_MS = 2000;
    /** Where lists are asked for: the longest wait and a little. */
    private static final int ASKED_ANSWER_MS = 2300;

    private static final int CONNECT_MS = 1000;
    /** Where lists are asked for: two silent watches, and this between them, have to fit in {@link #SILENCE_COUNTS_MS}. */
    private static final int ASKED_CONNECT_MS = 500;

    private static final int AT_ONCE_MS = 1000;
    private static final double LONGEST_PAUSE_MS = 1500;
    /**
     * Where lists are asked for: what {@link #TOLD_AFTER_FAILED_CALL_MS} leaves beside two connections, a call that is given up
     * and one that waits. Longer ones would do discovery no good: a sidecar has one call there at most, whatever happens.
     */
    private static final double ASKED_LONGEST_PAUSE_MS = 600;
    /**
     * Of a drain's grace, where lists are pushed: the agent answers at once, and what it gets when discovery comes back
     * counts at once. What is left of the grace is for the list itself.
     */
    private static final double CONNECT_PART = 0.15;

    private static final double ANSWER_PART = 0.3;
    private static final double PAUSE_PART = 0.15;
    private static final int LEAST_MS = 20;
    private static final double LEAST_PAUSE_MS = 10;

    /**
     * The standard.
     *
     * @param asked whether calls wait in turn at one service for all sidecars
     * @param graceMs for how long a node may be sent to that was told to drain
     */
    public static Timing standard(boolean asked, double graceMs) {
        return asked
                ? new Timing(SILENCE_MS, ASKED_ANSWER_MS, ASKED_CONNECT_MS, ASKED_LONGEST_PAUSE_MS, true)
                : new Timing(
                        SILENCE_MS,
                        (int) within(LEAST_MS, ANSWER_PART * graceMs, AT_ONCE_MS),
                        (int) within(LEAST_MS, CONNECT_PART * graceMs, CONNECT_MS),
                        within(LEAST_PAUSE_MS, PAUSE_PART * graceMs, LONGEST_PAUSE_MS),
                        false);
    }

    private static double within(double least, double value, double most) {
        return Math.max(least, Math.min(value, most));
    }

    /** How long the watch that follows {@code silent} silent ones may be without a word. */
    int wordMs(int silent) {
        return asked && silent > 0 ? Math.min(silenceMs, FIRST_WORD_MS) : silenceMs;
    }

    /**
     * Whether the whole list is asked for after so many silent watches, which tells at once what was missed: after the first
     * where a call costs nothing, after the second where all ask one service.
     */
    boolean asksForAll(int silent) {
        return silent > (asked ? 1 : 0);
    }

    /** The longest from discovery's return to the begin of a call that it answers: one begun just before hangs first. */
    public double returnMs() {
        return connectMs + firstAnswerMs + longestPauseMs;
    }

    /** How long a call that is answered waits for it at most. */
    public double longestWaitMs() {
        return asked ? Math.min(LONGEST_WAIT_MS, firstAnswerMs) : firstAnswerMs;
    }

    /**
     * The longest from the moment in which discovery has a change and can be reached until it is told, whatever becomes of the
     * call at hand: that one hangs and is given up, or fails at the last moment; then there is the longest pause, and a call
     * whose connection takes all of its time, and which then waits for as long as a call may.
     */
    public double toldAfterFailedCallMs() {
        return returnMs() + connectMs + longestWaitMs();
    }

    /**
     * The longest from the moment in which a watch fell silent to the begin of a call that says what was missed, where calls
     * are answered: at once, or (asked) once they have waited. The one after an asked watch may be silent as well.
     */
    public double silenceEndsMs() {
        double anew = Math.min(FIRST_PAUSE_MS, longestPauseMs) + connectMs;
        return silenceMs + anew + (asked ? wordMs(1) : 0);
    }
}
