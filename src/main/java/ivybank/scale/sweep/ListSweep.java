package ivybank.scale.sweep;

import com.fasterxml.jackson.databind.JsonNode;
import ivybank.scale.plan.ScalePlan;
import ivybank.scale.process.RealSidecar;
import ivybank.scale.process.WorkerProcess;
import ivybank.scale.result.MachineLimit;
import ivybank.scale.result.Point;
import ivybank.scale.result.Quantity;
import ivybank.scale.worker.ChangeDelays;
import ivybank.scale.worker.Worker;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * What a list of some length costs one sidecar: a few hollow ones in one process, and real ones beside them that follow the same
 * server and get the same changes.
 */
final class ListSweep {

    private static final String FROM = "127.0.0.1";
    private static final int SHARING = 2;
    private static final long FIRST_VERSION = 1;
    private static final double WARM_RATE = 50;
    private static final int WARM_CHANGES = 50;
    private static final long REST_MS = 2000;
    private static final double MS_IN_SECOND = 1000;
    /** As a chunk: its length, the line's end, and two ends of line. */
    private static final double EMPTY_LINE_BYTES = 6;

    private static final double EMPTY_LINE_EVERY_MS = 2000;
    static final double MS_IN_PERCENT = 10; // of a second of one core

    private final ScalePlan plan;
    private final MachineLimit limit;
    private final String command;
    private final Path folder;

    /** @param command that starts a real sidecar */
    ListSweep(ScalePlan plan, MachineLimit limit, String command, Path folder) {
        this.plan = plan;
        this.limit = limit;
        this.command = command;
        this.folder = folder;
    }

    /**
     * All that follow one list.
     *
     * @param shared hollow sidecars in one process
     * @param alone one in a process of its own, as a real one is
     */
    private record Followers(Server server, HollowFleet shared, HollowFleet alone, List<RealSidecar> real) {

        Phase phase(MachineLimit limit) throws IOException {
            return new Phase(List.of(server.worker(), sharedWorker(), aloneWorker()), limit);
        }

        WorkerProcess sharedWorker() {
            return shared.workers().get(0);
        }

        WorkerProcess aloneWorker() {
            return alone.workers().get(0);
        }

        double realCpuMs() {
            return real.stream().mapToDouble(RealSidecar::cpuMs).sum();
        }
    }

    /** What is used while nothing changes: ms of processor time, or bytes allocated, for each second. */
    private record Rest(double sharedCpu, double aloneCpu, double realCpu, double sharedAllocated) {}

    List<Point> measure(int size, long seed) throws IOException, InterruptedException {
        Points points = new Points(size, seed);
        try (Workers workers = new Workers(folder, plan.bounds().memoryMb())) {
            Server server =
                    new Server(workers.start(Worker.Kind.DISCOVERY, SHARING), size, plan.zones(), FIRST_VERSION, 0);
            HollowFleet shared = new HollowFleet(List.of(workers.start(Worker.Kind.SIDECARS, SHARING)));
            join(server, shared, points);
            HollowFleet alone = new HollowFleet(List.of(workers.start(Worker.Kind.SIDECARS, SHARING)));
            alone.follow(server.address(), FROM, 1, 2);
            alone.await(FIRST_VERSION);
            List<RealSidecar> real = workers.startSidecars(plan.list().realSidecars(), command, server.address());
            Followers followers = new Followers(server, shared, alone, real);
            long warm = server.changes(WARM_RATE, WARM_CHANGES).path("version").asLong();
            shared.await(warm); // else what is still to be done of it counts as rest
            alone.await(warm);
            Rest rest = rest(followers, points);
            change(followers, rest, points);
            zone(followers, points);
            workers.checkMemory();
        }
        return points.all();
    }

    /** Those that are measured, and the one that came first. */
    private int hollow() {
        return plan.list().sidecars() + 1;
    }

    private void join(Server server, HollowFleet fleet, Points points) throws IOException {
        WorkerProcess host = fleet.workers().get(0);
        fleet.follow(server.address(), FROM, 1, 0); // loads what all share
        fleet.await(FIRST_VERSION);
        double emptyHeap = collectedHeap(host);
        int sidecars = plan.list().sidecars();
        JsonNode before = server.counters();
        Phase phase = new Phase(List.of(server.worker(), host), limit);
        double fromMs = fleet.follow(server.address(), FROM, sidecars, 1);
        double lastMs = fleet.await(FIRST_VERSION);
        phase.end();
        double bytes = grown(before, server.counters(), "sent_bytes");
        points.add(Quantity.LIST_JOIN, lastMs - fromMs, phase);
        points.add(Quantity.LIST_BYTES, bytes / sidecars, phase);
        points.add(Quantity.LIST_HEAP, (collectedHeap(host) - emptyHeap) / sidecars, phase);
    }

