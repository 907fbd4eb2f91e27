package ivybank.scale.sweep;

import com.fasterxml.jackson.databind.JsonNode;
import ivybank.scale.plan.ScalePlan;
import ivybank.scale.process.WorkerProcess;
import ivybank.scale.result.MachineLimit;
import ivybank.scale.result.Point;
import ivybank.scale.result.Quantity;
import ivybank.scale.worker.ChangeDelays;
import ivybank.scale.worker.Worker;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * What a fleet of some size asks of its control machine, and how long it takes to settle after faults between processes: the control
 * machine stopped, a region cut off, the control machine killed and started again. The list has as many entries as there are sidecars.
 */
final class FleetSweep {

    private static final String HOME = "127.0.0.1";
    private static final String REGION = "127.0.0.2";
    private static final int REGIONS = 5;
    private static final long FIRST_VERSION = 1;
    private static final double WARM_RATE = 20;
    private static final int WARM_CHANGES = 20;
    private static final long REST_MS = 2000;
    private static final double CUT_CHANGES_PER_S = 1;
    private static final double MS_IN_SECOND = 1000;

    private final ScalePlan plan;
    private final MachineLimit limit;
    private final Path folder;

    FleetSweep(ScalePlan plan, MachineLimit limit, Path folder) {
        this.plan = plan;
        this.limit = limit;
        this.folder = folder;
    }

    List<Point> measure(int size, long seed) throws IOException, InterruptedException {
        Points points = new Points(size, seed);
        int sharing = plan.fleet().processes() + 1;
        try (Workers workers = new Workers(folder, plan.bounds().memoryMb())) {
            Server server =
                    new Server(workers.start(Worker.Kind.DISCOVERY, sharing), size, plan.zones(), FIRST_VERSION, 0);
            List<WorkerProcess> hosts = new ArrayList<>();
            for (int i = 0; i < plan.fleet().processes(); i++) {
                hosts.add(workers.start(Worker.Kind.SIDECARS, sharing));
            }
            HollowFleet fleet = new HollowFleet(hosts);
            join(server, fleet, size, seed, points);
            JsonNode warm = server.changes(WARM_RATE, WARM_CHANGES);
            fleet.await(warm.path("version").asLong());
            double restCpu = rest(server, points);
            change(server, fleet, restCpu, points);
            zone(server, fleet, size, points);
            stop(server, fleet, points);
            cut(server, fleet, size, points);
            restart(workers, server, fleet, size, points);
            workers.checkMemory();
        }
        return points.all();
    }

    private Phase phase(Server server, HollowFleet fleet) throws IOException {
        List<WorkerProcess> all = new ArrayList<>(fleet.workers());
        all.add(server.worker());
        return new Phase(all, limit);
    }

    private void join(Server server, HollowFleet fleet, int size, long seed, Points points) throws IOException {
        fleet.follow(server.address(), HOME, 1, 0); // loads what all share
        fleet.await(FIRST_VERSION);
        double emptyHeap = ListSweep.collectedHeap(server.worker());
        JsonNode before = server.counters();
        Phase phase = phase(server, fleet);
        int region = size / REGIONS;
        double fromMs = fleet.follow(server.address(), HOME, size - region - 1, seed);
        fleet.follow(server.address(), REGION, region, seed + 1);
        double lastMs = fleet.await(FIRST_VERSION);
        phase.end();
        double bytes = ListSweep.grown(before, server.counters(), "sent_bytes");
        points.add(Quantity.FLEET_JOIN, lastMs - fromMs, phase);
        points.add(Quantity.FLEET_JOIN_BYTES, bytes, phase);
        points.add(Quantity.FLEET_JOIN_SERVER_CPU, phase.of(server.worker()).cpuMs(), phase);
        points.add(Quantity.FLEET_WATCH_HEAP, ListSweep.collectedHeap(server.worker()) - emptyHeap, phase);
    }

    /** Returns the control machine's processor time at rest, in ms for each second. */
    private double rest(Server server, Points points) throws IOException, InterruptedException {
        Phase phase = new Phase(List.of(server.worker()), limit);
        Thread.sleep(REST_MS);
        phase.end();
        Phase.Use use = phase.of(server.worker());
        points.add(Quantity.FLEET_REST_SERVER_CPU, use.cpuMs() / use.seconds() / ListSweep.MS_IN_PERCENT, phase);
        return use.cpuMs() / use.seconds();
    }

