package ivybank.rehearsal.latency;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/** One kept connection of the generator's client to a {@link ClientTarget}; carries one request at a time. */
final class ClientConnection {

    private static final int NO_REQUEST = -1;
    private static final int IN_BYTES = 4096;

    private final ClientTarget target;
    private final SocketChannel channel;
    private final RequestTemplate template;
    private final ByteBuffer out;
    private final ByteBuffer in = ByteBuffer.allocateDirect(IN_BYTES);
    private final byte[] id = new byte[RequestTemplate.ID_BYTES];
    private final ResponseReader reader = new ResponseReader(IN_BYTES);
    private int request = NO_REQUEST;
    private boolean used;

    ClientConnection(ClientTarget target, RequestTemplate template, Selector selector) throws IOException {
        this.target = target;
        this.template = template;
        this.out = ByteBuffer.allocateDirect(template.size());
        this.channel = SocketChannel.open(target.address()); // on loopback, up as soon as the kernel has seen it
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_READ, this);
    }

    ClientTarget target() {
        return target;
    }

    boolean isBusy() {
        return request != NO_REQUEST;
    }

    int request() {
        return request;
    }

    /** Whether the connection had stood idle and no byte of an answer came: its peer may have closed it between requests. */
    boolean mayRepeat() {
        return used && !reader.isBegun();
    }

    /** Writes a request. A short one fits a socket's empty buffer whole; if it does not, the connection is of no use. */
    void send(int request, Route route, int run) throws IOException {
        this.request = request;
        reader.reset();
        RequestTemplate.fillId(id, route, run, request);
        out.clear();
        template.write(id, out);
        channel.write(out.flip());
        if (out.hasRemaining()) {
            throw new IOException("the socket took part of a request alone");
        }
    }

    /** Reads what has come. Throws if the connection has ended. */
    ResponseReader.State read() throws IOException {
        in.clear();
        if (channel.read(in) < 0) {
            throw new IOException("the peer closed the connection");
        }
        return reader.read(in.flip());
    }

    int status() {
        return reader.status();
    }

    /** Whether the answer is what a node made for this connection's request. */
    boolean isAnswerToRequest() {
        return reader.bodyStartsWith(id);
    }

    /** The request has its answer; the connection can carry the next. */
    void release() {
        request = NO_REQUEST;
        used = true;
        reader.reset();
    }

    void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing is left to do with it.
        }
    }
}
