package ivybank.handover;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToDoubleBiFunction;

/**
 * What the decisions of a process have learned, for the one that comes after it. Latencies in milliseconds, rates in
 * attempts a millisecond, times as Unix time in milliseconds.
 *
 * @param admittedShare the part of what is offered that is let in
 * @param extraAttempts further attempts that may still be made
 * @param classes of requests, in the order of the settings
 * @param nodes by what names a node: the module's number within a process, discovery's id between two
 * @param maxRateByKind by kind, the most that a warm node was seen to carry
 */
public record LearnedState<K>(
        double admittedShare,
        double extraAttempts,
        List<ClassState> classes,
        Map<K, NodeState> nodes,
        Map<Integer, Double> maxRateByKind) {

    /** The running median of a class's latencies, the same while all was quiet (0: not known), and from how many answers. */
    public record ClassState(double typicalMs, double quietMs, int answers) {}

    /**
     * What was learned of one node since its start at {@code startedMs} (0: long ago).
     *
     * @param rank its place in the random order of which the subset is the beginning
     * @param share its part of the draw; 0 where it was not drawn from
     * @param window attempts that may be out there at once
     * @param inFlight attempts that are out there now
     * @param aside whether it was set aside
     */
    public record NodeState(double startedMs, double rank, double share, double window, int inFlight, boolean aside) {

        public NodeState {
            if (!(rank >= 0
                    && rank <= 1
                    && share >= 0
                    && share <= 1
                    && window >= 0
                    && window <= MOST_OUT
                    && inFlight >= 0)) {
                throw new IllegalArgumentException("not what a node is remembered by");
            }
        }
    }

    /** No window is this large. */
    public static final double MOST_OUT = 1e6;

    public LearnedState {
        classes = List.copyOf(classes);
        nodes = Map.copyOf(nodes);
        maxRateByKind = Map.copyOf(maxRateByKind);
        if (!(admittedShare > 0 && admittedShare <= 1) || !(extraAttempts >= 0)) {
            throw new IllegalArgumentException("not what a sidecar is remembered by");
        }
        for (ClassState its : classes) {
            if (!(its.typicalMs > 0 && its.typicalMs < Double.MAX_VALUE && its.quietMs >= 0 && its.answers >= 0)) {
                throw new IllegalArgumentException("not what a class is remembered by");
            }
        }
    }

    /** Only what was learned of nodes. */
    public LearnedState<K> nodesOnly() {
        return new LearnedState<>(admittedShare, extraAttempts, List.of(), nodes, Map.of());
    }

    /** The same with other starts of the nodes, by their names and what stands here. */
    public LearnedState<K> withStarts(ToDoubleBiFunction<K, Double> start) {
        Map<K, NodeState> changed = new HashMap<>();
        nodes.forEach((key, node) -> changed.put(
                key,
                new NodeState(
                        start.applyAsDouble(key, node.startedMs),
                        node.rank,
                        node.share,
                        node.window,
                        node.inFlight,
                        node.aside)));
        return new LearnedState<>(admittedShare, extraAttempts, classes, changed, maxRateByKind);
    }

    /** The same with other names of the nodes; those that get no name are left out. */
    public <L> LearnedState<L> withKeys(Function<K, L> name) {
        Map<L, NodeState> renamed = new HashMap<>();
        nodes.forEach((key, node) -> {
            L other = name.apply(key);
            if (other != null) {
                renamed.put(other, node);
            }
        });
        return new LearnedState<>(admittedShare, extraAttempts, classes, renamed, maxRateByKind);
    }
}
