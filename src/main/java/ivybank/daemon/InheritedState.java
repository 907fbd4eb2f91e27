package ivybank.daemon;

import ivybank.common.Clock;
import ivybank.discovery.Directory;
import ivybank.handover.LearnedState;
import ivybank.policy.Balancer;
import ivybank.policy.Balancer.ListKind;
import ivybank.policy.Balancer.Upstream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Passes the state that another process of this sidecar has learned to the decision module, node by node as the list
 * names them.
 */
final class InheritedState {

    private final Directory directory;
    private final Balancer balancer;
    private final ModuleEvents events;
    private final Clock clock;
    private final Set<Integer> restored = new HashSet<>();
    /** The inherited state until discovery has sent its first full list, then null; null where there is none. */
    private LearnedState<String> learned;

    private double confidence;

    InheritedState(Directory directory, Balancer balancer, ModuleEvents events, Clock clock) {
        this.directory = directory;
        this.balancer = balancer;
        this.events = events;
        this.clock = clock;
    }

    /**
     * Takes over the state that another process has learned.
     *
     * @param confidence the confidence in that state, from 0 to 1
     */
    void take(LearnedState<String> other, double confidence) {
        restored.clear();
        learned = other;
        this.confidence = confidence;
        restore();
    }

    /**
     * Handles a change of the list: restores the learned state of the nodes that it names now. After a full list
     * nothing more is restored.
     */
    void listed(ListKind kind) {
        if (learned != null) {
            restore();
            learned = kind == ListKind.FULL ? null : learned;
        }
    }

    private void restore() {
        List<Upstream> changed = new ArrayList<>();
        learned.nodes()
                .forEach((host, node) -> changed.addAll(directory.restoreStart(host, node.startedMs(), clock.nowMs())));
        if (!changed.isEmpty()) {
            events.deliver(() -> balancer.upstreams(clock.nowMs(), ListKind.DELTA, changed));
        }
        LearnedState<String> rest = restored.isEmpty() ? learned : learned.nodesOnly();
        LearnedState<Integer> here = rest.withStarts(directory::startByLocalClockMs)
                .withKeys(host -> {
                    Integer number = directory.number(host);
                    return number != null && restored.add(number) ? number : null;
                });
        events.deliver(() -> balancer.restore(here, confidence));
    }
}
