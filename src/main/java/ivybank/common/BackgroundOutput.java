package ivybank.common;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Writes to another stream on a thread of its own, so that whoever logs never waits: a pipe that nobody reads blocks its writer. What
 * doesn't fit is dropped and counted.
 */
public final class BackgroundOutput extends OutputStream {

    private static final int MOST_WAITING_BYTES = 128 * 1024;
    private static final long LAST_WORDS_MS = 200;

    private final PrintStream target;
    private final Deque<byte[]> waiting = new ArrayDeque<>();
    private int waitingBytes;
    private boolean writing;
    private long dropped;

    BackgroundOutput(PrintStream target) {
        this.target = target;
        Thread writer = new Thread(this::writeOn, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Puts one before standard error; what the process prints last is waited for when it ends. */
    public static BackgroundOutput replaceStandardError() {
        BackgroundOutput output = new BackgroundOutput(System.err);
        System.setErr(new PrintStream(output, false, StandardCharsets.UTF_8));
        Runtime.getRuntime().addShutdownHook(new Thread(output::awaitWritten, "last words"));
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
        if (waitingBytes + length > MOST_WAITING_BYTES) {
            dropped++;
            return;
        }
        add(Arrays.copyOfRange(bytes, from, from + length));
    }

    private void add(byte[] chunk) {
        waiting.addLast(chunk);
        waitingBytes += chunk.length;
        notifyAll();
    }

    private void writeOn() {
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
            while (waiting.isEmpty()) {
                wait();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
        writing = true;
        return waiting.pollFirst();
    }

    private synchronized void written(byte[] chunk) {
        writing = false;
        waitingBytes -= chunk.length;
        if (dropped > 0 && waiting.isEmpty()) {
            add(("(" + dropped + " pieces of the log were dropped: nobody took them)\n")
                    .getBytes(StandardCharsets.UTF_8));
            dropped = 0;
        }
        notifyAll();
    }

    /** Waits for a moment until all is written. */
    public synchronized void awaitWritten() {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAST_WORDS_MS);
        try {
            while (writing || !waiting.isEmpty()) {
                long leftMs = TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime());
                if (leftMs <= 0) {
                    return;
                }
                wait(leftMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
