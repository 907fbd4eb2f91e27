package ivybank.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Many clients at once that write or read slowly, or never finish what they have begun; one that is ended connects anew. */
final class PacedClients implements AutoCloseable {

    /** What each client does. */
    enum Kind {
        /** Sends a head of very many short fields over a second, and never ends it. */
        SHORT_FIELDS(7_800, 7_800),
        /** Announces 8 MB and stops after half a megabyte. */
        HALF_BODY(500_000, 500_000),
        /** Sends a body of 8 MB at 100 kB a second. */
        SLOW_BODY(100_000, 8_000_000),
        /** Reads a long answer at 40 kB a second. */
        SLOW_READER(0, 0);

        final int bytesPerSecond;
        final int bytes;

        Kind(int bytesPerSecond, int bytes) {
            this.bytesPerSecond = bytesPerSecond;
            this.bytes = bytes;
        }
    }

    private static final int STEP_MS = 50;
    private static final int STEPS_PER_SECOND = 20;
    private static final int READ_BYTES_PER_SECOND = 40_000;
    private static final int BODY_BYTES = 8_000_000;
    private static final String SHORT_FIELD = "a:b\r\n";
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    private final class Client {
        private final Kind kind;
        private final int number;
        private SocketChannel channel;
        private int sent;
        private ByteBuffer unsent = ByteBuffer.allocate(0);

        Client(Kind kind, int number) {
            this.kind = kind;
            this.number = number;
        }

        void step() {
            try {
                if (channel == null) {
                    connect();
                }
                if (!unsent.hasRemaining() && sent < kind.bytes) {
                    int piece = Math.min(kind.bytes - sent, kind.bytesPerSecond / STEPS_PER_SECOND);
                    unsent = ascii(
                            kind == Kind.SHORT_FIELDS
                                    ? SHORT_FIELD.repeat(piece / SHORT_FIELD.length())
                                    : "x".repeat(piece));
                    sent += piece;
                }
                channel.write(unsent);
                read();
            } catch (IOException e) {
                end();
            }
        }

        private void connect() throws IOException {
            channel = SocketChannel.open();
            channel.socket().setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            channel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            channel.configureBlocking(false);
            sent = 0;
            unsent = ascii(head());
        }

        private String head() {
            String id = "\r\nHost: x\r\nX-Call-Id: paced-" + kind + "-" + number + "-" + System.nanoTime()
                    + "\r\nX-Budget-Ms: 3000\r\n";
            return switch (kind) {
                case SHORT_FIELDS -> "GET /read?obj=1 HTTP/1.1" + id;
                case SLOW_READER -> "GET /read?obj=long HTTP/1.1" + id + "\r\n";
                default -> "POST /submit?obj=1 HTTP/1.1" + id + "Content-Length: " + BODY_BYTES + "\r\n\r\n";
            };
        }

        private void read() throws IOException {
            ByteBuffer piece = ByteBuffer.allocate(READ_BYTES_PER_SECOND / STEPS_PER_SECOND);
            if (channel.read(piece) < 0) {
                end();
            }
        }

        private void end() {
            ended.incrementAndGet();
            try {
                if (channel != null) {
                    channel.close();
                }
            } catch (IOException e) {
                // it has ended anyway
            }
            channel = null;
        }
    }

    private final int port;
    private final List<Client> clients = new ArrayList<>();
    private final Thread player = new Thread(this::play, "paced clients");
    private final AtomicInteger ended = new AtomicInteger();
    private volatile boolean over;

    /** @param kinds the clients are of these kinds in turn */
    PacedClients(int port, int count, List<Kind> kinds) {
        this.port = port;
        for (int i = 0; i < count; i++) {
            clients.add(new Client(kinds.get(i % kinds.size()), i));
        }
        player.setDaemon(true);
        player.start();
    }

    /** Returns how many connections have ended so far. */
    int ended() {
        return ended.get();
    }

    private void play() {
        while (!over) {
            clients.forEach(Client::step);
            try {
                Thread.sleep(STEP_MS);
            } catch (InterruptedException e) {
                break;
            }
        }
        clients.forEach(Client::end);
    }

    private static ByteBuffer ascii(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void close() {
        over = true;
        player.interrupt();
    }
}
