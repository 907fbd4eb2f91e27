package ivybank.handover;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToDoubleBiFunction;

/**
 * What the decision module of a process has learned, for the next process. Latencies are in milliseconds, rates in attempts per
 * millisecond, and times in Unix milliseconds.
 *
 * @param <K> the type of a node's key: the number in the decision module within a process, the id from discovery between
 *     processes
 * @param admittedFraction the fraction of the offered requests that is admitted
 * @param retryBudget the number of retries and hedges that may still be sent
 * @param classes the state of the request classes, in the order of the settings
 * @param nodes the state of the nodes by key
 * @param maxRateByKind the highest rate that a warm node was observed to carry, by kind
 */
public record LearnedState<K>(
        double admittedFraction,
        double retryBudget,
        List<ClassState> classes,
        Map<K, NodeState> nodes,
        Map<Integer, Double> maxRateByKind) {

    /**
     * The state of a request class: the running median of its latencies, the baseline, which is that median while the nodes are
     * quiet (0: unknown), and the number of answers that it is based on.
     */
    public record ClassState(double medianMs, double baselineMs, int answers) {}

    /**
     * The state of one node since its start at {@code startedMs} (0: long ago).
     *
     * @param rank its random number from 0 to 1; the nodes with the lowest ranks form the subset
     * @param share its share of the load; 0 where it was not selected from
     * @param concurrencyLimit the maximum number of attempts in flight
     * @param inFlight the current number of attempts in flight
     * @param aside whether it was set aside
     */
    public record NodeState(
            double startedMs, double rank, double share, double concurrencyLimit, int inFlight, boolean aside) {

        public NodeState {
            if (!(rank >= 0
                    && rank <= 1
                    && share >= 0
                    && share <= 1
                    && concurrencyLimit >= 0
                    && concurrencyLimit <= MAX_CONCURRENCY_LIMIT
                    && inFlight >= 0)) {
                throw new IllegalArgumentException("invalid state of a node");
            }
        }
    }

    /** The upper bound of a valid concurrency limit. */
    public static final double MAX_CONCURRENCY_LIMIT = 1e6;

    public LearnedState {
        classes = List.copyOf(classes);
        nodes = Map.copyOf(nodes);
        maxRateByKind = Map.copyOf(maxRateByKind);
        if (!(admittedFraction > 0 && admittedFraction <= 1) || !(retryBudget >= 0)) {
            throw new IllegalArgumentException("invalid state of a sidecar");
        }
        for (ClassState state : classes) {
            if (!(state.medianMs > 0
                    && state.medianMs < Double.MAX_VALUE
                    && state.baselineMs >= 0
                    && state.answers >= 0)) {
                throw new IllegalArgumentException("invalid state of a request class");
            }
        }
    }

    /** Returns this state without the request classes and the rates. */
    public LearnedState<K> nodesOnly() {
        return new LearnedState<>(admittedFraction, retryBudget, List.of(), nodes, Map.of());
    }

    /** Returns this state with other starts of the nodes, computed from their keys and the current starts. */
    public LearnedState<K> withStarts(ToDoubleBiFunction<K, Double> start) {
        Map<K, NodeState> changed = new HashMap<>();
        nodes.forEach((key, node) -> changed.put(
                key,
                new NodeState(
                        start.applyAsDouble(key, node.startedMs),
                        node.rank,
                        node.share,
                        node.concurrencyLimit,
                        node.inFlight,
                        node.aside)));
        return new LearnedState<>(admittedFraction, retryBudget, classes, changed, maxRateByKind);
    }

    /** Returns this state with other keys of the nodes; nodes without a new key are left out. */
    public <L> LearnedState<L> withKeys(Function<K, L> newKey) {
        Map<L, NodeState> renamed = new HashMap<>();
        nodes.forEach((key, node) -> {
            L renamedKey = newKey.apply(key);
            if (renamedKey != null) {
                renamed.put(renamedKey, node);
            }
        });
        return new LearnedState<>(admittedFraction, retryBudget, classes, renamed, maxRateByKind);
    }
}
