package ivybank.scale.sweep;

import com.fasterxml.jackson.databind.JsonNode;
import ivybank.scale.process.ProcessorLoad;
import ivybank.scale.process.WorkerProcess;
import ivybank.scale.result.MachineLimit;
import ivybank.scale.result.Quantity;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What several workers used between two instants, and whether the machine was the limit meanwhile: begun by the constructor, ended
 * by {@link #end}.
 */
final class Phase {

    /** What one worker used. */
    record Use(double seconds, double cpuMs, double allocatedBytes, double heapBytes) {}

    private final List<WorkerProcess> workers;
    private final MachineLimit limit;
    private final ProcessorLoad load;
    private final List<JsonNode> before;
    private final Map<WorkerProcess, Use> uses = new HashMap<>();
    private double busyPart;
    private double lateMs;

    Phase(List<WorkerProcess> workers, MachineLimit limit) throws IOException {
        this.workers = List.copyOf(workers);
        this.limit = limit;
        this.before = Workers.callAll(this.workers, WorkerProcess.command("usage"));
        this.load = new ProcessorLoad();
    }

    Phase end() throws IOException {
        busyPart = load.takeBusyPart();
        List<JsonNode> after = Workers.callAll(workers, WorkerProcess.command("usage"));
        for (int i = 0; i < workers.size(); i++) {
            JsonNode from = before.get(i);
            JsonNode to = after.get(i);
            lateMs = Math.max(lateMs, to.path("late_p99_ms").asDouble());
            uses.put(
                    workers.get(i),
                    new Use(
                            grown(from, to, "at_ms") / 1000,
                            grown(from, to, "cpu_ms"),
                            grown(from, to, "allocated_bytes"),
                            to.path("heap_bytes").asDouble()));
        }
        return this;
    }

    private static double grown(JsonNode from, JsonNode to, String field) {
        return to.path(field).asDouble() - from.path(field).asDouble();
    }

    Use of(WorkerProcess worker) {
        return uses.get(worker);
    }

    /** Why a value that was taken in this phase does not count; empty where it does. */
    String leftOut(Quantity quantity) {
        return limit.reason(quantity.measure(), busyPart, lateMs);
    }
}
