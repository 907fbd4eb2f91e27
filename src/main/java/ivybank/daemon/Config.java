package ivybank.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import ivybank.common.Addresses;
import ivybank.common.Json;
import ivybank.discovery.NodeListUpdate;
import ivybank.discovery.Timing;
import ivybank.policy.Balancer.Settings;
import ivybank.settings.SettingsParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The configuration of a sidecar, from its environment and the configuration file that the environment names. {@code
 * adminAddress} is null without an admin endpoint; {@code limitsSummary} is for the log.
 */
record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress adminAddress,
        long seed,
        int sockets,
        int memoryMb,
        double connectTimeoutMs,
        double connectionIdleMs,
        double drainGraceMs,
        List<String> zones,
        List<String> kinds,
        NodeListUpdate known,
        Settings settings,
        String limitsSummary) {

    /** The environment variable that names the configuration file. */
    static final String FILE_VARIABLE = "EDGE_CONFIG";

    private static final int DEFAULT_SOCKETS = 1024;
    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 250;
    private static final double DEFAULT_CONNECTION_IDLE_MS = 15_000;
    private static final int HEX_RADIX = 16;

    /** Loads the configuration from the file that the environment names. */
    static Config load(Map<String, String> environment) throws ConfigException {
        String file = environment.get(FILE_VARIABLE);
        if (file == null || file.isBlank()) {
            throw new ConfigException(FILE_VARIABLE + " is not set: it names the configuration file");
        }
        JsonNode root;
        try {
            root = Json.MAPPER.readTree(Files.readAllBytes(Path.of(file)));
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException("cannot read the configuration " + file + ": " + e.getMessage());
        }
        try {
            return read(root, environment);
        } catch (IllegalArgumentException e) {
            throw new ConfigException("the configuration " + file + " is malformed: " + e.getMessage());
        }
    }

    /** Returns the address of discovery in the file, without checking the rest, or null if it cannot be read. */
    static InetSocketAddress readDiscovery(String file) {
        try {
            return Addresses.parse(Json.MAPPER
                    .readTree(Files.readAllBytes(Path.of(file)))
                    .path("discovery")
                    .asText(""));
        } catch (IOException | IllegalArgumentException e) { // including an invalid path
            return null;
        }
    }

    /**
     * The address on which this sidecar listens for peers, and the addresses of all peers; empty where the file has
     * none.
     */
    record PeerAddresses(String listen, List<String> all) {}

    /** Reads the part of the configuration that only a sidecar with peers needs. */
    static PeerAddresses readPeerAddresses(String file) throws ConfigException {
        try {
            JsonNode root = Json.MAPPER.readTree(Files.readAllBytes(Path.of(file)));
            return new PeerAddresses(root.path("peer_listen").asText(""), strings(root.path("peers")));
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException("cannot read the configuration " + file + ": " + e.getMessage());
        }
    }

    private static Config read(JsonNode root, Map<String, String> environment) {
        if (!root.path("settings").isObject()) {
            throw new IllegalArgumentException("settings are missing");
        }
        JsonNode settings = root.get("settings");
        StringBuilder text = new StringBuilder();
        flatten("", settings, text);
        JsonNode known = root.path("known");
        return new Config(
                required("name", "EDGE_NAME", root, environment),
                Addresses.parse(required("listen", "EDGE_LISTEN", root, environment)),
                Addresses.parse(required("discovery", "EDGE_DISCOVERY", root, environment)),
                adminAddress(environment.getOrDefault(
                        "EDGE_CONTROL", root.path("control").asText(""))),
                Long.parseUnsignedLong(root.path("seed").asText("0"), HEX_RADIX),
                (int) number(root, "/limits/sockets", DEFAULT_SOCKETS),
                root.path("limits").path("memory_mb").asInt(0),
                number(settings, "/limits/connectTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS),
                number(settings, "/limits/connIdleMs", DEFAULT_CONNECTION_IDLE_MS),
                number(settings, "/contract/drainGraceMs", Timing.DEFAULT_DRAIN_GRACE_MS),
                strings(settings.path("failureDomains")),
                strings(settings.path("kinds")),
                known.isObject() ? NodeListUpdate.read(known) : NodeListUpdate.EMPTY,
                SettingsParser.parse(text.toString()),
                limitsSummary(root.path("limits")));
    }

    /** Returns a positive number, or the default where it is absent; a value of another type is an error. */
    private static double number(JsonNode in, String path, double defaultValue) {
        JsonNode value = in.at(path);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isNumber() || value.asDouble() <= 0 || value.asDouble() > Integer.MAX_VALUE) {
            throw new IllegalArgumentException(
                    path.substring(1).replace('/', '.') + " is " + value + ": a positive number is allowed");
        }
        return value.asDouble();
    }

    private static String limitsSummary(JsonNode limits) {
        return limits.path("cores").asDouble(0) + " cores, "
                + limits.path("memory_mb").asInt(0) + " MB, "
                + limits.path("sockets").asInt(0) + " descriptors";
    }

    private static InetSocketAddress adminAddress(String address) {
        return address.isBlank() ? null : Addresses.parse(address);
    }

    private static String required(String key, String variable, JsonNode root, Map<String, String> environment) {
        String value = environment.getOrDefault(variable, root.path(key).asText(""));
        if (value.isBlank()) {
            throw new IllegalArgumentException(key + " is missing");
        }
        return value;
    }

    /** Writes the settings as the lines {@code path=value} that the simulator sends. */
    private static void flatten(String path, JsonNode value, StringBuilder text) {
        if (value.isObject()) {
            value.properties()
                    .forEach(field -> flatten(
                            path.isEmpty() ? field.getKey() : path + "." + field.getKey(), field.getValue(), text));
        } else if (value.isArray() && !value.isEmpty() && value.get(0).isObject()) {
            text.append(path).append(".count=").append(value.size()).append('\n');
            for (int i = 0; i < value.size(); i++) {
                flatten(path + "." + i, value.get(i), text);
            }
        } else {
            text.append(path)
                    .append('=')
                    .append(value.isArray() ? String.join(",", strings(value)) : value.asText())
                    .append('\n');
        }
    }

    private static List<String> strings(JsonNode list) {
        List<String> strings = new ArrayList<>();
        list.forEach(element -> strings.add(element.asText()));
        return strings;
    }
}
