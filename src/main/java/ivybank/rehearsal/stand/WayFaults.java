package ivybank.rehearsal.stand;

import ivybank.rehearsal.scenario.Scenario.Quality;
import ivybank.rehearsal.scenario.Scenario.Ways;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** What is wrong now on each way from one sidecar to another: all faults that meet it, together. */
final class WayFaults {

    private final Quality[][] qualities;
    private final List<Ways> faults = new ArrayList<>();
    private final List<Runnable> watchers = new ArrayList<>();

    WayFaults(int sidecars) {
        qualities = new Quality[sidecars][sidecars];
        for (Quality[] row : qualities) {
            Arrays.fill(row, Quality.GOOD);
        }
    }

    Quality quality(int from, int to) {
        return qualities[from][to];
    }

    /** Whether what one sends to the other can come at all. */
    boolean open(int from, int to) {
        return !qualities[from][to].cut();
    }

    /** From now on a fault does what it does, or no longer. */
    void set(Ways fault, boolean on) {
        if (on) {
            faults.add(fault);
        } else {
            faults.remove(fault);
        }
        for (int from = 0; from < qualities.length; from++) {
            for (int to = 0; to < qualities.length; to++) {
                int sender = from;
                int receiver = to;
                qualities[from][to] = faults.stream()
                        .filter(each -> each.meets(sender, receiver))
                        .map(Ways::quality)
                        .reduce(Quality.GOOD, Quality::and);
            }
        }
        watchers.forEach(Runnable::run);
    }

    /** Calls this after each change. */
    void watch(Runnable watcher) {
        watchers.add(watcher);
    }
}
