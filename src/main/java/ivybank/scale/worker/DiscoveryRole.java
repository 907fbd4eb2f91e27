package ivybank.scale.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import ivybank.common.Addresses;
import ivybank.common.Json;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in discovery server for any number of sidecars, in a process of its own: the whole list, and watches that bring what
 * changes, in discovery's form. Its commands change the list and cut off those who call from an address.
 */
final class DiscoveryRole implements WorkerRole {

    private static final long BEAT_MS = 2000;
    private static final int BACKLOG = 4096;
    private static final double MS_IN_SECOND = 1000;

    private final MultiThreadIoEventLoopGroup acceptor = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final Watches watches = new Watches();
    private NodeList list;

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public ObjectNode execute(JsonNode command) throws Exception {
        return switch (command.path("command").asText()) {
            case "listen" -> listen(command);
            case "change" -> onLoop(() -> change(command.path("entries").asInt()));
            case "changes" -> changes(command);
            case "cut" -> onLoop(() -> watches.cut(command.path("address").asText()));
            case "heal" -> onLoop(watches::heal);
            case "counters" -> onLoop(this::counters);
            default -> throw new IllegalArgumentException("no such command: " + command);
        };
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    /** Listens with a list of so many nodes, whose version begins where a process before this one has ended. */
    private ObjectNode listen(JsonNode command) throws Exception {
        list = new NodeList(
                command.path("nodes").asInt(),
                command.path("zones").asInt(),
                command.path("version").asLong());
        InetSocketAddress address =
                new InetSocketAddress("127.0.0.1", command.path("port").asInt());
        Channel listener = new ServerBootstrap()
                .group(acceptor, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        watches.accept(channel, list);
                    }
                })
                .bind(address)
                .sync()
                .channel();
        loop.scheduleAtFixedRate(watches::beat, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
        InetSocketAddress bound = (InetSocketAddress) listener.localAddress();
        return Json.MAPPER
                .createObjectNode()
                .put("address", Addresses.text(bound))
                .put("port", bound.getPort());
    }

    /** Publishes one change of so many entries; the entries carry the time of publication as their start. */
    private ObjectNode change(int entries) {
        double publishedMs = MonotonicTime.nowMs();
        watches.tell(list.change(entries, publishedMs));
        return Json.MAPPER.createObjectNode().put("version", list.version()).put("at_ms", publishedMs);
    }

    /** Publishes so many changes at an even rate, and answers after the last. */
    private ObjectNode changes(JsonNode command) throws Exception {
        double pauseMs = MS_IN_SECOND / command.path("per_second").asDouble();
        int count = command.path("count").asInt();
        int entries = command.path("entries").asInt();
        double dueMs = MonotonicTime.nowMs();
        ObjectNode last = null;
        for (int i = 0; i < count; i++) {
            last = onLoop(() -> change(entries));
            dueMs += pauseMs;
            Thread.sleep((long) Math.max(0, dueMs - MonotonicTime.nowMs()));
        }
        return last;
    }

    private ObjectNode counters() {
        return watches.counters()
                .put("version", list.version())
                .put("nodes", list.size())
                .put("at_ms", MonotonicTime.nowMs());
    }
}
