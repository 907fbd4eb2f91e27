package ivybank.rehearsal.stand;

import com.fasterxml.jackson.databind.node.ObjectNode;
import ivybank.rehearsal.scenario.Plan.Target;
import ivybank.rehearsal.scenario.Scenario.Fault;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

/** Brings about the faults of a plan at their times. Lives on the event loop. */
final class FaultInjector {

    private final RunContext run;
    private final NodeGroup nodes;
    private final SidecarGroup sidecars;
    private final SidecarFaults sidecarFaults;

    FaultInjector(RunContext run, NodeGroup nodes, SidecarGroup sidecars, SidecarFaults sidecarFaults) {
        this.run = run;
        this.nodes = nodes;
        this.sidecars = sidecars;
        this.sidecarFaults = sidecarFaults;
    }

    /** Schedules all faults of the plan. */
    void schedule() {
        for (Target target : run.plan.targets()) {
            run.world.at(target.fault().atS() * 1000, () -> inject(target));
        }
    }

    private void inject(Target target) {
        Fault fault = target.fault();
        List<Integer> hit = target.members();
        switch (fault.kind()) {
            case SILENT, SLOW, SPOIL, BREAK, REPLACE, DIE, VANISH, DEPLOY -> injectIntoNodes(fault, hit);
            case ROSTER_SILENT, ROSTER_ODD, ROSTER_HUSH, ROSTER_RESET, ROSTER_OLD, ROSTER_MOVE ->
                injectIntoDiscovery(fault, hit);
            case KILL, TERM -> sidecarFaults.restart(fault, hit);
            case PARTITION, LINK -> sidecarFaults.breakWays(fault, hit);
            case FREEZE -> sidecarFaults.freeze(fault, hit);
            case JOIN -> sidecarFaults.join(hit);
            case LOSE -> sidecarFaults.lose(hit);
            case TWICE -> sidecarFaults.startTwice(fault, hit);
            case STORM -> {
                // The faults that it is made of are injected by themselves.
            }
        }
    }

    private void injectIntoNodes(Fault fault, List<Integer> hit) {
        List<NodeServer> servers = nodes.at(hit);
        String percent = Math.round(100 * fault.size()) + "%";
        String count = servers.size() + " nodes";
        switch (fault.kind()) {
            case SILENT -> whileOn(fault, servers, count + " accept and answer nothing", (node, on) -> node.silent(on));
            case SLOW ->
                whileOn(
                        fault,
                        servers,
                        "a neighbour takes " + percent + " of " + count,
                        (node, on) -> node.neighbour(on ? fault.size() : 0));
            case SPOIL ->
                whileOn(
                        fault,
                        servers,
                        percent + " of the answers of " + count + " are spoilt",
                        (node, on) -> node.spoil(on ? fault.size() : 0));
            case BREAK ->
                whileOn(
                        fault,
                        servers,
                        percent + " of the exchanges with " + count + " are broken in between",
                        (node, on) -> node.broken(on ? fault.size() : 0));
            case REPLACE -> {
                run.recorder.event(count + " are replaced at their addresses");
                hit.forEach(number -> nodes.replaceInPlace(fault, number));
            }
            case DIE -> {
                run.recorder.event(count + " die");
                servers.forEach(nodes::end);
            }
            case VANISH -> {
                run.recorder.event(count + " are cut off");
                servers.forEach(nodes::cutOff);
            }
            case DEPLOY -> nodes.deploy(fault, hit);
            default -> throw new IllegalArgumentException(fault.kind() + " is no fault of nodes");
        }
    }

    private void injectIntoDiscovery(Fault fault, List<Integer> hit) {
        String count = hit.size() + " sidecars";
        switch (fault.kind()) {
            case ROSTER_SILENT ->
                whileOn(
                        fault,
                        "the roster says nothing to " + count,
                        on -> hit.forEach(number -> sidecars.discovery(number).silent(on)));
            case ROSTER_ODD -> {
                run.recorder.event("the roster sends a line that can't be read to " + count);
                hit.forEach(number -> sidecars.discovery(number).odd());
            }
            case ROSTER_HUSH -> {
                run.recorder.event("the watches of " + count + " fall silent");
                hit.forEach(number -> sidecars.discovery(number).hush());
            }
            case ROSTER_RESET -> {
                run.recorder.event("the watches of " + count + " are reset");
                hit.forEach(number -> sidecars.discovery(number).resetWatches());
            }
            case ROSTER_OLD -> {
                run.recorder.event("the roster moves to an address that is " + fault.size() + " s behind");
                hit.forEach(number -> sidecars.discovery(number).fallBehind(fault.size() * 1000));
                hit.forEach(this::moveDiscovery);
            }
            case ROSTER_MOVE -> {
                run.recorder.event("the roster moves for " + count);
                hit.forEach(this::moveDiscovery);
            }
            default -> throw new IllegalArgumentException(fault.kind() + " is no fault of discovery");
        }
    }

    /** Moves a sidecar's discovery server to another address, and tells the sidecar by its configuration. */
    private void moveDiscovery(int number) {
        RosterServer server = sidecars.discovery(number);
        SidecarProcess sidecar = sidecars.process(number);
        server.move();
        String address = server.address();
        ObjectNode known = server.known();
        run.workers.execute(() -> {
            try {
                sidecar.configure(address, known);
                sidecar.signal("HUP");
            } catch (IOException e) {
                run.eventFromWorker("the configuration of " + sidecar + " could not be replaced: " + e.getMessage());
            }
        });
    }

    /** Turns a fault of a node on or off. */
    private interface NodeSwitch {
        void set(NodeServer node, boolean on);
    }

    private void whileOn(Fault fault, List<NodeServer> servers, String what, NodeSwitch nodeSwitch) {
        whileOn(
                fault,
                what,
                on -> servers.forEach(node -> {
                    nodeSwitch.set(node, on);
                    run.recorder.nodeState(node);
                }));
    }

    private void whileOn(Fault fault, String what, Consumer<Boolean> turn) {
        run.recorder.event(what);
        turn.accept(true);
        run.world.after(fault.forS() * 1000, () -> {
            run.recorder.event("over: " + what);
            turn.accept(false);
        });
    }
}
