package ivybank.scale.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

/** How busy the processors are on which this process may run, by whatever program. */
public final class ProcessorLoad {

    private static final Path STAT = Path.of("/proc/stat");
    private static final Path STATUS = Path.of("/proc/self/status");
    private static final String ALLOWED = "Cpus_allowed_list:";
    private static final int IDLE = 4; // fields of a line of /proc/stat
    private static final int WAITING = 5;

    private final Set<Integer> allowed = new HashSet<>();
    private long idle;
    private long all;

    /** Begins to look. */
    public ProcessorLoad() throws IOException {
        for (String line : Files.readAllLines(STATUS)) {
            if (line.startsWith(ALLOWED)) {
                readList(line.substring(ALLOWED.length()).strip());
            }
        }
        takeBusyPart();
    }

    private void readList(String list) {
        for (String range : list.split(",")) {
            String[] ends = range.split("-");
            int last = Integer.parseInt(ends[ends.length - 1]);
            for (int processor = Integer.parseInt(ends[0]); processor <= last; processor++) {
                allowed.add(processor);
            }
        }
    }

    /** How many processors there are for this process. */
    public int processors() {
        return allowed.size();
    }

    /** From 0 to 1, since this was last asked; 0 if no time has passed. */
    public double takeBusyPart() throws IOException {
        long nowIdle = 0;
        long nowAll = 0;
        for (String line : Files.readAllLines(STAT)) {
            String[] fields = line.split(" +");
            if (!fields[0].matches("cpu[0-9]+") || !allowed.contains(Integer.parseInt(fields[0].substring(3)))) {
                continue;
            }
            for (int i = 1; i < fields.length; i++) {
                nowAll += Long.parseLong(fields[i]);
            }
            nowIdle += Long.parseLong(fields[IDLE]) + Long.parseLong(fields[WAITING]);
        }
        double busy = nowAll == all ? 0 : 1 - (nowIdle - idle) / (double) (nowAll - all);
        idle = nowIdle;
        all = nowAll;
        return busy;
    }
}
