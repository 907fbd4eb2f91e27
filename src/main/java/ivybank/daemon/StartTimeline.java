package ivybank.daemon;

import ivybank.common.ProcessAge;
import java.util.Locale;
import java.util.StringJoiner;

/**
 * Records when this process reached each step of its start, for the log. Used by all threads that take part in the
 * start.
 */
final class StartTimeline {

    private final StringJoiner steps =
            new StringJoiner(", ", "startup, time since the process began at each step: ", "");

    /** Records that a step of the start has just been reached. */
    synchronized void reached(String step) {
        steps.add(String.format(Locale.ROOT, "%s %.0f ms", step, ProcessAge.sinceFirstLineMs()));
    }

    @Override
    public synchronized String toString() {
        return steps.toString();
    }
}
