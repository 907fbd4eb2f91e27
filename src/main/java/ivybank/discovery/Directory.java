package ivybank.discovery;

import ivybank.policy.Balancer.Status;
import ivybank.policy.Balancer.Upstream;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The nodes that discovery lists. A host keeps its number until it leaves the list. It is forgotten then, because new
 * hosts keep appearing without end. A number is never assigned twice, so a stale reference never resolves to another node.
 */
public final class Directory {

    private static final int MAX_ENDED_PROCESSES = 256;

    private final Map<String, Node> byHost = new HashMap<>();
    private final Map<Integer, Node> byId = new HashMap<>();
    private final Map<String, Integer> zones;
    private final Map<String, Integer> kinds;
    private final Consumer<Node> onRetired;
    /**
     * Start times of the processes that discovery most recently reported gone: an ended process never comes back.
     */
    private final Map<String, Double> endedProcessStarts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAX_ENDED_PROCESSES;
        }
    };
    /** The nodes that operators have taken out of service, with the time at which they did. */
    private final Map<String, Double> outOfService = new HashMap<>();

    private final StartTimes startTimes = new StartTimes();
    private int nextId;

    /**
     * Creates an empty directory; {@code onRetired} is called with each node whose connections must no longer be used.
     */
    public Directory(List<String> zones, List<String> kinds, Consumer<Node> onRetired) {
        this.zones = numbered(zones);
        this.kinds = numbered(kinds);
        this.onRetired = onRetired;
    }

    /** Returns the number of nodes that are or were listed and are not forgotten. */
    public int size() {
        return byHost.size();
    }

    /**
     * Applies an update and returns its entries in the form of the decision module. A drain and the end of a process are
     * final: where another discovery address still lists the same process as ready, that address is behind, and its entry is
     * ignored.
     */
    public List<Upstream> apply(NodeListUpdate update, double nowMs) {
        startTimes.observe(update.entries(), !update.whole(), nowMs);
        Set<Node> listedNodes = new HashSet<>();
        List<Upstream> entries = new ArrayList<>();
        Set<SocketAddress> changedAddresses = new HashSet<>();
        Collection<NodeListUpdate.Entry> latest = latestPerHost(update.entries());
        for (NodeListUpdate.Entry entry : latest) {
            if (update.fromElsewhere()
                    && endedProcessStarts.containsKey(entry.host())
                    && endedProcessStarts.get(entry.host()) == entry.startedMs()) {
                continue;
            }
            Node node = byHost.computeIfAbsent(entry.host(), this::add);
            boolean first = listedNodes.add(node) && node.listed == null;
            // Another machine or process: connections to the previous one are unusable, and a request written there
            // ends with a reset after which it may have run.
            boolean moved = !entry.address().equals(node.address) || entry.startedMs() != node.listedStartMs;
            boolean undrained = update.fromElsewhere()
                    && node.status == Status.DRAINING
                    && node.listedStartMs == entry.startedMs()
                    && entry.status() == Status.READY;
            Status status = undrained ? Status.DRAINING : entry.status();
            if (first || node.listedStartMs != entry.startedMs()) {
                node.processStartedMs = startTimes.startedMs(entry.startedMs(), nowMs);
            }
            if (moved || status != node.status) {
                changedAddresses.add(node.address);
                changedAddresses.add(entry.address());
            }
            node.address = entry.address();
            node.listedStartMs = entry.startedMs();
            node.status = status;
            node.listed = entry;
            entries.add(toUpstream(node));
            if (moved || !node.ready) {
                onRetired.accept(node);
            }
        }
        for (NodeListUpdate.Entry entry : latest) {
            if (entry.status() == Status.GONE) {
                endedProcessStarts.put(entry.host(), entry.startedMs());
                changedAddresses.add(entry.address());
                remove(byHost.get(entry.host()));
            }
        }
        if (update.whole()) {
            for (Node node : List.copyOf(byId.values())) {
                if (!listedNodes.contains(node)) {
                    changedAddresses.add(node.address);
                    remove(node);
                    if (node.outOfServiceSinceMs > 0) {
                        entries.add(toUpstream(node));
                    }
                }
            }
        }
        applyReplacements(changedAddresses, entries);
        return entries;
    }

    /**
     * Takes nodes out of service whose address another process has taken over, and returns those to service that have an address of
     * their own again; adds or replaces their entries. A list may tell of the new process before it tells of the end of the old one.
     */
    private void applyReplacements(Set<SocketAddress> changedAddresses, List<Upstream> entries) {
        Map<SocketAddress, Node> latest = new HashMap<>();
        for (Node node : byId.values()) {
            if (node.status != Status.GONE && changedAddresses.contains(node.address)) {
                latest.merge(
                        node.address, node, (one, other) -> one.listedStartMs >= other.listedStartMs ? one : other);
            }
        }
        for (Node node : byId.values()) {
            Node latestThere = latest.get(node.address);
            if (latestThere == null) {
                continue;
            }
            boolean replaced = latestThere.listedStartMs > node.listedStartMs;
            if (replaced != node.replaced) {
                node.replaced = replaced;
                entries.removeIf(entry -> entry.id() == node.id);
                entries.add(toUpstream(node));
                if (replaced) {
                    onRetired.accept(node);
                }
            }
        }
    }

    /**
     * Returns one entry for each host. Guards against a list that names a host twice: the latest start prevails, and for one
     * process the more restrictive status. Otherwise a gone and a ready entry replaced each other in turn, and the decision
     * module kept a node that the directory no longer knew.
     */
    private static Collection<NodeListUpdate.Entry> latestPerHost(List<NodeListUpdate.Entry> entries) {
        Map<String, NodeListUpdate.Entry> byHost = new LinkedHashMap<>();
        entries.forEach(entry -> byHost.merge(entry.host(), entry, Directory::prevailing));
        return byHost.values();
    }

    private static NodeListUpdate.Entry prevailing(NodeListUpdate.Entry earlier, NodeListUpdate.Entry later) {
        if (earlier.startedMs() != later.startedMs()) {
            return earlier.startedMs() > later.startedMs() ? earlier : later;
        }
        boolean laterAllowsMore = earlier.status() == Status.GONE
                || earlier.status() == Status.DRAINING && later.status() == Status.READY;
        return laterAllowsMore ? earlier : later;
    }

    /**
     * Returns the entry of a node for the decision module. A node that is out of service, or whose address has another process, is
     * draining, whatever the list says.
     */
    private Upstream toUpstream(Node node) {
        NodeListUpdate.Entry entry = node.listed;
        boolean withheld = outOfService.containsKey(node.host) || node.replaced && node.status == Status.READY;
        Status status = withheld ? Status.DRAINING : node.status;
        node.outOfServiceSinceMs = outOfService.getOrDefault(node.host, 0.0);
        node.ready = status == Status.READY;
        return new Upstream(
                node.id,
                status,
                startOf(node),
                number(zones, entry.zone()),
                number(kinds, entry.kind()),
                entry.cell(),
                entry.weight());
    }

    /**
     * Returns when a node started. A node that was restarted while it was out of service must not pass for warm: the list lags
     * by seconds, so until it reports the new start, the node counts as started when it was returned to service.
     */
    private double startOf(Node node) {
        return node.startedMs();
    }

    /**
     * Replaces the set of nodes that operators have taken out of service, by host and with the time at which they did.
     * Returns the entries that change, in the form of the decision module. This overrides the status from discovery
     * until it is revoked.
     */
    public List<Upstream> setOutOfService(Map<String, Double> nodes, double nowMs) {
        Map<String, Double> before = Map.copyOf(outOfService);
        outOfService.clear();
        outOfService.putAll(nodes);
        List<Upstream> entries = new ArrayList<>();
        for (Node node : List.copyOf(byId.values())) {
            Double since = before.get(node.host);
            boolean isOutOfService = outOfService.containsKey(node.host);
            if (isOutOfService == (since != null)) {
                continue;
            }
            if (!isOutOfService && node.processStartedMs <= since) {
                node.returnedToServiceMs = nowMs;
            }
            entries.add(toUpstream(node));
            if (isOutOfService) {
                onRetired.accept(node);
            } else if (node.status == Status.GONE) {
                forget(node);
            }
        }
        return entries;
    }

    /** Returns the number of the node on this host, or null. */
    public Integer number(String host) {
        Node node = byHost.get(host);
        return node == null ? null : node.id;
    }

    /** Returns the host of the node with this number, or null. */
    public String host(int id) {
        Node node = byId.get(id);
        return node == null ? null : node.host;
    }

    /**
     * Restores the last start of a node as another process knew it: from discovery, or from the node's return to service before
     * discovery had reported the start. Returns the entries that change, in the form of the decision module.
     */
    public List<Upstream> restoreStart(String host, double startedMs, double nowMs) {
        Node node = byHost.get(host);
        double localStartMs = node == null ? 0 : Math.min(nowMs, startedMs + node.clockCorrectionMs());
        if (node == null || localStartMs <= startOf(node)) {
            return List.of();
        }
        node.returnedToServiceMs = localStartMs;
        return List.of(toUpstream(node));
    }

    /**
     * Returns the start of a node by discovery's clock, which is valid in another process of this machine, whatever clock this
     * process has.
     */
    public double startByDiscoveryClockMs(String host) {
        Node node = byHost.get(host);
        return node == null ? 0 : node.startedMs() - node.clockCorrectionMs();
    }

    /** Converts a node's start by discovery's clock to this process's clock. */
    public double startByLocalClockMs(String host, double statedMs) {
        Node node = byHost.get(host);
        return node == null || statedMs <= 0 ? statedMs : statedMs + node.clockCorrectionMs();
    }

    /** Returns whether the host is listed, or was listed when it was taken out of service. */
    public boolean contains(String host) {
        return byHost.containsKey(host);
    }

    /**
     * Removes a node from the list. A node that is out of service keeps its number meanwhile, because operators restart it.
     */
    private void remove(Node node) {
        if (node != null && node.outOfServiceSinceMs > 0) {
            node.status = Status.GONE;
        } else {
            forget(node);
        }
    }

    private void forget(Node node) {
        if (node != null) {
            node.ready = false;
            onRetired.accept(node);
            byHost.remove(node.host);
            byId.remove(node.id);
        }
    }

    /** Returns the node with this number, or null. */
    public Node node(int id) {
        return byId.get(id);
    }

    long readyCount() {
        return byId.values().stream().filter(node -> node.ready).count();
    }

    private Node add(String host) {
        Node node = new Node(nextId++, host);
        byId.put(node.id, node);
        return node;
    }

    private static Map<String, Integer> numbered(List<String> names) {
        Map<String, Integer> numbers = new HashMap<>();
        names.forEach(name -> number(numbers, name));
        return numbers;
    }

    private static int number(Map<String, Integer> numbers, String name) {
        return numbers.computeIfAbsent(name, unseen -> numbers.size());
    }
}
