package ivybank.common;

/** The age of this process by the monotonic clock, so that a step of the wall clock does not matter. */
public final class ProcessAge {

    private static final double NANOS_IN_MS = 1e6;
    private static final long LOADED_NANOS = System.nanoTime();
    /**
     * The maximum time that the Java runtime takes, on a busy machine, before it runs the first line of the program.
     */
    private static final double MAX_RUNTIME_START_MS = 1000;

    private ProcessAge() {}

    /**
     * Returns the time since the first line of the program, in milliseconds. That line calls this method, which loads
     * the class and so starts the measurement.
     */
    public static double sinceFirstLineMs() {
        return (System.nanoTime() - LOADED_NANOS) / NANOS_IN_MS;
    }

    /** Returns the maximum age of the process, in milliseconds. */
    public static double maxMs() {
        return MAX_RUNTIME_START_MS + sinceFirstLineMs();
    }
}
