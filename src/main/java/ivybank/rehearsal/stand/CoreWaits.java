package ivybank.rehearsal.stand;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * How long the event loops of a process were ready to run and got no core: the run delay of {@code /proc/PID/task/TID/schedstat}
 * (sched-stats in the documentation of Linux). What a process that gets no core answers too late is the machine's fault. Not for
 * use by several threads.
 */
public final class CoreWaits {

    /** As much of the name of Netty's event loop threads as the system keeps. */
    private static final String EVENT_LOOP = "multiThreadIoEv";

    private static final int RUN_DELAY = 1;
    private static final double NANOS_IN_MS = 1e6;

    private final Path tasks;
    private final Map<Path, Long> waitedNanos = new HashMap<>();

    /** @param pid the process */
    public CoreWaits(long pid) {
        this.tasks = Path.of("/proc", String.valueOf(pid), "task");
    }

    /**
     * Returns the longest that one of the event loops has waited for a core since the last call, in milliseconds; 0 on the first
     * call, and where the system does not tell.
     */
    public double longestMs() {
        try {
            if (waitedNanos.isEmpty()) {
                findEventLoops();
            }
            double longestMs = 0;
            for (Map.Entry<Path, Long> each : waitedNanos.entrySet()) {
                long nowNanos = waitedNanos(each.getKey());
                longestMs = Math.max(longestMs, (nowNanos - each.getValue()) / NANOS_IN_MS);
                each.setValue(nowNanos);
            }
            return longestMs;
        } catch (IOException | NumberFormatException | ArrayIndexOutOfBoundsException e) {
            waitedNanos.clear(); // it has ended, or the system does not tell
            return 0;
        }
    }

    private void findEventLoops() throws IOException {
        try (var all = Files.list(tasks)) {
            for (Path task : all.toList()) {
                if (Files.readString(task.resolve("comm")).startsWith(EVENT_LOOP)) {
                    waitedNanos.put(task, waitedNanos(task));
                }
            }
        }
    }

    private static long waitedNanos(Path task) throws IOException {
        return Long.parseLong(
                Files.readString(task.resolve("schedstat")).strip().split(" ")[RUN_DELAY]);
    }
}
