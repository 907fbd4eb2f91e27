import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The configuration of one sidecar of a small deployment, as the deployment page describes it. */
final class Configuration {

    final int port;
    private final Path file;
    private final Path temporary;
    private final List<String> lanes = new ArrayList<>();
    /** The operator file, or null for none. */
    Path operatorFile;
    /** The list that the sidecar had last, in discovery's form. */
    String known = "";
    private int firstDiscoveryPort;

    Configuration(Kit kit) throws IOException {
        port = Kit.freePort();
        file = kit.folder.resolve("config.json");
        temporary = Files.createDirectory(kit.folder.resolve("tmp"));
    }

    /** Adds a class of requests; the effect is that of the wire page: retryable, dedup or fragile. */
    Configuration lane(String name, String effect, int aimMs, int deadlineMs, int windowMs, int worth) {
        lanes.add("{\"name\":\"" + name + "\",\"aimMs\":" + aimMs + ",\"hardLimitMs\":" + deadlineMs
                + ",\"worth\":" + worth + ",\"lateWorth\":0.0,\"group\":\"all\",\"windowMs\":" + windowMs
                + ",\"idempotency\":\"" + effect + "\",\"streaming\":false}");
        return this;
    }

    /** Writes the file, in one step. */
    void write(int discoveryPort) throws IOException {
        firstDiscoveryPort = firstDiscoveryPort == 0 ? discoveryPort : firstDiscoveryPort;
        String settings = "{\"instances\":3,\"position\":0,\"tickMs\":5.0,\"membershipMode\":\"push\","
                + "\"failureDomains\":[\"a\"],\"kinds\":[\"m\"],\"lanes\":[" + String.join(",", lanes) + "],"
                + "\"limits\":{\"maxAttempts\":6,\"cancel\":true,\"secondCopies\":true,\"retryAfter\":true,"
                + "\"maxRetryAfterMs\":2000.0,\"connectTimeoutMs\":250.0,\"connIdleMs\":60000.0,\"probing\":false,"
                + "\"peers\":false},"
                + "\"contract\":{\"answerSlackMs\":20.0,\"askEveryMs\":10000.0,\"coldFrom\":0.12,\"coldMs\":22000.0,"
                + "\"drainGraceMs\":500.0,\"fallMs\":2000.0,\"overloadFactor\":2.5},"
                + "\"scoringMix\":{\"whole\":0.55,\"worstClass\":0.3,\"worstTenant\":0.0,\"worstWindow\":0.15},"
                + "\"clients\":{\"marksRetry\":false},"
                + "\"report\":{\"via\":\"inline\",\"fields\":[\"rps\",\"cpu\",\"err_rps\"]}}";
        String text = "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + (known.isEmpty() ? "" : "\"known\":" + known + ",")
                + "\"settings\":" + settings + "}";
        Path next = file.resolveSibling("config.json.new");
        Files.writeString(next, text);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    Map<String, String> environment() {
        Map<String, String> environment = new HashMap<>();
        environment.put("EDGE_CONFIG", file.toString());
        environment.put("EDGE_NAME", "n0");
        environment.put("EDGE_LISTEN", "127.0.0.1:" + port);
        environment.put("EDGE_DISCOVERY", "127.0.0.1:" + firstDiscoveryPort);
        environment.put("TMPDIR", temporary.toString());
        if (operatorFile != null) {
            environment.put("EDGE_OPERATOR", operatorFile.toString());
        }
        return environment;
    }
}
