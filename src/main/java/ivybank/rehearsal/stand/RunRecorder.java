package ivybank.rehearsal.stand;

import java.util.ArrayList;
import java.util.List;

/** Collects what happens in the course of a run. Used on the event loop; the list of events is also read beside it. */
final class RunRecorder {

    private final World world;
    private final List<ScenarioRun.Event> events = new ArrayList<>();
    private final List<ScenarioRun.NodeState> nodeStates = new ArrayList<>();
    private final List<ScenarioRun.Usage> usage = new ArrayList<>();
    private final List<Double> readyAfterMs = new ArrayList<>();
    private double mostPushed;
    private double starvedMs;

    RunRecorder(World world) {
        this.world = world;
    }

    void event(String what) {
        events.add(new ScenarioRun.Event(world.nowMs(), what));
    }

    /** What happened last, for people. */
    String lastEvent() {
        return events.isEmpty()
                ? "nothing has gone wrong yet"
                : events.get(events.size() - 1).what();
    }

    /** Records the present condition of a node. */
    void nodeState(NodeServer node) {
        nodeState(node.host(), node.condition());
    }

    void nodeState(String host, String state) {
        nodeStates.add(new ScenarioRun.NodeState(world.nowMs(), host, state));
    }

    /** Records how far a cold node was pushed at most. */
    void pushed(NodeServer node) {
        mostPushed = Math.max(mostPushed, node.pushed());
    }

    void usage(ScenarioRun.Usage used) {
        usage.add(used);
    }

    /** Records for how long an event loop of a sidecar waited for a core. */
    void starved(double waitedMs) {
        starvedMs = Math.max(starvedMs, waitedMs);
    }

    /** Records how long a sidecar took from its start until it was ready, or until that was no longer waited for. */
    void started(double tookMs) {
        readyAfterMs.add(tookMs);
    }

    List<ScenarioRun.Event> events() {
        return List.copyOf(events);
    }

    List<ScenarioRun.NodeState> nodeStates() {
        return List.copyOf(nodeStates);
    }

    List<ScenarioRun.Usage> usage() {
        return List.copyOf(usage);
    }

    List<Double> readyAfterMs() {
        return List.copyOf(readyAfterMs);
    }

    double mostPushed() {
        return mostPushed;
    }

    double starvedMs() {
        return starvedMs;
    }
}
