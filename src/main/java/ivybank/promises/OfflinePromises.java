package ivybank.promises;

import ivybank.promises.PromiseTable.State;
import ivybank.store.Disk;
import ivybank.store.Limits;
import ivybank.store.Store;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The promises in a folder that no daemon holds. */
public final class OfflinePromises {

    /** One of them: the class and the name of its request (empty: it had none), since when in Unix ms. */
    public record StoredPromise(String requestClass, String name, State state, double atMs) {}

    private OfflinePromises() {}

    /** All of them, the oldest first; what was sent and not acked is in doubt. */
    public static List<StoredPromise> list(Disk disk, Limits limits) throws IOException {
        List<StoredPromise> all = new ArrayList<>();
        open(disk, limits, all).close();
        all.sort(Comparator.comparingDouble(StoredPromise::atMs));
        return all;
    }

    /** Forgets one, so that the same request is new; false if there is none of this class and name. */
    public static boolean clear(Disk disk, Limits limits, String requestClass, String name) throws IOException {
        List<StoredPromise> all = new ArrayList<>();
        try (Store store = open(disk, limits, all)) {
            if (all.stream().noneMatch(kept -> kept.requestClass.equals(requestClass) && kept.name.equals(name))) {
                return false;
            }
            CompletableFuture<Store.Outcome> done = new CompletableFuture<>();
            store.delete((requestClass + "\n" + name).getBytes(StandardCharsets.UTF_8), done::complete);
            if (done.join() != Store.Outcome.CONFIRMED) {
                throw new IOException("the disk did not take it: " + done.join());
            }
            return true;
        }
    }

    private static Store open(Disk disk, Limits limits, List<StoredPromise> all) throws IOException {
        return Store.open(
                disk,
                limits,
                false,
                (key, value) -> {
                    Entry entry = Entry.read(value);
                    String identity = new String(key, StandardCharsets.UTF_8);
                    int split = identity.indexOf('\n');
                    all.add(new StoredPromise(
                            identity.substring(0, split),
                            split == 0 ? "" : identity.substring(split + 1),
                            entry.state() == State.ACKED ? State.ACKED : State.IN_DOUBT,
                            entry.atMs()));
                },
                task -> new Thread(task, "store"));
    }
}
