package ivybank.scale.sweep;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ivybank.scale.process.RealSidecar;
import ivybank.scale.process.WorkerProcess;
import ivybank.scale.worker.Worker;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The processes of one point of a sweep: starts them, talks to several at once, and ends all that it started. */
final class Workers implements AutoCloseable {

    private static final double READY_MS = 30_000;

    private final Path folder;
    private final int memoryMb;
    private final List<WorkerProcess> workers = new ArrayList<>();
    private final List<RealSidecar> sidecars = new ArrayList<>();

    /**
     * @param folder for logs and configurations
     * @param memoryMb of all processes together, at most
     */
    Workers(Path folder, int memoryMb) {
        this.folder = folder;
        this.memoryMb = memoryMb;
    }

    /** Starts one; {@code sharing}: how many such processes share the memory, at least. */
    WorkerProcess start(Worker.Kind kind, int sharing) throws IOException {
        WorkerProcess worker = WorkerProcess.start(kind, memoryMb / sharing, folder.resolve("workers.log"));
        workers.add(worker);
        return worker;
    }

    /** Starts real sidecars and waits until they can serve. */
    List<RealSidecar> startSidecars(int count, String command, String discovery)
            throws IOException, InterruptedException {
        for (int number = 0; number < count; number++) {
            Path state = Files.createTempDirectory(folder, "sidecar");
            sidecars.add(RealSidecar.start(command, number, discovery, state));
        }
        for (RealSidecar sidecar : sidecars) {
            sidecar.awaitReady(READY_MS);
        }
        return List.copyOf(sidecars);
    }

    /** The same command to several workers at once; the answers in their order. */
    static List<JsonNode> callAll(List<WorkerProcess> several, ObjectNode command) throws IOException {
        for (WorkerProcess worker : several) {
            worker.send(command);
        }
        List<JsonNode> answers = new ArrayList<>();
        for (WorkerProcess worker : several) {
            answers.add(worker.answer());
        }
        return answers;
    }

    /** Ends one of them before the others, and forgets it. */
    void end(WorkerProcess worker) {
        worker.close();
        workers.remove(worker);
    }

    List<WorkerProcess> all() {
        return List.copyOf(workers);
    }

    double residentMb() {
        return workers.stream().mapToDouble(WorkerProcess::residentMb).sum()
                + sidecars.stream().mapToDouble(RealSidecar::residentMb).sum();
    }

    /** Refuses to go on beyond the memory that the run may take. */
    void checkMemory() throws IOException {
        double residentMb = residentMb();
        if (residentMb > memoryMb) {
            throw new IOException(
                    String.format(Locale.ROOT, "the processes hold %.0f MB: %d is allowed", residentMb, memoryMb));
        }
    }

    @Override
    public void close() {
        workers.forEach(WorkerProcess::close);
        sidecars.forEach(RealSidecar::close);
        workers.clear();
        sidecars.clear();
    }
}