    private void change(Server server, HollowFleet fleet, double restCpu, Points points) throws IOException {
        int changes = (int) Math.ceil(plan.fleet().changesPerS() * plan.fleet().seconds());
        fleet.takeDelays();
        JsonNode before = server.counters();
        Phase phase = phase(server, fleet);
        JsonNode last = server.changes(plan.fleet().changesPerS(), changes);
        fleet.await(last.path("version").asLong());
        phase.end();
        JsonNode after = server.counters();
        ChangeDelays delays = fleet.takeDelays();
        points.add(Quantity.FLEET_IN_FORCE_50, delays.percentileMs(50), phase);
        points.add(Quantity.FLEET_IN_FORCE_99, delays.percentileMs(99), phase);
        points.add(Quantity.FLEET_IN_FORCE_100, delays.percentileMs(100), phase);
        Phase.Use use = phase.of(server.worker());
        points.add(Quantity.FLEET_CHANGE_SERVER_CPU, (use.cpuMs() - restCpu * use.seconds()) / changes, phase);
        points.add(Quantity.FLEET_CHANGE_MESSAGES, ListSweep.grown(before, after, "sent_messages") / changes, phase);
        points.add(Quantity.FLEET_CHANGE_BYTES, ListSweep.grown(before, after, "sent_bytes") / changes, phase);
        points.add(Quantity.FLEET_SERVER_RESIDENT, server.worker().residentMb(), phase);
    }

    private void zone(Server server, HollowFleet fleet, int size, Points points) throws IOException {
        Phase phase = phase(server, fleet);
        JsonNode change = server.change(Math.max(1, size / plan.zones()));
        double lastMs = fleet.await(change.path("version").asLong());
        phase.end();
        points.add(
                Quantity.FLEET_ZONE_IN_FORCE_100, lastMs - change.path("at_ms").asDouble(), phase);
    }

    private void stop(Server server, HollowFleet fleet, Points points) throws IOException, InterruptedException {
        server.worker().stopped(true);
        Thread.sleep((long) (plan.fleet().stopS() * MS_IN_SECOND));
        server.worker().stopped(false);
        Phase phase = phase(server, fleet);
        JsonNode change = server.change(1);
        double lastMs = fleet.await(change.path("version").asLong());
        phase.end();
        points.add(Quantity.FLEET_STOP_SETTLED, lastMs - change.path("at_ms").asDouble(), phase);
    }

    private void cut(Server server, HollowFleet fleet, int size, Points points) throws IOException {
        server.cut(REGION);
        int changes = (int) Math.ceil(plan.fleet().cutS() * CUT_CHANGES_PER_S);
        JsonNode last = server.changes(CUT_CHANGES_PER_S, changes);
        JsonNode before = server.counters();
        Phase phase = phase(server, fleet);
        double healedMs = server.heal().path("at_ms").asDouble();
        double lastMs = fleet.await(last.path("version").asLong());
        phase.end();
        double bytes = ListSweep.grown(before, server.counters(), "sent_bytes");
        points.add(Quantity.FLEET_CUT_SETTLED, lastMs - healedMs, phase);
        points.add(Quantity.FLEET_CUT_BYTES, bytes / Math.max(1, size / REGIONS), phase);
    }

    private void restart(Workers workers, Server server, HollowFleet fleet, int size, Points points)
            throws IOException {
        long version = server.counters().path("version").asLong() + 1;
        Phase phase = new Phase(fleet.workers(), limit);
        workers.end(server.worker());
        WorkerProcess next = workers.start(Worker.Kind.DISCOVERY, plan.fleet().processes() + 1);
        Server again = new Server(next, size, plan.zones(), version, server.port());
        double listensMs = again.counters().path("at_ms").asDouble();
        double lastMs = fleet.await(version);
        phase.end();
        points.add(Quantity.FLEET_RESTART_SETTLED, lastMs - listensMs, phase);
    }
}
