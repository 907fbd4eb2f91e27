package ivybank.daemon;

import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.operator.OperatorFile.StoreSettings;
import ivybank.policy.Balancer.Settings;
import ivybank.promises.PromiseRequestHandler;
import ivybank.store.FileSystemDisk;
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

    private PromiseStartup() {}

    /**
     * Returns whether a failure to open a store is permanent: caused by the store itself, whatever the disk and other
     * processes do next.
     */
    static boolean isPermanent(Throwable failure) {
        return failure instanceof StoreException && !(failure instanceof StoreInUseException);
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
