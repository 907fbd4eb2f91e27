package ivybank.simhost;

import ivybank.policy.Balancer;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects the actions of all balancer instances for one batch and writes them as one frame. */
final class Reply {

    private static final int LENGTH_BYTES = 4;
    private static final int MAX_TEXT_BYTES = 0xffff;
    private static final int NO_INSTANCE = -1;

    private ByteBuffer buffer = littleEndian(new byte[1 << 16]);
    private int currentInstance = NO_INSTANCE;

    void begin(int batchNumber) {
        buffer.clear();
        buffer.putInt(0).putInt(batchNumber);
        currentInstance = NO_INSTANCE;
    }

    void writeTo(OutputStream out) throws IOException {
        buffer.putInt(0, buffer.position() - LENGTH_BYTES);
        out.write(buffer.array(), 0, buffer.position());
        out.flush();
    }

    /** Reports that the balancer of this instance has failed. */
    void panic(int instance, String text) {
        text(instance, 10, text);
    }

    /** Returns the actions of one instance, which are encoded into this reply. */
    Balancer.Actions actionsOf(int instance) {
        return new Balancer.Actions() {

            @Override
            public void send(int request, int upstream, double timeoutMs) {
                record(instance, 1, 16).putInt(request).putDouble(timeoutMs).putInt(upstream);
            }

            @Override
            public void refuse(int request, double retryAfterMs) {
                record(instance, 2, 12).putInt(request).putDouble(retryAfterMs);
            }

            @Override
            public void fail(int request) {
                record(instance, 3, 4).putInt(request);
            }

            @Override
            public void cancel(int request, int attempt) {
                record(instance, 4, 5).putInt(request).put((byte) attempt);
            }

            @Override
            public void timer(double delayMs, int token) {
                record(instance, 5, 12).putDouble(delayMs).putInt(token);
            }

            @Override
            public void probe(int upstream) {
                record(instance, 6, 4).putInt(upstream);
            }

            @Override
            public void closeIdle(int upstream) {
                record(instance, 7, 4).putInt(upstream);
            }

            @Override
            public void log(String line) {
                text(instance, 9, line);
            }

            @Override
            public void subscribe(boolean on) {
                record(instance, 11, 1).put((byte) (on ? 1 : 0));
            }

            @Override
            public void fetchList() {
                record(instance, 12, 0);
            }
        };
    }

    private void text(int instance, int code, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(bytes.length, MAX_TEXT_BYTES);
        record(instance, code, 2 + length).putShort((short) length).put(bytes, 0, length);
    }

    private ByteBuffer record(int instance, int code, int fieldBytes) {
        if (currentInstance != instance) {
            currentInstance = instance;
            ensureCapacity(4).putShort((short) 13).putShort((short) instance);
        }
        return ensureCapacity(2 + fieldBytes).putShort((short) code);
    }

    private ByteBuffer ensureCapacity(int bytes) {
        if (buffer.remaining() < bytes) {
            int used = buffer.position();
            buffer = littleEndian(Arrays.copyOf(buffer.array(), 2 * (used + bytes)));
            buffer.position(used);
        }
        return buffer;
    }

    private static ByteBuffer littleEndian(byte[] bytes) {
        return ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }
}
