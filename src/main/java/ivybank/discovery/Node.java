package ivybank.discovery;

import ivybank.policy.Balancer.Status;
import java.net.SocketAddress;

/**
 * A node as this sidecar knows it: its number in the decision module, its address, and whether requests may be sent to it.
 */
public final class Node {

    public final int id;
    public final String host;
    public SocketAddress address;
    public boolean ready;
    /** The last status from discovery; {@code GONE} where a whole list left the node out. */
    Status status;
    /** Whether a process that started later is listed at the same address. */
    boolean replaced;
    /** The start of the node's process as discovery last stated it, in Unix milliseconds; 0 for long ago. */
    double listedStartMs;
    /** The start of the node's process by the clock of this process. */
    double processStartedMs;
    /** The last entry from discovery. */
    NodeListUpdate.Entry listed;
    /** The time since which operators have had the node out of service, or 0. */
    double outOfServiceSinceMs;

    /** The time of the node's last return to service. */
    double returnedToServiceMs;

    public Node(int id, String host) {
        this.id = id;
        this.host = host;
    }

    /**
     * Returns the start of the node's process, or its return to service if that is later, by the clock of this process;
     * 0 for long ago.
     */
    public double startedMs() {
        return Math.max(processStartedMs, returnedToServiceMs);
    }

    /**
     * Returns the difference between the node's start by the clock of this process and as discovery states it, in
     * milliseconds.
     */
    double clockCorrectionMs() {
        return listedStartMs <= 0 ? 0 : processStartedMs - listedStartMs;
    }

    /** Returns the zone in which the node is listed; empty where it is not known. */
    public String zone() {
        return listed == null ? "" : listed.zone();
    }

    /** Returns the cell in which the node is listed. */
    public int cell() {
        return listed == null ? 0 : listed.cell();
    }

    @Override
    public String toString() {
        return host + " (upstream " + id + ")";
    }
}
