package ivybank.discovery;

import ivybank.policy.Balancer.Status;
import ivybank.policy.Balancer.Upstream;
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
 * The upstreams that discovery names. A host keeps its number until it is gone; it is forgotten then, for new ones come
 * for ever, and no number is given twice, so that what still refers to it meets no other.
 */
public final class Directory {

    private static final int MOST_ENDED = 256;

    private final Map<String, Node> byHost = new HashMap<>();
    private final Map<Integer, Node> byId = new HashMap<>();
    private final Map<String, Integer> zones;
    private final Map<String, Integer> kinds;
    private final Consumer<Node> retired;
    /** When those last started that were told gone last: a process that has ended never comes back. */
    private final Map<String, Double> ended = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MOST_ENDED;
        }
    };
    /** The nodes that operators have taken out, with when they did. */
    private final Map<String, Double> out = new HashMap<>();

    private final StartTimes startTimes = new StartTimes();
    private int nextId;

    /** Tells {@code retired} of each node whose connections are of no more use. */
    public Directory(List<String> zones, List<String> kinds, Consumer<Node> retired) {
        this.zones = numbered(zones);
        this.kinds = numbered(kinds);
        this.retired = retired;
    }

    /**
     * Takes over an update and returns its entries in the module's form. A drain, and an end, are for good: another
     * address of discovery that still has the same process ready is behind, and what it says of that is left out.
     */
    public List<Upstream> apply(HostUpdate update, double nowMs) {
        startTimes.observe(update.entries(), !update.whole(), nowMs);
        Set<Node> named = new HashSet<>();
        List<Upstream> entries = new ArrayList<>();
        Collection<HostUpdate.Entry> told = onceEach(update.entries());
        for (HostUpdate.Entry entry : told) {
            if (update.fromElsewhere()
                    && ended.containsKey(entry.host())
                    && ended.get(entry.host()) == entry.bornMs()) {
                continue;
            }
            Node node = byHost.computeIfAbsent(entry.host(), this::add);
            boolean first = named.add(node) && node.listed == null;
            // Another machine, or another process on it: what leads to the one before is of no more use, and what is
            // written
            // there ends as a reset of a request that may have run.
            boolean moved = !entry.address().equals(node.address) || entry.bornMs() != node.bornMs;
            boolean undrained = update.fromElsewhere()
                    && node.status == Status.DRAINING
                    && node.bornMs == entry.bornMs()
                    && entry.status() == Status.READY;
            Status status = undrained ? Status.DRAINING : entry.status();
            if (first || node.bornMs != entry.bornMs()) {
                node.processStartedMs = startTimes.startedMs(entry.bornMs(), nowMs);
            }
            node.address = entry.address();
            node.bornMs = entry.bornMs();
            node.status = status;
            node.listed = entry;
            entries.add(told(node));
            if (moved || !node.ready) {
                retired.accept(node);
            }
        }
        for (HostUpdate.Entry entry : told) {
            if (entry.status() == Status.GONE) {
                ended.put(entry.host(), entry.bornMs());
                leave(byHost.get(entry.host()));
            }
        }
        if (update.whole()) {
            for (Node node : List.copyOf(byId.values())) {
                if (!named.contains(node)) {
                    leave(node);
                    if (node.outSinceMs > 0) {
                        entries.add(told(node));
                    }
                }
            }
        }
        return entries;
    }

    /**
     * One entry for each host. Guards against a list that names a host twice: the process that started last counts, and of
     * one process the word that allows least. Else one that is gone and one that is ready took turns, and the module was left
     * with a node that nobody knew.
     */
    private static Collection<HostUpdate.Entry> onceEach(List<HostUpdate.Entry> entries) {
        Map<String, HostUpdate.Entry> byHost = new LinkedHashMap<>();
        entries.forEach(entry -> byHost.merge(entry.host(), entry, Directory::counts));
        return byHost.values();
    }

    private static HostUpdate.Entry counts(HostUpdate.Entry earlier, HostUpdate.Entry later) {
        if (earlier.bornMs() != later.bornMs()) {
            return earlier.bornMs() > later.bornMs() ? earlier : later;
        }
        boolean laterAllowsMore = earlier.status() == Status.GONE
                || earlier.status() == Status.DRAINING && later.status() == Status.READY;
        return laterAllowsMore ? earlier : later;
    }

    /** What the module is to be told of a node: one that is out is draining, whatever the list says. */
    private Upstream told(Node node) {
        HostUpdate.Entry entry = node.listed;
        Status status = out.containsKey(node.host) ? Status.DRAINING : node.status;
        node.outSinceMs = out.getOrDefault(node.host, 0.0);
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
     * When it started. Guards a node that was restarted while it was out against being taken for warm: the list is
     * seconds late, so that until it has told of the new start that counts as being at the call back.
     */
    private double startOf(Node node) {
        return node.startedMs();
    }

    /**
     * Takes over which nodes operators have taken out, by their ids, with when they did; returns the entries that this
     * changes in the module's form. It holds over all that discovery says until it is taken back.
     */
    public List<Upstream> takeOut(Map<String, Double> nodes, double nowMs) {
        Map<String, Double> before = Map.copyOf(out);
        out.clear();
        out.putAll(nodes);
        List<Upstream> entries = new ArrayList<>();
        for (Node node : List.copyOf(byId.values())) {
            Double since = before.get(node.host);
            boolean isOut = out.containsKey(node.host);
            if (isOut == (since != null)) {
                continue;
            }
            if (!isOut && node.processStartedMs <= since) {
                node.calledBackMs = nowMs;
            }
            entries.add(told(node));
            if (isOut) {
                retired.accept(node);
            } else if (node.status == Status.GONE) {
                forget(node);
            }
        }
        return entries;
    }

    /** The number of the node of this id, or null. */
    public Integer number(String host) {
        Node node = byHost.get(host);
        return node == null ? null : node.id;
    }

    /** The id of the node of this number, or null. */
    public String host(int id) {
        Node node = byId.get(id);
        return node == null ? null : node.host;
    }

    /**
     * Takes over from another process when a node last started as far as that one knew: from discovery, or from being called
     * back before discovery had told of it. Returns the entries that this changes in the module's form.
     */
    public List<Upstream> restoreStart(String host, double startedMs, double nowMs) {
        Node node = byHost.get(host);
        double hereMs = node == null ? 0 : Math.min(nowMs, startedMs + node.clockCorrectionMs());
        if (node == null || hereMs <= startOf(node)) {
            return List.of();
        }
        node.calledBackMs = hereMs;
        return List.of(told(node));
    }

    /** When a node started as another process of this machine may know it, whatever the clock of this one is. */
    public double startByDiscoveryClockMs(String host) {
        Node node = byHost.get(host);
        return node == null ? 0 : node.startedMs() - node.clockCorrectionMs();
    }

    /** The same by this process's clock. */
    public double startByLocalClockMs(String host, double statedMs) {
        Node node = byHost.get(host);
        return node == null || statedMs <= 0 ? statedMs : statedMs + node.clockCorrectionMs();
    }

    /** Whether a node of this id is listed, or was when it was taken out. */
    public boolean contains(String host) {
        return byHost.containsKey(host);
    }

    /** One that is out keeps its number while it is gone: operators restart it. */
    private void leave(Node node) {
        if (node != null && node.outSinceMs > 0) {
            node.status = Status.GONE;
        } else {
            forget(node);
        }
    }

    private void forget(Node node) {
        if (node != null) {
            node.ready = false;
            retired.accept(node);
            byHost.remove(node.host);
            byId.remove(node.id);
        }
    }

    /** The node of this number, or null. */
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
