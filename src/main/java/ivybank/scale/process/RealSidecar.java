package ivybank.scale.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import ivybank.common.Addresses;
import ivybank.common.Json;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** A real sidecar in a process of its own that follows a stand-in discovery server and serves nobody. */
public final class RealSidecar implements AutoCloseable {

    private static final int HTTP_OK = 200;
    private static final int CALL_MS = 1000;
    private static final int POLL_MS = 20;
    private static final int SOCKETS = 1024;
    private static final int MEMORY_MB = 192;
    private static final double NANOS_IN_MS = 1e6;

    private final GuardedProcess guarded;
    private final InetSocketAddress listen;

    private RealSidecar(GuardedProcess guarded, InetSocketAddress listen) {
        this.guarded = guarded;
        this.listen = listen;
    }

    /**
     * Starts one.
     *
     * @param command what the shell runs, as {@code run} of the deployment file
     * @param state an empty folder for its configuration and log
     */
    public static RealSidecar start(String command, int number, String discovery, Path state) throws IOException {
        InetSocketAddress listen = freePort();
        ObjectNode configuration = Json.MAPPER
                .createObjectNode()
                .put("name", "r" + number)
                .put("listen", Addresses.text(listen))
                .put("discovery", discovery)
                .put("seed", Integer.toHexString(number + 1));
        configuration
                .putObject("limits")
                .put("cores", 1.0)
                .put("memory_mb", MEMORY_MB)
                .put("sockets", SOCKETS);
        configuration.set("settings", settings());
        Path file = state.resolve("config.json");
        Files.writeString(file, configuration.toString());
        Map<String, String> environment = Map.of("EDGE_CONFIG", file.toString());
        Path folder = Path.of("").toAbsolutePath();
        return new RealSidecar(
                GuardedProcess.start(command, folder, environment, state.resolve("sidecar.log"), true), listen);
    }

    private static ObjectNode settings() {
        ObjectNode settings = Json.MAPPER
                .createObjectNode()
                .put("instances", 1)
                .put("tickMs", 1.0)
                .put("membershipMode", "ask");
        settings.putArray("lanes")
                .addObject()
                .put("name", "read")
                .put("aimMs", 1000.0)
                .put("hardLimitMs", 4000.0)
                .put("worth", 1.0)
                .put("idempotency", "retryable");
        return settings;
    }

    private static InetSocketAddress freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    /** Waits until it can serve. */
    public void awaitReady(double longestMs) throws IOException, InterruptedException {
        double untilMs = System.nanoTime() / NANOS_IN_MS + longestMs;
        while (!isReady()) {
            if (!guarded.process().isAlive() || System.nanoTime() / NANOS_IN_MS > untilMs) {
                throw new IOException("a real sidecar was not ready within " + Math.round(longestMs) + " ms");
            }
            Thread.sleep(POLL_MS);
        }
    }

    private boolean isReady() {
        try {
            URI ready = URI.create("http://" + Addresses.text(listen) + "/health/ready");
            HttpURLConnection call = (HttpURLConnection) ready.toURL().openConnection();
            call.setConnectTimeout(CALL_MS);
            call.setReadTimeout(CALL_MS);
            boolean isReady = call.getResponseCode() == HTTP_OK;
            call.disconnect();
            return isReady;
        } catch (IOException e) {
            return false; // nobody listens yet
        }
    }

    /** Resident memory in MB. */
    public double residentMb() {
        return guarded.residentMb();
    }

    /** Processor time so far in ms. */
    public double cpuMs() {
        return guarded.cpuMs();
    }

    @Override
    public void close() {
        guarded.close();
    }
}
