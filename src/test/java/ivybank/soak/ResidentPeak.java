package ivybank.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The highest resident memory of some processes together, looked at often. */
final class ResidentPeak implements AutoCloseable {

    private static final long INTERVAL_MS = 50;
    private static final long KIB_IN_MIB = 1024;
    private static final String FIELD = "VmRSS:";

    private final List<Long> pids;
    private final Thread sampler = new Thread(this::sample, "resident memory");
    private volatile long peakKib;

    ResidentPeak(List<Long> pids) {
        this.pids = List.copyOf(pids);
        sampler.setDaemon(true);
        sampler.start();
    }

    /** Returns the highest sum so far, in MiB. */
    long mebibytes() {
        return peakKib / KIB_IN_MIB;
    }

    private void sample() {
        try {
            while (true) {
                long sumKib = 0;
                for (long pid : pids) {
                    sumKib += residentKib(pid);
                }
                peakKib = Math.max(peakKib, sumKib);
                Thread.sleep(INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long residentKib(long pid) {
        try {
            return Files.readAllLines(Path.of("/proc/" + pid + "/status"), StandardCharsets.ISO_8859_1).stream()
                    .filter(line -> line.startsWith(FIELD))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            return 0; // it has ended
        }
    }

    @Override
    public void close() {
        sampler.interrupt();
    }
}
