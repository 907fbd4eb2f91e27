package ivybank.policy;

import ivybank.policy.Balancer.ListKind;
import ivybank.policy.Balancer.Status;
import ivybank.policy.Balancer.Upstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/** The upstreams that discovery has listed, in the order in which they were first listed, and the subset in use. */
final class HostList {

    final List<Host> hosts = new ArrayList<>();
    final List<Host> members = new ArrayList<>();
    private final Map<Integer, Host> byId = new HashMap<>();

    /** Applies a list from discovery; the state of an upstream that has restarted is replaced by a fresh one. */
    void apply(ListKind kind, List<Upstream> entries, SplittableRandom random) {
        if (kind != ListKind.DELTA) {
            hosts.forEach(HostList::markGone);
        }
        for (Upstream entry : entries) {
            Host known = byId.get(entry.id());
            double rank = known == null
                    ? random.nextDouble()
                    : known.rank; // kept over a restart, so that subsets do not change
            if (known != null && entry.startedMs() > 0 && known.listed.startedMs() != entry.startedMs()) {
                markGone(known);
                known = null;
            }
            if (known == null) {
                known = new Host(entry, rank);
                hosts.add(known);
                byId.put(entry.id(), known);
            }
            known.listed = entry;
        }
        members.removeIf(host -> !host.isReady());
        hosts.removeIf(host -> {
            boolean gone = host.listed.status() == Status.GONE;
            if (gone) {
                byId.remove(host.id, host);
            }
            return gone;
        });
    }

    /** Returns the upstream of this id, or null. */
    Host find(int id) {
        return byId.get(id);
    }

    /** Returns the upstreams that may be sent requests. */
    List<Host> ready() {
        List<Host> ready = new ArrayList<>(hosts);
        ready.removeIf(host -> !host.isReady());
        return ready;
    }

    /** Returns the member at this fraction (0 to 1) of the sum of the members' weights; null if all weights are 0. */
    Host memberAt(double fraction) {
        double remaining =
                fraction * members.stream().mapToDouble(host -> host.weight).sum();
        Host found = null;
        for (Host host : members) {
            if (host.weight > 0) {
                found = host;
                remaining -= host.weight;
                if (remaining < 0) {
                    break;
                }
            }
        }
        return found; // the last member with a weight, even if rounding leaves a remainder
    }

    /** Returns the members with latencies since the last update of the shares. */
    Stream<Host> membersWithSamples() {
        return members.stream().filter(host -> host.latencies.count() > 0);
    }

    /** Scales the members' shares to a sum of 1. */
    void normaliseShares() {
        double total = members.stream().mapToDouble(host -> host.share).sum();
        members.forEach(host -> host.share /= total);
    }

    private static void markGone(Host host) {
        Upstream old = host.listed;
        host.listed =
                new Upstream(old.id(), Status.GONE, old.startedMs(), old.zone(), old.kind(), old.cell(), old.weight());
    }
}
