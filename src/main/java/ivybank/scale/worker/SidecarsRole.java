package ivybank.scale.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import ivybank.common.Addresses;
import ivybank.common.Clock;
import ivybank.common.Json;
import ivybank.common.Log;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Many hollow sidecars on one event loop, in one process, that follow one discovery server. */
final class SidecarsRole implements WorkerRole {

    private static final long SECOND_MS = 1000;
    private static final long POLL_MS = 5;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final Clock clock = Clock.system();
    private final Log log =
            new Log(new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8), clock);
    private final ChangeDelays delays = new ChangeDelays();
    private final List<HollowSidecar> sidecars = new ArrayList<>(); // on the event loop

    SidecarsRole() {
        loop.scheduleAtFixedRate(
                () -> sidecars.forEach(HollowSidecar::endSecond), SECOND_MS, SECOND_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public ObjectNode execute(JsonNode command) throws Exception {
        return switch (command.path("command").asText()) {
            case "follow" -> follow(command);
            case "await" ->
                await(
                        command.path("version").asLong(),
                        command.path("longest_ms").asDouble());
            case "delays" -> loop.submit(delays::take).get();
            default -> throw new IllegalArgumentException("no such command: " + command);
        };
    }

    /** Starts so many sidecars at once that call from one address. */
    private ObjectNode follow(JsonNode command) throws Exception {
        InetSocketAddress server = Addresses.parse(command.path("server").asText());
        InetSocketAddress from = new InetSocketAddress(command.path("from").asText(), 0);
        long seed = command.path("seed").asLong();
        int count = command.path("count").asInt();
        double startedMs = MonotonicTime.nowMs();
        loop.submit(() -> {
                    for (int i = 0; i < count; i++) {
                        HollowSidecar sidecar = new HollowSidecar(loop, from, server, seed + i, delays, clock, log);
                        sidecars.add(sidecar);
                        sidecar.start();
                    }
                })
                .sync();
        return Json.MAPPER.createObjectNode().put("at_ms", startedMs);
    }

    /** Waits until all have this version or a later one, and tells when the last one got what it has. */
    private ObjectNode await(long version, double longestMs) throws Exception {
        double untilMs = MonotonicTime.nowMs() + longestMs;
        ObjectNode state = loop.submit(() -> state(version)).get();
        while (!state.path("all").asBoolean() && MonotonicTime.nowMs() < untilMs) {
            Thread.sleep(POLL_MS);
            state = loop.submit(() -> state(version)).get();
        }
        return state;
    }

    private ObjectNode state(long version) {
        long behind =
                sidecars.stream().filter(sidecar -> sidecar.version() < version).count();
        double lastMs = sidecars.stream()
                .mapToDouble(HollowSidecar::versionSinceMs)
                .max()
                .orElse(0);
        return Json.MAPPER
                .createObjectNode()
                .put("all", behind == 0)
                .put("behind", behind)
                .put("last_ms", lastMs);
    }
}
