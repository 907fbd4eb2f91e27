package ivybank.operations;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The maintenance state ordered by operators. Immutable; a change without effect returns the same object.
 *
 * @param nodesInMaintenance the nodes in maintenance, by id, with the Unix time in milliseconds at which each was taken out
 * @param standbySinceMs the Unix time in milliseconds of the standby order; 0 if the sidecar is not on standby
 * @param standbySinceMonotonicMs the same time by the machine's monotonic clock, which all processes share; NaN if it is
 *     unknown
 */
public record MaintenanceState(
        SortedMap<String, Double> nodesInMaintenance, double standbySinceMs, double standbySinceMonotonicMs) {

    /** The state without any order. */
    public static final MaintenanceState NONE = new MaintenanceState(Collections.emptySortedMap(), 0, Double.NaN);
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
        return new MaintenanceState(next, standbySinceMs, standbySinceMonotonicMs);
    }

    /** Ends the maintenance of a node. */
    public MaintenanceState exitMaintenance(String node) {
        if (!nodesInMaintenance.containsKey(node)) {
            return this;
        }
        SortedMap<String, Double> next = new TreeMap<>(nodesInMaintenance);
        next.remove(node);
        return new MaintenanceState(next, standbySinceMs, standbySinceMonotonicMs);
    }

    /**
     * Puts the sidecar on standby; keeps the time of an earlier standby order that still holds.
     *
     * @param nowMs the current Unix time in milliseconds
     * @param monotonicMs the current time of the machine's monotonic clock in milliseconds
     */
    public MaintenanceState enterStandby(double nowMs, double monotonicMs) {
        return isOnStandby() ? this : new MaintenanceState(nodesInMaintenance, nowMs, monotonicMs);
    }

    /** Ends the standby of the sidecar. */
    public MaintenanceState exitStandby() {
        return isOnStandby() ? new MaintenanceState(nodesInMaintenance, 0, Double.NaN) : this;
    }

    /**
     * Returns the same state with times of this process's clock, which the clock of the process that wrote the file may
     * differ from, as it may have been stepped since: for a node, when this process observed its order; for the standby, its
     * order's time by the monotonic clock, however late this process has started.
     *
     * @param before the previous state on file
     * @param beforeObserved the previous state with the times of this process's clock
     * @param nowMs the current time of this process
     * @param monotonicMs the current time of the machine's monotonic clock in milliseconds
     */
    public MaintenanceState withObservedTimes(
            MaintenanceState before, MaintenanceState beforeObserved, double nowMs, double monotonicMs) {
        SortedMap<String, Double> observedMaintenance = new TreeMap<>();
        nodesInMaintenance.forEach((node, sinceMs) -> observedMaintenance.put(
                node,
                sinceMs.equals(before.nodesInMaintenance.get(node))
                        ? beforeObserved.nodesInMaintenance.getOrDefault(node, nowMs)
                        : (Double) nowMs));
        boolean sameStandby = standbySinceMs == before.standbySinceMs;
        double observedStandbyMs = sameStandby ? beforeObserved.standbySinceMs : nowMs - standbyAgeMs(monotonicMs);
        return new MaintenanceState(
                observedMaintenance, isOnStandby() ? observedStandbyMs : 0, standbySinceMonotonicMs);
    }

    /** Returns the age of the standby order. One of unknown age is as old as the last phase of a standby. */
    private double standbyAgeMs(double monotonicMs) {
        double ageMs = monotonicMs - standbySinceMonotonicMs;
        return ageMs >= 0 ? ageMs : Standby.CLOSING_ALL_FROM_MS;
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
