package ivybank.promises;

import ivybank.store.Disk;
import ivybank.store.Limits;
import ivybank.store.Store;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Lists and removes the promises of a store while no daemon has it locked. */
public final class OfflinePromises {

    /**
     * A promise with its request class, the name of the request (empty if it had none), its state and the Unix time of
     * its record in milliseconds.
     */
    public record StoredPromise(String requestClass, String name, PromiseState state, double atMs) {}

    private OfflinePromises() {}

    /** Returns all promises, oldest first. A request that was sent and not acked is in doubt. */
    public static List<StoredPromise> list(Disk disk, Limits limits) throws IOException {
        List<StoredPromise> promises = new ArrayList<>();
        open(disk, limits, promises).close();
        promises.sort(Comparator.comparingDouble(StoredPromise::atMs));
        return promises;
    }

    /**
     * Removes a promise, so that the same request counts as new. Returns false if there is none of this class and
     * name.
     */
    public static boolean clear(Disk disk, Limits limits, String requestClass, String name) throws IOException {
        List<StoredPromise> promises = new ArrayList<>();
        try (Store store = open(disk, limits, promises)) {
            if (promises.stream()
                    .noneMatch(promise -> promise.requestClass.equals(requestClass) && promise.name.equals(name))) {
                return false;
            }
            CompletableFuture<Store.Outcome> deleted = new CompletableFuture<>();
            store.delete((requestClass + "\n" + name).getBytes(StandardCharsets.UTF_8), deleted::complete);
            if (deleted.join() != Store.Outcome.CONFIRMED) {
                throw new IOException("the store did not record the removal: " + deleted.join());
            }
            return true;
        }
    }

    private static Store open(Disk disk, Limits limits, List<StoredPromise> promises) throws IOException {
        return Store.open(
                disk,
                limits,
                false,
                (key, value) -> {
                    PromiseRecord record = PromiseRecord.decode(value);
                    String identity = new String(key, StandardCharsets.UTF_8);
                    int separator = identity.indexOf('\n');
                    promises.add(new StoredPromise(
                            identity.substring(0, separator),
                            separator == 0 ? "" : identity.substring(separator + 1),
                            record.state() == PromiseState.ACKED ? PromiseState.ACKED : PromiseState.IN_DOUBT,
                            record.atMs()));
                },
                task -> new Thread(task, "store"));
    }
}
