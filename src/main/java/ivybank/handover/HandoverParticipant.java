package ivybank.handover;

import java.util.List;
import java.util.Map;

/**
 * A decision module whose state can be handed over between the processes of one sidecar. Nodes are identified by the numbers of
 * the decision module.
 */
public interface HandoverParticipant {

    /** Returns what has been learned so far, for the next process. */
    default LearnedState<Integer> learned() {
        return new LearnedState<>(1, 0, List.of(), Map.of(), Map.of());
    }

    /**
     * Restores what another process has learned, weighted by the confidence in it (0 to 1). State of nodes that are not listed is
     * dropped. Where the number of classes differs, only the state of nodes is restored.
     */
    default void restore(LearnedState<Integer> other, double confidence) {}

    /**
     * Sets the attempts that the other processes of the sidecar have in flight, by node, and this process's share of the requests
     * that all of them are handling.
     */
    default void setSiblingLoad(Map<Integer, Integer> inFlight, double share) {}
}
