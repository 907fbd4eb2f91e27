package ivybank.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import ivybank.common.Addresses;
import ivybank.common.Json;
import ivybank.discovery.HostUpdate;
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
 * All that a sidecar is told by its environment and the configuration file that it names; {@code control} may be null,
 * and {@code limits} is for the log.
 */
record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress control,
        long seed,
        int sockets,
        double connectTimeoutMs,
        double connectionIdleMs,
        double drainGraceMs,
        List<String> zones,
        List<String> kinds,
        HostUpdate known,
        Settings settings,
        String limits) {

    /** The variable that names the configuration file. */
    static final String FILE = "EDGE_CONFIG";

    private static final int SOCKETS_UNKNOWN = 1024;
    private static final double CONNECT_TIMEOUT_MS_UNKNOWN = 250;
    private static final double IDLE_MS_UNKNOWN = 15_000;
    private static final int HEX = 16;

    static Config load(Map<String, String> environment) throws ConfigException {
        String file = environment.get(FILE);
        if (file == null || file.isBlank()) {
            throw new ConfigException(FILE + " is not set: it names the configuration file");
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

    /** The discovery that the file names, unchecked beyond that; null where it can't be read. */
    static InetSocketAddress discoveryIn(String file) {
        try {
            return Addresses.parse(Json.MAPPER
                    .readTree(Files.readAllBytes(Path.of(file)))
                    .path("discovery")
                    .asText(""));
        } catch (IOException | IllegalArgumentException e) { // a path that is none among them
            return null;
        }
    }

    /** Where this sidecar listens for the others, and the addresses of all; empty texts and lists where the file has none. */
    record PeerAddresses(String listen, List<String> all) {}

    /** Reads the part of the configuration that only a sidecar with peers needs. */
    static PeerAddresses peersIn(String file) throws ConfigException {
        try {
            JsonNode root = Json.MAPPER.readTree(Files.readAllBytes(Path.of(file)));
            return new PeerAddresses(root.path("peer_listen").asText(""), words(root.path("peers")));
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
                told("name", "EDGE_NAME", root, environment),
                Addresses.parse(told("listen", "EDGE_LISTEN", root, environment)),
                Addresses.parse(told("discovery", "EDGE_DISCOVERY", root, environment)),
                control(environment.getOrDefault(
                        "EDGE_CONTROL", root.path("control").asText(""))),
                Long.parseUnsignedLong(root.path("seed").asText("0"), HEX),
                (int) number(root, "/limits/sockets", SOCKETS_UNKNOWN),
                number(settings, "/limits/connectTimeoutMs", CONNECT_TIMEOUT_MS_UNKNOWN),
                number(settings, "/limits/connIdleMs", IDLE_MS_UNKNOWN),
                number(settings, "/contract/drainGraceMs", Timing.DEFAULT_DRAIN_GRACE_MS),
                words(settings.path("failureDomains")),
                words(settings.path("kinds")),
                known.isObject() ? HostUpdate.read(known) : HostUpdate.EMPTY,
                SettingsParser.parse(text.toString()),
                limits(root.path("limits")));
    }

    /** A number above 0; what is there and is none is never taken for what is not there. */
    private static double number(JsonNode in, String path, double otherwise) {
        JsonNode value = in.at(path);
        if (value.isMissingNode()) {
            return otherwise;
        }
        if (!value.isNumber() || value.asDouble() <= 0 || value.asDouble() > Integer.MAX_VALUE) {
            throw new IllegalArgumentException(
                    path.substring(1).replace('/', '.') + " is " + value + ": a number above 0 is allowed");
        }
        return value.asDouble();
    }

    private static String limits(JsonNode limits) {
        return limits.path("cores").asDouble(0) + " cores, "
                + limits.path("memory_mb").asInt(0) + " MB, "
                + limits.path("sockets").asInt(0) + " descriptors";
    }

    private static InetSocketAddress control(String address) {
        return address.isBlank() ? null : Addresses.parse(address);
    }

    private static String told(String key, String variable, JsonNode root, Map<String, String> environment) {
        String value = environment.getOrDefault(variable, root.path(key).asText(""));
        if (value.isBlank()) {
            throw new IllegalArgumentException(key + " is missing");
        }
        return value;
    }

    /** Writes the settings as the lines of path=value in which the simulator sends them. */
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
                    .append(value.isArray() ? String.join(",", words(value)) : value.asText())
                    .append('\n');
        }
    }

    private static List<String> words(JsonNode list) {
        List<String> words = new ArrayList<>();
        list.forEach(word -> words.add(word.asText()));
        return words;
    }
}
