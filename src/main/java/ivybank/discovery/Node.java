package ivybank.discovery;

import ivybank.policy.Balancer.Status;
import java.net.SocketAddress;

/** One upstream as this sidecar knows it: its number for the module, where to dial it, and whether it may be sent to. */
public final class Node {

    public final int id;
    public final String host;
    public SocketAddress address;
    public boolean ready;
    /** What discovery said last of its state; gone where a whole list left it out. */
    Status status;
    /** When its process started, as discovery told last, Unix time in milliseconds; 0 for long ago. */
    double bornMs;
    /** The same by this process's clock. */
    double processStartedMs;
    /** What discovery said last of it. */
    HostUpdate.Entry listed;
    /** Since when it has been out by the operators' order, or 0; and when it was called back last. */
    double outSinceMs;

    double calledBackMs;

    public Node(int id, String host) {
        this.id = id;
        this.host = host;
    }

    /** When its process started, or when it was called back if that is later, by this process's clock; 0 for long ago. */
    public double startedMs() {
        return Math.max(processStartedMs, calledBackMs);
    }

    /** What lies between its start as discovery states it and by this process's clock, in milliseconds. */
    double clockCorrectionMs() {
        return bornMs <= 0 ? 0 : processStartedMs - bornMs;
    }

    /** The zone that it is listed in; empty where it is not known. */
    public String zone() {
        return listed == null ? "" : listed.zone();
    }

    /** The cell that it is listed in. */
    public int cell() {
        return listed == null ? 0 : listed.cell();
    }

    @Override
    public String toString() {
        return host + " (upstream " + id + ")";
    }
}
