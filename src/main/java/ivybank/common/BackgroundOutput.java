package ivybank.common;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Writes to another stream on a separate thread, so that logging never blocks, as it would on a pipe that nobody reads. What
 * exceeds the queue is dropped and counted.
 */
public final class BackgroundOutput extends OutputStream {

    private static final int MAX_QUEUED_BYTES = 128 * 1024;
    private static final long SHUTDOWN_FLUSH_TIMEOUT_MS = 200;

    private final PrintStream target;
    private final Deque<byte[]> queue = new ArrayDeque<>();
    private int queuedBytes;
    private boolean writing;
    private long dropped;

    BackgroundOutput(PrintStream target) {
        this.target = target;
        Thread writer = new Thread(this::writeLoop, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Replaces standard error with such a stream; at exit the process waits until its last output is written, for a limited
     * time.
     */
    public static BackgroundOutput replaceStandardError() {
        BackgroundOutput output = new BackgroundOutput(System.err);
        System.setErr(new PrintStream(output, false, StandardCharsets.UTF_8));
        Runtime.getRuntime().addShutdownHook(new Thread(output::awaitWritten, "log-flush"));
        return output;
    }

    @Override
    public void write(int single) {
        write(new byte[] {(byte) single}, 0, 1);
    }

    @Override
    public synchronized void write(byte[] bytes, int from, int length) {
        if (length == 0) {
            return;
        }
        if (queuedBytes + length > MAX_QUEUED_BYTES) {
            dropped++;
            return;
        }
        add(Arrays.copyOfRange(bytes, from, from + length));
    }

    private void add(byte[] chunk) {
        queue.addLast(chunk);
        queuedBytes += chunk.length;
        notifyAll();
    }

    private void writeLoop() {
        while (true) {
            byte[] chunk = next();
            if (chunk == null) {
                return;
            }
            target.write(chunk, 0, chunk.length);
            target.flush();
            written(chunk);
        }
    }

    private synchronized byte[] next() {
        try {
            while (queue.isEmpty()) {
                wait();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
        writing = true;
        return queue.pollFirst();
    }

    private synchronized void written(byte[] chunk) {
        writing = false;
        queuedBytes -= chunk.length;
        if (dropped > 0 && queue.isEmpty()) {
            add(("(" + dropped + " log writes dropped: the output is not being read)\n")
                    .getBytes(StandardCharsets.UTF_8));
            dropped = 0;
        }
        notifyAll();
    }

    /** Waits until all output is written, for a limited time. */
    public synchronized void awaitWritten() {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SHUTDOWN_FLUSH_TIMEOUT_MS);
        try {
            while (writing || !queue.isEmpty()) {
                long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
                if (remainingMs <= 0) {
                    return;
                }
                wait(remainingMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
