package ivybank.common;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The memory of this process that is resident, as Linux counts it against the process's limit. */
public final class ResidentMemory {

    private static final Path STATUS = Path.of("/proc/self/status"); // see proc(5)
    private static final String FIELD = "VmRSS:";
    private static final String UNIT = "kB";

    private ResidentMemory() {}

    /** Returns the resident memory in KiB, or -1 where the system does not tell it. */
    public static long kibibytes() {
        try {
            for (String line : Files.readAllLines(STATUS, StandardCharsets.ISO_8859_1)) {
                if (line.startsWith(FIELD)) {
                    return Long.parseLong(
                            line.substring(FIELD.length()).replace(UNIT, "").strip());
                }
            }
        } catch (IOException | NumberFormatException e) {
            return -1;
        }
        return -1;
    }
}
