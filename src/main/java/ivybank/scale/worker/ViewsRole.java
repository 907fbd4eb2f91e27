package ivybank.scale.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import ivybank.common.Clock;
import ivybank.common.Json;
import ivybank.common.Log;
import ivybank.peers.PeerFleet;
import ivybank.peers.PeerSettings;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Many sidecars' views of one another on one event loop, in one process: real sockets, keys and datagrams. */
final class ViewsRole implements WorkerRole {

    private static final String FLEET = "scale";
    private static final int HOSTS_IN_NET = 250;
    private static final int WARM_NET = 10;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final Clock clock = Clock.system();
    private final Log log =
            new Log(new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8), clock);
    private final List<PeerFleet> views = new ArrayList<>();

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public ObjectNode execute(JsonNode command) throws Exception {
        return switch (command.path("command").asText()) {
            case "warm" -> warm(command);
            case "join" -> join(command);
            case "views" -> loop.submit(this::views).get();
            case "counters" -> counters();
            default -> throw new IllegalArgumentException("no such command: " + command);
        };
    }

    /** Starts a fleet of two of its own, which is not counted, so that what all views of a process share is there before they are. */
    private ObjectNode warm(JsonNode command) throws IOException {
        int port;
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        List<InetSocketAddress> addresses = addresses(WARM_NET, port, 2);
        for (int seat = 0; seat < addresses.size(); seat++) {
            start(seat, addresses, command.path("keys").asText(), seat);
        }
        return Json.MAPPER.createObjectNode();
    }

    private PeerFleet start(int seat, List<InetSocketAddress> addresses, String keys, long seed) throws IOException {
        PeerSettings settings = new PeerSettings(Path.of(keys), FLEET, "", "", List.of(), null);
        PeerFleet view = new PeerFleet(
                settings,
                "n" + seat,
                addresses.get(seat),
                addresses,
                seed,
                addresses.size(),
                loop,
                clock,
                log,
                sidecars -> {});
        view.open(false);
        view.ready();
        return view;
    }

    /** Starts the members of these seats: {@code first} and {@code count} of {@code members}. */
    private ObjectNode join(JsonNode command) throws IOException {
        List<InetSocketAddress> addresses = addresses(
                command.path("net").asInt(),
                command.path("port").asInt(),
                command.path("members").asInt());
        int first = command.path("first").asInt();
        double startedMs = MonotonicTime.nowMs();
        for (int seat = first; seat < first + command.path("count").asInt(); seat++) {
            long seed = command.path("seed").asLong() + seat;
            views.add(start(seat, addresses, command.path("keys").asText(), seed));
        }
        return Json.MAPPER.createObjectNode().put("at_ms", startedMs);
    }

    /** One address of this machine for each seat: 127.NET.x.y. */
    private static List<InetSocketAddress> addresses(int net, int port, int members) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int seat = 0; seat < members; seat++) {
            String host = "127." + net + "." + seat / HOSTS_IN_NET + "." + (1 + seat % HOSTS_IN_NET);
            addresses.add(new InetSocketAddress(host, port));
        }
        return List.copyOf(addresses);
    }

    /** What the members of this process see, each different view once: as the sidecar's own line of counts tells it. */
    private ObjectNode views() {
        Set<String> seen = new HashSet<>();
        views.forEach(view -> seen.add(view.tally().strip()));
        ObjectNode answer = Json.MAPPER.createObjectNode().put("at_ms", MonotonicTime.nowMs());
        seen.forEach(answer.putArray("seen")::add);
        return answer;
    }

    private ObjectNode counters() throws Exception {
        long sent = 0;
        long sentBytes = 0;
        long received = 0;
        for (PeerFleet view : views) {
            JsonNode counts = Json.MAPPER
                    .readTree(view.asked().toCompletableFuture().get())
                    .path("counts");
            sent += counts.path("sent").asLong();
            sentBytes += counts.path("sent_bytes").asLong();
            received += counts.path("received").asLong();
        }
        return Json.MAPPER
                .createObjectNode()
                .put("sent", sent)
                .put("sent_bytes", sentBytes)
                .put("received", received)
                .put("at_ms", MonotonicTime.nowMs());
    }
}
