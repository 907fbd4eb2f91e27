package forkramp.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import forkramp.Balancer.Status;
import forkramp.Balancer.Upstream;

/** The upstreams that discovery has named. A host keeps its number for good, also when it leaves and comes back. */
final class Directory {

    private final Map<String, Node> byHost = new HashMap<>();
    private final List<Node> byId = new ArrayList<>();
    private final Map<String, Integer> zones;
    private final Map<String, Integer> kinds;
    private final Consumer<Node> retired;

    /** Tells {@code retired} of each node whose connections are of no more use. */
    Directory(List<String> zones, List<String> kinds, Consumer<Node> retired) {
        this.zones = numbered(zones);
        this.kinds = numbered(kinds);
        this.retired = retired;
    }

    /** Takes over an update and returns its entries in the module's form. */
    List<Upstream> apply(HostUpdate update) {
        Set<Node> named = new HashSet<>();
        List<Upstream> entries = new ArrayList<>();
        for (HostUpdate.Entry entry : update.entries()) {
            Node node = byHost.computeIfAbsent(entry.host(), this::add);
            named.add(node);
            boolean moved = !entry.address().equals(node.address);
            node.address = entry.address();
            node.ready = entry.status() == Status.READY;
            if (moved || !node.ready) {
                retired.accept(node);
            }
            entries.add(new Upstream(node.id, entry.status(), entry.bornMs(), number(zones, entry.zone()),
                    number(kinds, entry.kind()), entry.cell(), entry.weight()));
        }
        if (update.whole()) {
            for (Node node : byId) {
                if (node.ready && !named.contains(node)) {
                    node.ready = false;
                    retired.accept(node);
                }
            }
        }
        return entries;
    }

    /** The node of this number, or null. */
    Node node(int id) {
        return id >= 0 && id < byId.size() ? byId.get(id) : null;
    }

    long readyCount() {
        return byId.stream().filter(node -> node.ready).count();
    }

    private Node add(String host) {
        Node node = new Node(byId.size(), host);
        byId.add(node);
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
