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

/** Hands the module what another process of this sidecar has learned, node by node as the list names them. */
final class InheritedState {

    private final Directory directory;
    private final Balancer balancer;
    private final ModuleEvents events;
    private final Clock clock;
    private final Set<Integer> recalled = new HashSet<>();
    /** Until discovery has told its whole list; null for none. */
    private LearnedState<String> learned;

    private double trust;

    InheritedState(Directory directory, Balancer balancer, ModuleEvents events, Clock clock) {
        this.directory = directory;
        this.balancer = balancer;
        this.events = events;
        this.clock = clock;
    }

    /** Takes over what another process has learned; {@code trust}: how far it is believed, from 0 to 1. */
    void take(LearnedState<String> other, double trust) {
        recalled.clear();
        learned = other;
        this.trust = trust;
        recall();
    }

    /** The list has changed: nodes that it names now are recalled, and after a whole list nothing more is to come. */
    void listed(ListKind kind) {
        if (learned != null) {
            recall();
            learned = kind == ListKind.FULL ? null : learned;
        }
    }

    private void recall() {
        List<Upstream> changed = new ArrayList<>();
        learned.nodes()
                .forEach((host, node) -> changed.addAll(directory.restoreStart(host, node.startedMs(), clock.nowMs())));
        if (!changed.isEmpty()) {
            events.tell(() -> balancer.upstreams(clock.nowMs(), ListKind.DELTA, changed));
        }
        LearnedState<String> rest = recalled.isEmpty() ? learned : learned.nodesOnly();
        LearnedState<Integer> here = rest.withStarts(directory::startByLocalClockMs)
                .withKeys(host -> {
                    Integer number = directory.number(host);
                    return number != null && recalled.add(number) ? number : null;
                });
        events.tell(() -> balancer.recall(here, trust));
    }
}
