package ivybank.scale.sweep;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ivybank.scale.process.WorkerProcess;
import java.io.IOException;

/** A stand-in discovery server by its commands. */
final class Server {

    private final WorkerProcess worker;
    private final String address;
    private final int port;

    /** Begins to listen; {@code port} 0 for one that the system chooses. */
    Server(WorkerProcess worker, int nodes, int zones, long version, int port) throws IOException {
        this.worker = worker;
        ObjectNode listen = WorkerProcess.command("listen").put("nodes", nodes).put("zones", zones);
        JsonNode answer = worker.call(listen.put("version", version).put("port", port));
        this.address = answer.path("address").asText();
        this.port = answer.path("port").asInt();
    }

    WorkerProcess worker() {
        return worker;
    }

    String address() {
        return address;
    }

    int port() {
        return port;
    }

    /** Publishes one change of so many entries: its version and time. */
    JsonNode change(int entries) throws IOException {
        return worker.call(WorkerProcess.command("change").put("entries", entries));
    }

    /** Publishes changes of one entry each at an even rate; returns the last one's version and time. */
    JsonNode changes(double perSecond, int count) throws IOException {
        ObjectNode command = WorkerProcess.command("changes").put("per_second", perSecond);
        return worker.call(command.put("count", count).put("entries", 1));
    }

    JsonNode counters() throws IOException {
        return worker.call(WorkerProcess.command("counters"));
    }

    void cut(String address) throws IOException {
        worker.call(WorkerProcess.command("cut").put("address", address));
    }

    JsonNode heal() throws IOException {
        return worker.call(WorkerProcess.command("heal"));
    }
}
