package ivybank.operations;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What operators have ordered: the nodes that are out, by their ids, with when they were taken out, and since when the
 * sidecar stands by (0: it does not). Times are Unix time in milliseconds. Immutable; an order that changes nothing gives
 * the same object back.
 */
public record MaintenanceState(SortedMap<String, Double> out, double standbySinceMs) {

    public static final MaintenanceState NONE = new MaintenanceState(Collections.emptySortedMap(), 0);
    /** More than any fleet has: what comes from outside is bounded. */
    public static final int MOST_OUT = 4096;

    public MaintenanceState {
        out = Collections.unmodifiableSortedMap(new TreeMap<>(out));
    }

    /** Takes a node out; one that is out already stays so since then, and one call back is enough for both calls. */
    public MaintenanceState takeOut(String node, double nowMs) {
        if (out.containsKey(node) || out.size() >= MOST_OUT) {
            return this;
        }
        SortedMap<String, Double> next = new TreeMap<>(out);
        next.put(node, nowMs);
        return new MaintenanceState(next, standbySinceMs);
    }

    public MaintenanceState callBack(String node) {
        if (!out.containsKey(node)) {
            return this;
        }
        SortedMap<String, Double> next = new TreeMap<>(out);
        next.remove(node);
        return new MaintenanceState(next, standbySinceMs);
    }

    /** Sends clients away; since the first such order, if there was one before. */
    public MaintenanceState standBy(double nowMs) {
        return standsBy() ? this : new MaintenanceState(out, nowMs);
    }

    public MaintenanceState activate() {
        return standsBy() ? new MaintenanceState(out, 0) : this;
    }

    /**
     * The same orders with the times at which this process saw them: those on file are of another process's clock, which may
     * have been stepped since.
     *
     * @param before the orders before
     * @param beforeSeen the same with the times at which this process saw them
     */
    public MaintenanceState asSeen(MaintenanceState before, MaintenanceState beforeSeen, double nowMs) {
        SortedMap<String, Double> outSeen = new TreeMap<>();
        out.forEach((node, sinceMs) -> outSeen.put(
                node,
                sinceMs.equals(before.out.get(node)) ? beforeSeen.out.getOrDefault(node, nowMs) : (Double) nowMs));
        boolean sameStandby = standbySinceMs == before.standbySinceMs;
        double standbySeenMs = !standsBy() ? 0 : sameStandby ? beforeSeen.standbySinceMs : nowMs;
        return new MaintenanceState(outSeen, standbySeenMs);
    }

    public boolean standsBy() {
        return standbySinceMs > 0;
    }

    public boolean isOut(String node) {
        return out.containsKey(node);
    }
}
