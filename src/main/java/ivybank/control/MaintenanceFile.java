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
 * The file that shares the maintenance state between the processes of one sidecar: the one that serves and its
 * successor. Changed under a file lock and replaced atomically, so that a reader sees the state before or after a
 * change. Used by one thread of a process.
 */
final class MaintenanceFile {

    private static final String FILE_NAME = "ivybank-orders.json";
    private static final String STANDBY_KEY = "standby_since_ms";
    /** Not written by earlier versions of the program. */
    private static final String STANDBY_MONOTONIC_KEY = "standby_since_monotonic_ms";

    private final Path file;
    private final Path lock;

    MaintenanceFile(Path folder) {
        file = folder.resolve(FILE_NAME);
        lock = folder.resolve(FILE_NAME + ".lock");
    }

    /** Returns the state on file, or {@link MaintenanceState#NONE} where no file exists yet. */
    MaintenanceState read() throws IOException {
        byte[] content;
        try {
            content = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return MaintenanceState.NONE;
        }
        JsonNode root = Json.MAPPER.readTree(content);
        if (!root.path("out").isObject() || !root.path(STANDBY_KEY).isNumber()) {
            throw new IOException(file + " holds no maintenance state");
        }
        SortedMap<String, Double> out = new TreeMap<>();
        root.get("out")
                .properties()
                .forEach(node -> out.put(node.getKey(), node.getValue().asDouble()));
        return new MaintenanceState(
                out,
                root.get(STANDBY_KEY).asDouble(),
                root.path(STANDBY_MONOTONIC_KEY).asDouble(Double.NaN));
    }

    /** Changes the state on file, also while other processes change it, and returns the result. */
    @SuppressWarnings("ReferenceEquality") // a change without effect returns the same object
    MaintenanceState change(UnaryOperator<MaintenanceState> change) throws IOException {
        try (FileChannel channel = FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            channel.lock(); // released when the channel is closed
            MaintenanceState before = read();
            MaintenanceState after = change.apply(before);
            if (after != before) {
                write(after);
            }
            return after;
        }
    }

    private void write(MaintenanceState state) throws IOException {
        ObjectNode root = Json.MAPPER.createObjectNode();
        ObjectNode out = root.putObject("out");
        state.nodesInMaintenance().forEach(out::put);
        root.put(STANDBY_KEY, state.standbySinceMs());
        if (state.isOnStandby() && !Double.isNaN(state.standbySinceMonotonicMs())) {
            root.put(STANDBY_MONOTONIC_KEY, state.standbySinceMonotonicMs());
        }
        Path next = file.resolveSibling(FILE_NAME + ".next");
        Files.write(next, Json.MAPPER.writeValueAsBytes(root));
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
