package ivybank.rehearsal.stand;

import ivybank.common.Addresses;
import ivybank.rehearsal.scenario.Plan.NodeSpec;
import ivybank.rehearsal.scenario.Scenario.Fault;
import ivybank.rehearsal.stand.RosterServer.Entry;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The stand-in nodes of a run, their successors, and what discovery says of them. Lives on the event loop. */
final class NodeGroup {

    /** A drained node finishes what it has, and refuses what is new after this time. */
    private static final double REJECT_AFTER_MS = 2500;

    private static final String SUCCESSOR_MARK = "x";
    private static final String SUCCESSOR_IN_PLACE_MARK = "r";

    private final RunContext run;
    private final List<RosterServer> discovery;
    private final Map<String, NodeServer> nodes = new LinkedHashMap<>();
    private final Map<String, NodeSpec> specs = new LinkedHashMap<>();
    /** By number of the plan, the host that stands there now. */
    private final List<String> hosts = new ArrayList<>();

    private final Set<String> gone = new HashSet<>();
    private int nodesMade;

    /** @param discovery the discovery server of each sidecar, those to come among them */
    NodeGroup(RunContext run, List<RosterServer> discovery) {
        this.run = run;
        this.discovery = discovery;
    }

    /** Starts the nodes of the plan. */
    void start() {
        for (NodeSpec spec : run.plan.nodes()) {
            hosts.add(spec.host());
            add(spec, false, nextAddress());
        }
    }

    /** The nodes that stand at these numbers now. */
    List<NodeServer> at(List<Integer> numbers) {
        List<NodeServer> found = new ArrayList<>();
        numbers.forEach(number -> found.add(nodes.get(hosts.get(number))));
        return found;
    }

    Collection<NodeServer> all() {
        return nodes.values();
    }

    /** Lists all nodes as ready at a new discovery server. */
    void listAt(RosterServer server) {
        nodes.keySet().forEach(host -> server.change(entry(host, "Ready")));
    }

    /** Ends a node, and has discovery say so. */
    void end(NodeServer node) {
        node.end();
        run.recorder.nodeState(node);
        announce(node.host(), "Gone");
    }

    /** Cuts a node off the network, and has discovery say that it is gone. */
    void cutOff(NodeServer node) {
        node.cutOff();
        run.recorder.nodeState(node);
        announce(node.host(), "Gone");
    }

    /**
     * Replaces nodes in batches, spread evenly over the time of the fault: drained, ended, followed by a cold one each.
     */
    void deploy(Fault fault, List<Integer> numbers) {
        int total = run.plan.nodes().size();
        int batch = Math.max(1, (int) Math.floor(fault.size() * total));
        int batches = (numbers.size() + batch - 1) / batch;
        run.recorder.event("a deploy replaces " + numbers.size() + " of " + total + " nodes, " + batch + " at a time");
        for (int i = 0; i < batches; i++) {
            List<Integer> now = numbers.subList(i * batch, Math.min(numbers.size(), (i + 1) * batch));
            run.world.after(fault.forS() * 1000 * i / batches, () -> now.forEach(number -> replace(fault, number)));
        }
        run.world.after(fault.forS() * 1000, () -> run.recorder.event("the deploy is over"));
    }

    private void replace(Fault fault, int number) {
        NodeSpec old = specs.get(hosts.get(number));
        NodeServer leaving = nodes.get(old.host());
        run.recorder.nodeState(old.host(), "draining");
        announce(old.host(), "Terminating");
        run.world.after(REJECT_AFTER_MS, () -> {
            leaving.reject();
            run.recorder.nodeState(leaving);
        });
        run.world.after(fault.extra() * 1000, () -> {
            run.recorder.pushed(leaving);
            end(leaving);
            if (standsAt(old, number)) {
                succeed(old, number, SUCCESSOR_MARK, nextAddress());
            }
        });
    }

    /** Ends a node and starts a cold one at its address: what is sent to the old one meanwhile meets the new one. */
    void replaceInPlace(Fault fault, int number) {
        NodeSpec old = specs.get(hosts.get(number));
        NodeServer leaving = nodes.get(old.host());
        run.recorder.pushed(leaving);
        end(leaving);
        run.world.after(fault.size() * 1000, () -> {
            if (standsAt(old, number)) {
                succeed(old, number, SUCCESSOR_IN_PLACE_MARK, Addresses.parse(leaving.dial()));
            }
        });
    }

    /** False where another fault has brought a successor already. */
    private boolean standsAt(NodeSpec spec, int number) {
        return hosts.get(number).equals(spec.host());
    }

    private void succeed(NodeSpec old, int number, String mark, InetSocketAddress address) {
        NodeSpec next = new NodeSpec(old.host() + mark, old.kind(), old.site(), old.speed());
        hosts.set(number, next.host());
        add(next, true, address);
        announce(next.host(), "Ready");
    }

    private InetSocketAddress nextAddress() {
        return NodeServer.address(run.world.net, nodesMade);
    }

    private void add(NodeSpec spec, boolean cold, InetSocketAddress address) {
        NodeModel model = new NodeModel(
                spec.kind(),
                spec.speed(),
                run.scenario.cold(),
                run.scenario.choke(),
                cold ? run.world.nowMs() : Double.NEGATIVE_INFINITY);
        NodeServer node = new NodeServer(
                run.world,
                spec.host(),
                spec.site(),
                model,
                spec.kind().connections(),
                spec.kind().connectMs(),
                address,
                cold,
                run.plan.seed() + ++nodesMade);
        nodes.put(spec.host(), node);
        run.recorder.nodeState(node);
        if (cold) {
            run.world.after(run.scenario.cold().warmS() * 1000, () -> run.recorder.nodeState(node));
        }
        specs.put(spec.host(), spec);
    }

    private Entry entry(String host, String health) {
        NodeServer node = nodes.get(host);
        NodeSpec spec = specs.get(host);
        return new Entry(host, node.dial(), spec.site(), spec.kind().name(), health, node.bornUnixMs());
    }

    /** Tells each discovery server of a change, at a time of its own. */
    private void announce(String host, String health) {
        if (gone.contains(host)) {
            return; // two faults met it: it does not come back
        }
        if (health.equals("Gone")) {
            gone.add(host);
        }
        Entry entry = entry(host, health);
        double[] notice = run.scenario.roster().noticeMs();
        for (int i = 0; i < discovery.size(); i++) {
            RosterServer server = discovery.get(i);
            double part = discovery.size() == 1 ? 0.5 : (double) i / (discovery.size() - 1);
            run.world.after(notice[0] + part * (notice[1] - notice[0]), () -> server.change(entry));
        }
    }
}
