package ivybank.scale.sweep;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ivybank.scale.plan.ScalePlan;
import ivybank.scale.process.WorkerProcess;
import ivybank.scale.result.MachineLimit;
import ivybank.scale.result.Point;
import ivybank.scale.result.Quantity;
import ivybank.scale.worker.MonotonicTime;
import ivybank.scale.worker.Worker;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** What the view of the fleet costs each of its members, and how long it takes to settle: at a joint start, and after a zone's end. */
final class ViewSweep {

    private static final String KEY = "5ca1e000000000000000000000000000" + "5ca1e000000000000000000000000000";
    private static final int FIRST_NET = 20;
    private static final int NETS = 200;
    private static final long POLL_MS = 50;
    /** After the last change until members have no more news to tell. */
    private static final long QUIET_MS = 3000;

    private static final double MS_IN_SECOND = 1000;

    private final ScalePlan plan;
    private final MachineLimit limit;
    private final Path folder;
    private final Path keys;
    private final int net = FIRST_NET + (int) (ProcessHandle.current().pid() % NETS);

    ViewSweep(ScalePlan plan, MachineLimit limit, Path folder) throws IOException {
        this.plan = plan;
        this.limit = limit;
        this.folder = folder;
        this.keys = Files.writeString(folder.resolve("fleet.key"), KEY + "\n");
    }

    List<Point> measure(int size, long seed) throws IOException, InterruptedException {
        Points points = new Points(size, seed);
        int zone = Math.max(1, size / plan.zones());
        int processes = plan.view().processes();
        try (Workers workers = new Workers(folder, plan.bounds().memoryMb())) {
            List<WorkerProcess> staying = new ArrayList<>();
            for (int i = 0; i < processes; i++) {
                staying.add(workers.start(Worker.Kind.VIEWS, processes + 1));
            }
            WorkerProcess lost = workers.start(Worker.Kind.VIEWS, processes + 1);
            List<WorkerProcess> all = new ArrayList<>(staying);
            all.add(lost);
            boolean settled = join(all, zone, size, seed, points);
            if (settled) {
                rest(all, size, points);
                lose(workers, lost, staying, size - zone, points);
            }
            workers.checkMemory();
        }
        return points.all();
    }

    private static int freePort(int net) throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127." + net + ".0.1"))) {
            return ((InetSocketAddress) socket.getLocalSocketAddress()).getPort();
        }
    }

    private boolean join(List<WorkerProcess> all, int zone, int size, long seed, Points points)
            throws IOException, InterruptedException {
        Workers.callAll(all, WorkerProcess.command("warm").put("keys", keys.toString()));
        double emptyHeap = heap(all);
        Phase phase = new Phase(all, limit);
        int port = freePort(net);
        int staying = size - zone;
        int first = 0;
        for (int i = 0; i < all.size(); i++) {
            boolean last = i == all.size() - 1;
            int count = last ? zone : staying / (all.size() - 1) + (i < staying % (all.size() - 1) ? 1 : 0);
            all.get(i).send(joinCommand(first, count, size, port, seed));
            first += count;
        }
        double fromMs = Double.POSITIVE_INFINITY;
        for (WorkerProcess worker : all) {
            fromMs = Math.min(fromMs, worker.answer().path("at_ms").asDouble());
        }
        double settledMs = awaitSettled(all, size);
        phase.end();
        double lastedS = (MonotonicTime.nowMs() - fromMs) / MS_IN_SECOND;
        points.add(Quantity.VIEW_JOIN_BYTES, sum(all, "sent_bytes") / size / lastedS, phase);
        points.add(Quantity.VIEW_HEAP, (heap(all) - emptyHeap) / size, phase);
        if (Double.isNaN(settledMs)) {
            points.leaveOut(
                    Quantity.VIEW_JOIN,
                    Double.NaN,
                    "not settled within " + plan.view().longestS() + " s");
            return false;
        }
        points.add(Quantity.VIEW_JOIN, settledMs - fromMs, phase);
        return true;
    }

    private ObjectNode joinCommand(int first, int count, int members, int port, long seed) {
        return WorkerProcess.command("join")
                .put("first", first)
                .put("count", count)
                .put("members", members)
                .put("net", net)
                .put("port", port)
                .put("keys", keys.toString())
                .put("seed", seed * 1_000_000);
    }

    private static double heap(List<WorkerProcess> workers) throws IOException {
        double sum = 0;
        for (JsonNode usage :
                Workers.callAll(workers, WorkerProcess.command("usage").put("collect", true))) {
            sum += usage.path("heap_bytes").asDouble();
        }
        return sum;
    }

    private static double sum(List<WorkerProcess> workers, String counter) throws IOException {
        double sum = 0;
        for (JsonNode counters : Workers.callAll(workers, WorkerProcess.command("counters"))) {
            sum += counters.path(counter).asDouble();
        }
        return sum;
    }

    /** Waits until all see the same so many members; returns when that was seen, NaN if it was not in time. */
    private double awaitSettled(List<WorkerProcess> workers, int members) throws IOException, InterruptedException {
        String peers = "peers=" + (members - 1) + " ";
        double untilMs = MonotonicTime.nowMs() + plan.view().longestS() * MS_IN_SECOND;
        while (MonotonicTime.nowMs() < untilMs) {
            Set<String> seen = new HashSet<>();
            double atMs = 0;
            for (JsonNode each : Workers.callAll(workers, WorkerProcess.command("views"))) {
                each.path("seen").forEach(view -> seen.add(view.asText()));
                atMs = Math.max(atMs, each.path("at_ms").asDouble());
            }
            if (seen.size() == 1 && seen.iterator().next().startsWith(peers)) {
                return atMs;
            }
            Thread.sleep(POLL_MS);
        }
        return Double.NaN;
    }

    private void rest(List<WorkerProcess> all, int size, Points points) throws IOException, InterruptedException {
        Thread.sleep(QUIET_MS);
        double bytes = sum(all, "sent_bytes");
        double messages = sum(all, "sent");
        Phase phase = new Phase(all, limit);
        Thread.sleep((long) (plan.view().restS() * MS_IN_SECOND));
        phase.end();
        double cpu =
                all.stream().mapToDouble(worker -> phase.of(worker).cpuMs()).sum();
        double seconds = phase.of(all.get(0)).seconds();
        points.add(Quantity.VIEW_REST_CPU, cpu / seconds / ListSweep.MS_IN_PERCENT / size, phase);
        points.add(Quantity.VIEW_REST_BYTES, (sum(all, "sent_bytes") - bytes) / seconds / size, phase);
        points.add(Quantity.VIEW_REST_MESSAGES, (sum(all, "sent") - messages) / seconds / size, phase);
    }

    private void lose(Workers workers, WorkerProcess lost, List<WorkerProcess> staying, int left, Points points)
            throws IOException, InterruptedException {
        double bytes = sum(staying, "sent_bytes");
        Phase phase = new Phase(staying, limit);
        double killedMs = MonotonicTime.nowMs();
        workers.end(lost);
        double settledMs = awaitSettled(staying, left);
        phase.end();
        double lastedS = (MonotonicTime.nowMs() - killedMs) / MS_IN_SECOND;
        points.add(Quantity.VIEW_ZONE_BYTES, (sum(staying, "sent_bytes") - bytes) / lastedS / left, phase);
        if (Double.isNaN(settledMs)) {
            points.leaveOut(
                    Quantity.VIEW_ZONE_SETTLED,
                    Double.NaN,
                    "not settled within " + plan.view().longestS() + " s");
        } else {
            points.add(Quantity.VIEW_ZONE_SETTLED, settledMs - killedMs, phase);
        }
    }
}
