package ivybank.rehearsal.latency;

import com.fasterxml.jackson.databind.JsonNode;
import ivybank.common.Addresses;
import ivybank.common.Json;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * A process in a sidecar's place that decides nothing: each client connection has one connection to a node, and bytes are passed
 * on as they come. What it adds to a call is what one more process on the way costs on this machine, the least that any sidecar
 * can add. It reads the sidecar's configuration and says at once that it is ready.
 */
public final class BareRelay {

    private static final int BUFFER_BYTES = 64 * 1024;
    private static final String READY_REQUEST = "GET /health/ready ";
    private static final byte[] READY =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Selector selector = Selector.open();
    private final ServerSocketChannel listener = ServerSocketChannel.open();
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final List<SocketAddress> nodes;
    private int accepted;

    private BareRelay(SocketAddress listen, List<SocketAddress> nodes) throws IOException {
        this.nodes = nodes;
        listener.bind(listen);
        listener.configureBlocking(false);
        listener.register(selector, SelectionKey.OP_ACCEPT);
    }

    /** Relays until it is killed; {@code EDGE_CONFIG} names the configuration. */
    public static void main(String[] arguments) throws IOException {
        JsonNode config = Json.MAPPER.readTree(Files.readString(Path.of(System.getenv("EDGE_CONFIG"))));
        List<SocketAddress> nodes = new ArrayList<>();
        config.at("/known/hosts")
                .forEach(host -> nodes.add(Addresses.parse(host.path("dial").asText())));
        new BareRelay(Addresses.parse(config.path("listen").asText()), nodes).run();
    }

    private void run() throws IOException {
        while (selector.isOpen()) {
            selector.select();
            for (Iterator<SelectionKey> keys = selector.selectedKeys().iterator(); keys.hasNext(); ) {
                SelectionKey key = keys.next();
                keys.remove();
                handle(key);
            }
        }
    }

    private void handle(SelectionKey key) throws IOException {
        if (key.isAcceptable()) {
            accept();
            return;
        }
        SocketChannel from = (SocketChannel) key.channel();
        SocketChannel to = (SocketChannel) key.attachment();
        try {
            pass(from, to);
        } catch (IOException e) {
            from.close();
            to.close();
        }
    }

    private void accept() throws IOException {
        SocketChannel client = listener.accept();
        if (client == null) {
            return;
        }
        SocketChannel node = SocketChannel.open(nodes.get(accepted++ % nodes.size()));
        register(client, node);
        register(node, client);
    }

    private void register(SocketChannel channel, SocketChannel other) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.register(selector, SelectionKey.OP_READ, other);
    }

    private void pass(SocketChannel from, SocketChannel to) throws IOException {
        buffer.clear();
        if (from.read(buffer) < 0) {
            throw new IOException("ended");
        }
        buffer.flip();
        if (asksWhetherReady()) {
            from.write(ByteBuffer.wrap(READY));
            return;
        }
        while (buffer.hasRemaining()) {
            to.write(buffer);
        }
    }

    private boolean asksWhetherReady() {
        if (buffer.remaining() < READY_REQUEST.length()) {
            return false;
        }
        byte[] start = new byte[READY_REQUEST.length()];
        buffer.get(0, start);
        return READY_REQUEST.equals(new String(start, StandardCharsets.US_ASCII));
    }
}
