package ivybank.testing;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * A discovery on real sockets and an event loop beside it, both moved on by the test's own thread and clock: whatever one side
 * writes the other has read before the clock goes on, so that times are exact and the same each time.
 */
public final class SetClockAgent implements AutoCloseable {

    /** What it does with a call. */
    public interface Answers {
        void called(Call call, String head) throws IOException;
    }

    /** One connection. */
    public final class Call {
        private final SocketChannel channel;
        private final StringBuilder text = new StringBuilder();
        private boolean ended;

        Call(SocketChannel channel) {
            this.channel = channel;
        }

        public void write(String bytes) throws IOException {
            try {
                toRead += channel.write(ByteBuffer.wrap(bytes.getBytes(StandardCharsets.UTF_8)));
            } catch (IOException e) {
                ended = true; // the other side has left
            }
        }

        public void list(String json) throws IOException {
            write("HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json);
        }

        public void watch() throws IOException {
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        public void piece(String text) throws IOException {
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        public void close() throws IOException {
            ended = true;
            channel.close();
        }

        public boolean open() {
            return !ended;
        }

        private boolean read(Answers answers) throws IOException {
            ByteBuffer bytes = ByteBuffer.allocate(4096);
            int count = ended ? 0 : channel.read(bytes);
            if (count <= 0) {
                ended |= count < 0;
                return false;
            }
            toTake -= count;
            text.append(new String(bytes.array(), 0, count, StandardCharsets.UTF_8));
            for (int end = text.indexOf("\r\n\r\n"); end >= 0; end = text.indexOf("\r\n\r\n")) {
                String head = text.substring(0, end);
                text.delete(0, end + 4);
                answers.called(this, head);
            }
            return true;
        }
    }

    private static final int STEP_MS = 5;
    private static final int MOST_LOOKS = 200;
    private static final long LOOK_NANOS = 200_000;

    public final List<Call> calls = new ArrayList<>();
    private final MockTicker ticker = Ticker.newMockTicker();
    private final ManualIoEventLoop loop =
            new ManualIoEventLoop(null, Thread.currentThread(), NioIoHandler.newFactory(), ticker);
    private final ServerSocketChannel listener = ServerSocketChannel.open();
    private final Answers answers;
    private double nowMs;
    /** Connections begun and come up; and bytes that the other side has written, or this one, and that are not read yet. */
    private int connects;

    private int up;
    private long toRead;
    private long toTake;

    public SetClockAgent(Answers answers) throws IOException {
        this.answers = answers;
        listener.configureBlocking(false);
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    public EventLoop loop() {
        return loop;
    }

    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    /** The time that has gone by, in ms. */
    public double nowMs() {
        return nowMs;
    }

    /** A connection to it whose bytes are counted, so that it is known what is still on its way. */
    public Channel channel() {
        return new NioSocketChannel() {
            @Override
            protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
                boolean connected = super.doConnect(remote, local);
                connects++;
                up += connected ? 1 : 0;
                return connected;
            }

            @Override
            protected void doFinishConnect() throws Exception {
                super.doFinishConnect();
                up++;
            }

            @Override
            protected int doReadBytes(ByteBuf into) throws Exception {
                int count = super.doReadBytes(into);
                toRead -= Math.max(0, count);
                return count;
            }

            @Override
            protected void doWrite(ChannelOutboundBuffer out) throws Exception {
                out.nioBuffers();
                toTake += out.nioBufferSize(); // all that is asked at once fits the socket
                super.doWrite(out);
            }
        };
    }

    /** Lets both sides do what there is to do now, until nothing is on its way between them. */
    public void settle() throws IOException {
        for (int looks = 0, quiet = 0; quiet < 2 && looks < MOST_LOOKS; looks++) {
            boolean busy = loop.runNow() > 0;
            for (SocketChannel next = listener.accept(); next != null; next = listener.accept()) {
                next.configureBlocking(false);
                calls.add(new Call(next));
                busy = true;
            }
            for (Call call : List.copyOf(calls)) {
                busy |= call.read(answers);
            }
            boolean onItsWay = connects > calls.size() || connects > up || toRead > 0 || toTake > 0;
            quiet = busy || onItsWay ? 0 : quiet + 1;
            if (!busy && onItsWay) {
                LockSupport.parkNanos(LOOK_NANOS);
            }
        }
        toRead = 0; // what went to a connection that was closed
        toTake = 0;
    }

    /** Lets so much time go by. */
    public void advance(double ms) throws IOException {
        for (double untilMs = nowMs + ms; nowMs < untilMs; nowMs += STEP_MS) {
            ticker.advance(STEP_MS, TimeUnit.MILLISECONDS);
            settle();
        }
    }

    @Override
    public void close() throws IOException {
        for (Call call : calls) {
            call.channel.close();
        }
        listener.close();
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        for (int i = 0; i < 100 && !loop.isTerminated(); i++) {
            loop.runNow();
        }
    }
}
