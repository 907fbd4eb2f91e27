package ivybank.upstream;

import ivybank.discovery.Node;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/** The connections without a request in flight, by node. For use by one thread. */
final class IdleConnections {

    private static final Comparator<UpstreamConnection> BY_LAST_USE =
            Comparator.comparingDouble(connection -> connection.idleSinceMs);
    private static final Comparator<UpstreamConnection> BY_ANSWER =
            Comparator.comparingDouble(connection -> connection.answeredMs);

    private final Map<Node, List<UpstreamConnection>> byNode = new HashMap<>();

    void add(UpstreamConnection connection) {
        byNode.computeIfAbsent(connection.node, node -> new ArrayList<>()).add(connection);
    }

    void remove(UpstreamConnection connection) {
        List<UpstreamConnection> connections = byNode.get(connection.node);
        if (connections != null) {
            connections.remove(connection);
        }
    }

    void countEach(BiConsumer<Node, Integer> counts) {
        byNode.forEach((node, connections) -> counts.accept(node, connections.size()));
    }

    /**
     * Removes and returns the most recently used of the connections that have rested, so that surplus ones stay unused and are
     * closed; otherwise the one that has rested longest; null if there is none.
     */
    UpstreamConnection take(Node node, Predicate<UpstreamConnection> hasRested) {
        List<UpstreamConnection> connections = byNode.get(node);
        if (connections == null) {
            return null;
        }
        connections.removeIf(connection -> !connection.active()); // their close event is still to come
        UpstreamConnection chosen = connections.stream()
                .filter(hasRested)
                .max(BY_LAST_USE)
                .or(() -> connections.stream().min(BY_ANSWER))
                .orElse(null);
        connections.remove(chosen);
        return chosen;
    }

    void close(Node node) {
        List<UpstreamConnection> connections = byNode.remove(node);
        if (connections != null) {
            connections.forEach(UpstreamConnection::close);
        }
    }

    void closeAll() {
        for (Node node : byNode.keySet().toArray(Node[]::new)) {
            close(node);
        }
    }

    /** Closes the connections to a node that match the condition. */
    void closeIf(Node node, Predicate<UpstreamConnection> condition) {
        List<UpstreamConnection> closing = new ArrayList<>(byNode.getOrDefault(node, List.of()));
        closing.removeIf(condition.negate());
        closing.forEach(connection -> {
            remove(connection);
            connection.close();
        });
    }

    /** Closes the connections that have been idle since before this time, and forgets nodes without any. */
    void closeIdleSince(double beforeMs) {
        for (Node node : byNode.keySet().toArray(Node[]::new)) {
            closeIf(node, connection -> connection.idleSinceMs < beforeMs);
        }
        byNode.values().removeIf(List::isEmpty);
    }

    /** Closes the connection that has been idle longest; returns false if there is none. */
    boolean closeLongestIdle() {
        UpstreamConnection oldest =
                byNode.values().stream().flatMap(List::stream).min(BY_LAST_USE).orElse(null);
        if (oldest == null) {
            return false;
        }
        remove(oldest);
        oldest.close();
        return true;
    }
}
