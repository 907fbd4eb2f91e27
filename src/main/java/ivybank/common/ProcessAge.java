package ivybank.common;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * How old this process is, in spans of real time: by the kernel's record of its start, so that the time that the Java runtime
 * itself takes to start counts, and a step of the wall clock does not. Where the system does not tell, from the first use of
 * this class on. Source: proc(5), {@code /proc/self/stat} field 22 and {@code /proc/uptime}.
 */
public final class ProcessAge {

    private static final Path STAT = Path.of("/proc/self/stat");
    private static final Path UPTIME = Path.of("/proc/uptime");
    /** USER_HZ is 100 on all machines that Linux shows to programs. */
    private static final double MS_IN_TICK = 10;

    private static final double MS_IN_SECOND = 1000;
    private static final double NANOS_IN_MS = 1e6;
    /** Of the fields behind the name of the program, which may hold blanks. */
    private static final int START_FIELD = 19;

    private static final long LOADED_NANOS = System.nanoTime();
    private static final double LOADED_AT_AGE_MS = readAgeMs();

    private ProcessAge() {}

    /** The age of this process, in milliseconds. */
    public static double nowMs() {
        return LOADED_AT_AGE_MS + (System.nanoTime() - LOADED_NANOS) / NANOS_IN_MS;
    }

    private static double readAgeMs() {
        try {
            return Math.max(0, ageMs(Files.readString(STAT), Files.readString(UPTIME)));
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }

    /**
     * The age of a process in milliseconds, by the texts of the two files.
     *
     * @throws IllegalArgumentException if they are not in the kernel's form
     */
    static double ageMs(String stat, String uptime) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 1).strip().split(" ");
        if (fields.length <= START_FIELD) {
            throw new IllegalArgumentException("no start of the process in: " + stat);
        }
        double upMs = Double.parseDouble(uptime.split(" ")[0]) * MS_IN_SECOND;
        return upMs - Long.parseLong(fields[START_FIELD]) * MS_IN_TICK;
    }
}
