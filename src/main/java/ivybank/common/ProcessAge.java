package ivybank.common;

/** How old this process is, by the monotonic clock: a step of the wall clock does not count. */
public final class ProcessAge {

    private static final double NANOS_IN_MS = 1e6;
    private static final long LOADED_NANOS = System.nanoTime();
    /** What the Java runtime takes on a busy machine before it runs the first line of the program. */
    private static final double MOST_RUNTIME_START_MS = 1000;

    private ProcessAge() {}

    /** Since the first line of the program, which calls this, in milliseconds. */
    public static double sinceFirstLineMs() {
        return (System.nanoTime() - LOADED_NANOS) / NANOS_IN_MS;
    }

    /** Its age at most, in milliseconds. */
    public static double maxMs() {
        return MOST_RUNTIME_START_MS + sinceFirstLineMs();
    }
}
