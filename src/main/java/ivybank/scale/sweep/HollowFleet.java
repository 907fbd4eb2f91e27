package ivybank.scale.sweep;

import com.fasterxml.jackson.databind.JsonNode;
import ivybank.scale.process.WorkerProcess;
import ivybank.scale.worker.ChangeDelays;
import java.io.IOException;
import java.util.List;

/** Hollow sidecars in one or more processes. */
final class HollowFleet {

    private static final double LONGEST_MS = 60_000;

    private final List<WorkerProcess> workers;

    HollowFleet(List<WorkerProcess> workers) {
        this.workers = List.copyOf(workers);
    }

    List<WorkerProcess> workers() {
        return workers;
    }

    /**
     * Starts so many more that call from this address, spread over the processes; returns when the first began.
     *
     * @param from an address of this machine, which stands for a region
     */
    double follow(String server, String from, int count, long seed) throws IOException {
        int number = 0;
        for (WorkerProcess worker : workers) {
            int share = count / workers.size() + (number < count % workers.size() ? 1 : 0);
            worker.send(WorkerProcess.command("follow")
                    .put("server", server)
                    .put("from", from)
                    .put("count", share)
                    .put("seed", seed * 100_000 + number * 10_000L));
            number++;
        }
        double firstMs = Double.POSITIVE_INFINITY;
        for (WorkerProcess worker : workers) {
            firstMs = Math.min(firstMs, worker.answer().path("at_ms").asDouble());
        }
        return firstMs;
    }

    /** Waits until all have this version; returns when the last one got what it has. */
    double await(long version) throws IOException {
        double lastMs = 0;
        var command = WorkerProcess.command("await").put("version", version).put("longest_ms", LONGEST_MS);
        for (JsonNode state : Workers.callAll(workers, command)) {
            if (!state.path("all").asBoolean()) {
                throw new IOException(state.path("behind").asInt() + " sidecars have not got version " + version
                        + " within " + Math.round(LONGEST_MS) + " ms");
            }
            lastMs = Math.max(lastMs, state.path("last_ms").asDouble());
        }
        return lastMs;
    }

    /** How long changes took at each, since this was last asked. */
    ChangeDelays takeDelays() throws IOException {
        ChangeDelays delays = new ChangeDelays();
        for (JsonNode each : Workers.callAll(workers, WorkerProcess.command("delays"))) {
            delays.addEncoded(each.path("delays").asText());
        }
        return delays;
    }
}
