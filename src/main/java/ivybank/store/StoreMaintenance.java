package ivybank.store;

import java.io.IOException;
import java.util.function.Supplier;

/** Operations on the folder of a store while no daemon has it locked. */
public final class StoreMaintenance {

    private StoreMaintenance() {}

    /** Reads every record and reports what recovery would find, without changing anything. */
    public static RecoveryReport verify(Disk disk) throws IOException {
        try (disk) {
            return Recovery.verify(disk);
        }
    }

    /**
     * Creates the first store of a sidecar.
     *
     * @param ids supplies the id of the new store
     * @throws StoreException if the folder is not empty
     */
    public static StoreIdentity create(Disk disk, Limits limits, String owner, Supplier<String> ids)
            throws IOException {
        try {
            if (!disk.names().isEmpty()) {
                throw new StoreException(
                        "the folder is not empty: it contains " + disk.names().get(0) + "; nothing was changed");
            }
            StoreIdentity created = StoreIdentity.acquire(disk, owner, true, ids, line -> {});
            Recovery.run(disk, limits, false).log().close(); // closes the disk too
            return created;
        } catch (IOException | RuntimeException e) {
            disk.close();
            throw e;
        }
    }

    /**
     * Drops all dead records that can be dropped. Returns the total size of all segments before and after, in bytes.
     */
    public static long[] compact(Disk disk, Limits limits) throws IOException {
        SegmentLog log;
        try {
            log = Recovery.run(disk, limits, false).log();
        } catch (IOException | RuntimeException e) {
            disk.close();
            throw e;
        }
        try (log) {
            long usedBefore = log.usedBytes();
            log.sealActiveSegment();
            long used = Long.MAX_VALUE;
            while (log.isCompacting() || log.usedBytes() < used) {
                used = log.isCompacting() ? used : log.usedBytes();
                log.compact(1);
            }
            return new long[] {usedBefore, log.usedBytes()};
        }
    }
}