    static double collectedHeap(WorkerProcess worker) throws IOException {
        return worker.call(WorkerProcess.command("usage").put("collect", true))
                .path("heap_bytes")
                .asDouble();
    }

    static double grown(JsonNode before, JsonNode after, String field) {
        return after.path(field).asDouble() - before.path(field).asDouble();
    }

    private Rest rest(Followers followers, Points points) throws IOException, InterruptedException {
        JsonNode before = followers.server().counters();
        double realBefore = followers.realCpuMs();
        Phase phase = followers.phase(limit);
        Thread.sleep(REST_MS);
        phase.end();
        double realCpu = followers.realCpuMs() - realBefore;
        JsonNode after = followers.server().counters();
        Phase.Use shared = phase.of(followers.sharedWorker());
        Phase.Use alone = phase.of(followers.aloneWorker());
        double seconds = shared.seconds();
        double bytes =
                grown(before, after, "sent_bytes") / after.path("watches").asDouble();
        points.add(Quantity.LIST_REST_BYTES, bytes / (grown(before, after, "at_ms") / MS_IN_SECOND), phase);
        points.add(Quantity.LIST_REST_CPU, shared.cpuMs() / seconds / MS_IN_PERCENT / hollow(), phase);
        int real = followers.real().size();
        if (real > 0) {
            points.add(Quantity.LIST_REAL_REST_CPU, realCpu / seconds / MS_IN_PERCENT / real, phase);
            double resident = followers.real().stream()
                    .mapToDouble(RealSidecar::residentMb)
                    .average()
                    .orElseThrow();
            points.add(Quantity.LIST_REAL_RESIDENT, resident, phase);
        }
        return new Rest(
                shared.cpuMs() / seconds,
                alone.cpuMs() / alone.seconds(),
                realCpu / seconds,
                shared.allocatedBytes() / seconds);
    }

    private void change(Followers followers, Rest rest, Points points) throws IOException {
        int changes = (int) Math.ceil(plan.list().changesPerS() * plan.list().seconds());
        followers.shared().takeDelays();
        JsonNode before = followers.server().counters();
        double realBefore = followers.realCpuMs();
        Phase phase = followers.phase(limit);
        JsonNode last = followers.server().changes(plan.list().changesPerS(), changes);
        followers.shared().await(last.path("version").asLong());
        phase.end();
        double realCpu = followers.realCpuMs() - realBefore;
        JsonNode after = followers.server().counters();
        ChangeDelays delays = followers.shared().takeDelays();
        points.add(Quantity.LIST_IN_FORCE_50, delays.percentileMs(50), phase);
        points.add(Quantity.LIST_IN_FORCE_99, delays.percentileMs(99), phase);
        points.add(Quantity.LIST_IN_FORCE_100, delays.percentileMs(100), phase);
        double bytes =
                grown(before, after, "sent_bytes") / after.path("watches").asDouble();
        points.add(Quantity.LIST_CHANGE_BYTES, (bytes - beatBytes(grown(before, after, "at_ms"))) / changes, phase);
        Phase.Use shared = phase.of(followers.sharedWorker());
        double seconds = shared.seconds();
        double sharedCpu = (shared.cpuMs() - rest.sharedCpu() * seconds) / changes;
        points.add(Quantity.LIST_CHANGE_CPU, sharedCpu / hollow(), phase);
        double allocated = (shared.allocatedBytes() - rest.sharedAllocated() * seconds) / changes;
        points.add(Quantity.LIST_CHANGE_ALLOCATED, allocated / hollow(), phase);
        Phase.Use alone = phase.of(followers.aloneWorker());
        points.add(
                Quantity.LIST_ALONE_CHANGE_CPU, (alone.cpuMs() - rest.aloneCpu() * alone.seconds()) / changes, phase);
        int real = followers.real().size();
        if (real > 0) {
            double cpu = (realCpu - rest.realCpu() * seconds) / changes;
            points.add(Quantity.LIST_REAL_CHANGE_CPU, cpu / real, phase);
        }
    }

    /** Bytes of the empty lines that one watch brings in so long. */
    private static double beatBytes(double lastedMs) {
        return EMPTY_LINE_BYTES * Math.floor(lastedMs / EMPTY_LINE_EVERY_MS);
    }

    private void zone(Followers followers, Points points) throws IOException {
        JsonNode before = followers.server().counters();
        Phase phase = followers.phase(limit);
        int entries = Math.max(1, before.path("nodes").asInt() / plan.zones());
        JsonNode change = followers.server().change(entries);
        double lastMs = followers.shared().await(change.path("version").asLong());
        phase.end();
        JsonNode after = followers.server().counters();
        points.add(
                Quantity.LIST_ZONE_IN_FORCE_100, lastMs - change.path("at_ms").asDouble(), phase);
        double watches = after.path("watches").asDouble();
        points.add(Quantity.LIST_ZONE_BYTES, grown(before, after, "sent_bytes") / watches, phase);
    }
}
