package ivybank.operations;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The maintenance state ordered by operators: the nodes in maintenance, by id, with the time at which each was taken
 * out, and the time since which the sidecar is on standby (0 if it is not). Times are Unix time in milliseconds.
 * Immutable; a change without effect returns the same object.
 */
public record MaintenanceState(SortedMap<String, Double> nodesInMaintenance, double standbySinceMs) {

    /** The state without any order. */
    public static final MaintenanceState NONE = new MaintenanceState(Collections.emptySortedMap(), 0);
    /** Limits how many nodes can be in maintenance: above the size of any fleet, and bounds external input. */
    public static final int MAX_NODES_IN_MAINTENANCE = 4096;

    public MaintenanceState {
        nodesInMaintenance = Collections.unmodifiableSortedMap(new TreeMap<>(nodesInMaintenance));
    }

    /** Puts a node into maintenance. A node that already is keeps its time, and a single exit ends both orders. */
    public MaintenanceState enterMaintenance(String node, double nowMs) {
        if (nodesInMaintenance.containsKey(node) || nodesInMaintenance.size() >= MAX_NODES_IN_MAINTENANCE) {
            return this;
        }
        SortedMap<String, Double> next = new TreeMap<>(nodesInMaintenance);
        next.put(node, nowMs);
        return new MaintenanceState(next, standbySinceMs);
    }

    /** Ends the maintenance of a node. */
    public MaintenanceState exitMaintenance(String node) {
        if (!nodesInMaintenance.containsKey(node)) {
            return this;
        }
        SortedMap<String, Double> next = new TreeMap<>(nodesInMaintenance);
        next.remove(node);
        return new MaintenanceState(next, standbySinceMs);
    }

    /** Puts the sidecar on standby; keeps the time of an earlier standby order that still holds. */
    public MaintenanceState enterStandby(double nowMs) {
        return isOnStandby() ? this : new MaintenanceState(nodesInMaintenance, nowMs);
    }

    /** Ends the standby of the sidecar. */
    public MaintenanceState exitStandby() {
        return isOnStandby() ? new MaintenanceState(nodesInMaintenance, 0) : this;
    }

    /**
     * Returns the same state with the times at which this process observed each order. The times on file come from the
     * clock of another process, which may have been stepped since.
     *
     * @param before the previous state on file
     * @param beforeObserved the previous state with the times at which this process observed it
     * @param nowMs the current time of this process
     */
    public MaintenanceState withObservedTimes(MaintenanceState before, MaintenanceState beforeObserved, double nowMs) {
        SortedMap<String, Double> observedMaintenance = new TreeMap<>();
        nodesInMaintenance.forEach((node, sinceMs) -> observedMaintenance.put(
                node,
                sinceMs.equals(before.nodesInMaintenance.get(node))
                        ? beforeObserved.nodesInMaintenance.getOrDefault(node, nowMs)
                        : (Double) nowMs));
        boolean sameStandby = standbySinceMs == before.standbySinceMs;
        double observedStandbyMs = !isOnStandby() ? 0 : sameStandby ? beforeObserved.standbySinceMs : nowMs;
        return new MaintenanceState(observedMaintenance, observedStandbyMs);
    }

    /** Returns the standby order. */
    public Standby standby() {
        return new Standby(standbySinceMs);
    }

    /** Returns whether the sidecar is on standby. */
    public boolean isOnStandby() {
        return standbySinceMs > 0;
    }

    /** Returns whether the node is in maintenance. */
    public boolean isInMaintenance(String node) {
        return nodesInMaintenance.containsKey(node);
    }
}
