package ivybank.handover;

import java.util.List;
import java.util.Map;

/** Decisions that can be handed over between the processes of one sidecar. Nodes are named by the module's numbers. */
public interface HandoverParticipant {

    /** What was learned so far, for the process that comes after this one. */
    default LearnedState<Integer> learned() {
        return new LearnedState<>(1, 0, List.of(), Map.of(), Map.of());
    }

    /**
     * Takes over what another process has learned, as far as it is believed (0 to 1). Of nodes that are not listed nothing
     * is kept; classes of another number than the own ones say that only the nodes count.
     */
    default void recall(LearnedState<Integer> other, double trust) {}

    /** Tells what another process has out by node, and this one's part of the requests that both have in hand. */
    default void setSiblingLoad(Map<Integer, Integer> out, double part) {}
}
