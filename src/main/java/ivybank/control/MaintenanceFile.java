package ivybank.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ivybank.common.Json;
import ivybank.operations.MaintenanceState;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * The orders on file, for the processes of one sidecar: the one that serves and the one that takes over. Changed under a
 * lock and replaced whole, so that a reader sees the orders before or after a change. Used by one thread of a process.
 */
final class MaintenanceFile {

    private static final String NAME = "ivybank-orders.json";

    private final Path file;
    private final Path lock;

    MaintenanceFile(Path folder) {
        file = folder.resolve(NAME);
        lock = folder.resolve(NAME + ".lock");
    }

    /** The orders on file; none where there is no file yet. */
    MaintenanceState read() throws IOException {
        byte[] text;
        try {
            text = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return MaintenanceState.NONE;
        }
        JsonNode root = Json.MAPPER.readTree(text);
        if (!root.path("out").isObject() || !root.path("standby_since_ms").isNumber()) {
            throw new IOException(file + " holds no orders");
        }
        SortedMap<String, Double> out = new TreeMap<>();
        root.get("out")
                .properties()
                .forEach(node -> out.put(node.getKey(), node.getValue().asDouble()));
        return new MaintenanceState(out, root.get("standby_since_ms").asDouble());
    }

    /** Changes the orders on file, whoever else does so, and returns what holds then. */
    @SuppressWarnings("ReferenceEquality") // an unchanged result is the same object
    MaintenanceState change(UnaryOperator<MaintenanceState> change) throws IOException {
        try (FileChannel channel = FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            channel.lock(); // until the channel is closed
            MaintenanceState before = read();
            MaintenanceState after = change.apply(before);
            if (after != before) {
                write(after);
            }
            return after;
        }
    }

    private void write(MaintenanceState orders) throws IOException {
        ObjectNode root = Json.MAPPER.createObjectNode();
        ObjectNode out = root.putObject("out");
        orders.out().forEach(out::put);
        root.put("standby_since_ms", orders.standbySinceMs());
        Path next = file.resolveSibling(NAME + ".next");
        Files.write(next, Json.MAPPER.writeValueAsBytes(root));
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
