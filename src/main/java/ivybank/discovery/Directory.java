package ivybank.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import ivybank.policy.Balancer.Status;
import ivybank.policy.Balancer.Upstream;

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
    public List<Upstream> apply(HostUpdate update) {
        Set<Node> named = new HashSet<>();
        List<Upstream> entries = new ArrayList<>();
        for (HostUpdate.Entry entry : update.entries()) {
            if (update.fromElsewhere() && ended.containsKey(entry.host())
                    && ended.get(entry.host()) == entry.bornMs()) {
                continue;
            }
            Node node = byHost.computeIfAbsent(entry.host(), this::add);
            named.add(node);
            boolean moved = !entry.address().equals(node.address);
            boolean undrained = update.fromElsewhere() && node.draining && node.bornMs == entry.bornMs()
                    && entry.status() == Status.READY;
            Status status = undrained ? Status.DRAINING : entry.status();
            node.address = entry.address();
            node.bornMs = entry.bornMs();
            node.ready = status == Status.READY;
            node.draining = status == Status.DRAINING;
            if (moved || !node.ready) {
                retired.accept(node);
            }
            entries.add(new Upstream(node.id, status, entry.bornMs(), number(zones, entry.zone()),
                    number(kinds, entry.kind()), entry.cell(), entry.weight()));
        }
        for (HostUpdate.Entry entry : update.entries()) {
            if (entry.status() == Status.GONE) {
                ended.put(entry.host(), entry.bornMs());
                forget(byHost.get(entry.host()));
            }
        }
        if (update.whole()) {
            List.copyOf(byId.values()).stream().filter(node -> !named.contains(node)).forEach(this::forget);
        }
        return entries;
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
