package ivybank.discovery;

/**
 * How patient a sidecar is with discovery, in ms: with a watch that says nothing, with the first answer to a call, and
 * between tries at most. docs/operators/daemon.md tells why the standard values are what they are.
 */
public record Timing(int silenceMs, int firstAnswerMs, double longestPauseMs) {

    /**
     * An empty line comes every 2 s, and what could have been heard counts as told 6 s later. Guards against a watch
     * that stays open and brings nothing: after 7 s upstreams that were gone had been sent to for too long. A list is
     * asked for once too often where lines are a second late.
     */
    private static final int SILENCE_MS = 3000;
    /** Where discovery is an agent of this machine, it answers a call at once or not at all. */
    private static final int AT_ONCE_MS = 1000;
    private static final double LONGEST_PAUSE_MS = 2000;

    /** The standard; {@code asked}: whether calls wait in turn at one service for all sidecars. */
    public static Timing standard(boolean asked) {
        return new Timing(SILENCE_MS, asked ? SILENCE_MS : AT_ONCE_MS, LONGEST_PAUSE_MS);
    }
}
