package ivybank.rehearsal.stand;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * How much of the processor time that programs of this machine wanted its host gave to other machines: the steal time of
 * {@code /proc/stat} (proc(5)), over all processors. A program that waits for nothing stands still meanwhile.
 */
public final class StolenTime {

    private static final Path STAT = Path.of("/proc/stat");
    /** Fields of the line of all processors, after its name. */
    private static final int IDLE = 3;

    private static final int WAITING = 4;
    private static final int STEAL = 7;
    /** What comes after these is counted in them already. */
    private static final int FIELDS = 8;

    private final long[] before;

    private StolenTime(long[] before) {
        this.before = before;
    }

    /**
     * Counts from now on.
     *
     * @throws IOException if the system does not tell
     */
    public static StolenTime begin() throws IOException {
        return new StolenTime(read());
    }

    private static long[] read() throws IOException {
        String[] fields = Files.readAllLines(STAT).get(0).split(" +");
        return Arrays.stream(fields)
                .skip(1)
                .limit(FIELDS)
                .mapToLong(Long::parseLong)
                .toArray();
    }

    /**
     * Returns the stolen part, from 0 to 1, since it was begun.
     *
     * @throws IOException if the system does not tell
     */
    public double part() throws IOException {
        return part(before, read());
    }

    static double part(long[] before, long[] after) {
        long wanted = 0;
        for (int field = 0; field < FIELDS; field++) {
            wanted += field == IDLE || field == WAITING ? 0 : after[field] - before[field];
        }
        return wanted == 0 ? 0 : (after[STEAL] - before[STEAL]) / (double) wanted;
    }
}
