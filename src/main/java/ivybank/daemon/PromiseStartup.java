package ivybank.daemon;

import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.memory.MemoryTable;
import ivybank.operator.OperatorFile.StoreSettings;
import ivybank.policy.Balancer.Settings;
import ivybank.promises.PromiseRequestHandler;
import ivybank.promises.PromiseTable;
import ivybank.store.FileSystemDisk;
import ivybank.store.Store;
import ivybank.store.StoreException;
import ivybank.store.StoreIdentity;
import ivybank.store.StoreInUseException;
import java.io.IOException;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Opens the store that promises are kept in. A class of its own, so that a sidecar without promises loads no class of
 * the store.
 */
final class PromiseStartup {

    /** What is to be written is held as an answer and as its record. */
    private static final long RECORD_COPIES = 2;
    /** A start and a compaction read one segment, while another one is collected for its checkpoint. */
    private static final int SEGMENTS_AT_A_TIME = 2;

    /** The least number of identities that the settings allow. */
    private static final int MIN_IDENTITIES = 100;

    private PromiseStartup() {}

    /**
     * Returns whether a failure to open a store is permanent: caused by the store itself, whatever the disk and other
     * processes do next.
     */
    static boolean isPermanent(Throwable failure) {
        return failure instanceof StoreException && !(failure instanceof StoreInUseException);
    }

    /** Returns what a store with these settings takes on the heap. */
    static MemoryTable.Store memory(StoreSettings store) {
        long bytesPerIdentity = PromiseTable.MAX_BYTES_PER_IDENTITY + (long) Store.MAX_BYTES_PER_KEY;
        long bufferBytes = RECORD_COPIES * store.limits().waiting()
                + (long) SEGMENTS_AT_A_TIME * store.limits().segment();
        return new MemoryTable.Store(store.promises().most(), bytesPerIdentity, bufferBytes);
    }

    /**
     * Returns the settings with as many identities as fit into memory, if that are fewer; the log tells so.
     *
     * @throws ConfigException if not even the least number fits
     */
    static StoreSettings fitted(StoreSettings store, MemoryTable.Limits limits, Log log) throws ConfigException {
        MemoryTable table = MemoryTable.of(limits.withStore(memory(store)));
        if (table.storeFits()) {
            return store;
        }
        long most = table.maxStoreIdentities();
        String reason = "store " + store.folder() + ": most = "
                + store.promises().most() + " does not fit into memory (" + table + ")";
        if (most < MIN_IDENTITIES) {
            throw new ConfigException(
                    reason + ": limits.memory_mb has to be raised, or waiting_kb and segment_kb lowered");
        }
        log.line(reason + ": only " + most + " identities are kept, the oldest are forgotten beyond");
        return store.withMost((int) most);
    }

    /** Locks and opens the store, and the promises in it. */
    static PromiseRequestHandler open(
            StoreSettings store, String name, Settings settings, ScheduledExecutorService loop, Clock clock, Log log)
            throws IOException {
        return open(FileSystemDisk.lock(store.folder()), store, name, settings, loop, clock, log);
    }

    /** Opens a store that this process has locked, and the promises in it. Closes the disk where that fails. */
    static PromiseRequestHandler open(
            FileSystemDisk disk,
            StoreSettings store,
            String name,
            Settings settings,
            ScheduledExecutorService loop,
            Clock clock,
            Log log)
            throws IOException {
        try {
            StoreIdentity identity = StoreIdentity.acquire(
                    disk,
                    name,
                    store.firstStart(),
                    () -> UUID.randomUUID().toString(),
                    line -> log.line("store " + store.folder() + ": " + line));
            log.line("store " + store.folder() + ": id " + identity.id() + ", incarnation " + identity.incarnation());
        } catch (IOException | RuntimeException e) {
            disk.close();
            throw e;
        }
        return new PromiseRequestHandler(
                store.promises(), settings, disk, store.limits(), store.degrade(), loop, clock, log);
    }
}
