package ivybank.store;

import java.io.IOException;
import java.util.function.Supplier;

/** What can be done with the folder of a store while no daemon holds it. */
public final class StoreMaintenance {

    private StoreMaintenance() {}

    /** Reads every record and tells what a start would find; changes nothing. */
    public static RecoveryReport verify(Disk disk) throws IOException {
        try (disk) {
            return Recovery.check(disk);
        }
    }

    /**
     * Makes the first store of a sidecar.
     *
     * @throws StoreException if the folder has one, or what is left of one
     */
    public static StoreIdentity create(Disk disk, Limits limits, String owner, Supplier<String> ids)
            throws IOException {
        try {
            if (!disk.names().isEmpty()) {
                throw new StoreException(
                        "the folder is not empty: it has " + disk.names().get(0) + ", and nothing is changed");
            }
            StoreIdentity made = StoreIdentity.acquire(disk, owner, true, ids, line -> {});
            Recovery.run(disk, limits, false).log().close(); // and the disk with it
            return made;
        } catch (IOException | RuntimeException e) {
            disk.close();
            throw e;
        }
    }

    /** Drops all that is dead and can be dropped; returns the bytes of records before and after. */
    public static long[] compact(Disk disk, Limits limits) throws IOException {
        SegmentLog log;
        try {
            log = Recovery.run(disk, limits, false).log();
        } catch (IOException | RuntimeException e) {
            disk.close();
            throw e;
        }
        try (log) {
            long before = log.used();
            log.finishSegment();
            long used = Long.MAX_VALUE;
            while (log.isCompacting() || log.used() < used) {
                used = log.isCompacting() ? used : log.used();
                log.compact(1);
            }
            return new long[] {before, log.used()};
        }
    }
}
