package ivybank.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Keys and values that outlast a cut of the power. One thread of its own writes: all that waits goes out together and is
 * confirmed by one force. Callers never wait for the disk; each is told once, on that thread, what became of its change.
 */
public final class Store implements AutoCloseable {

    /** What became of a change. */
    public enum Outcome {
        /** It is on the disk. */
        CONFIRMED,
        /** Too much is waiting: nothing was tried. */
        BUSY,
        /** The disk has no room for it, by the limits: nothing was tried. */
        FULL,
        /** The disk failed, or the store is closed: it counts as not made. */
        FAILED
    }

    /** How the store is. */
    public enum State {
        GOOD,
        FULL,
        FAILING,
        CLOSED
    }

    /**
     * Figures for operators: waiting ones, bytes on the disk, keys, and counts since the start.
     *
     * @param longestForceMs the longest that a batch took so far
     */
    public record Figures(
            State state,
            int waiting,
            long used,
            int keys,
            long confirmed,
            long batches,
            long compactions,
            long failures,
            double longestForceMs) {}

    private static final int LONGEST_KEY = 65_535;
    private static final long PAUSE_AFTER_FAILURE_MS = 200;
    private static final long IDLE_MS = 1000;
    /** A disk that answers nothing must not keep the process from its end. */
    private static final long LONGEST_CLOSE_MS = 10_000;

    private static final double NANOS_IN_MS = 1e6;

    private record Waiting(Op op, Consumer<Outcome> done, int size) {}

    private record Read(byte[] key, BiConsumer<byte[], IOException> done) {}

    private final SegmentLog log;
    private final Limits limits;
    private final RecoveryReport report;
    private final BlockingQueue<Object> queue = new LinkedBlockingQueue<>(); // bounded by what may wait, in bytes
    private final AtomicLong waitingBytes = new AtomicLong();
    private final Thread writer;
    private volatile boolean closing;
    private volatile Figures figures;
    private volatile State state = State.GOOD;
    private long confirmed;
    private long batches;
    private double longestForceMs;
    private long quietUntil;
    private volatile IOException closeFailure;

    private Store(SegmentLog log, Limits limits, RecoveryReport report, ThreadFactory threads) {
        this.log = log;
        this.limits = limits;
        this.report = report;
        this.writer = threads.newThread(this::write);
        publish();
    }

    /**
     * Recovers the store of a disk, which it takes over and closes in the end.
     *
     * @param degrade whether to go on without confirmed data that are damaged, which are put aside, rather than refuse
     * @param stored is shown all that it holds, before this returns
     * @throws StoreException in one line, if it can't be used as it is; nothing is changed then
     */
    public static Store open(
            Disk disk, Limits limits, boolean degrade, BiConsumer<byte[], byte[]> stored, ThreadFactory threads)
            throws IOException {
        try {
            Recovery.Recovered recovered = Recovery.run(disk, limits, degrade);
            recovered.log().forEach(stored);
            Store store = new Store(recovered.log(), limits, recovered.report(), threads);
            store.writer.start();
            return store;
        } catch (IOException | RuntimeException e) {
            disk.close();
            throw e;
        }
    }

    /** What the start found. */
    public RecoveryReport report() {
        return report;
    }

    /** Why the store could not be closed as it should; null if it was. */
    public IOException closeFailure() {
        return closeFailure;
    }

    public Figures figures() {
        return figures;
    }

    /** Sets a key's value; {@code done} is told once, at once if nothing can be tried. */
    public void put(byte[] key, byte[] value, Consumer<Outcome> done) {
        if (value.length > limits.value()) {
            throw new IllegalArgumentException(
                    "a value of " + value.length + " bytes, " + limits.value() + " are allowed");
        }
        submit(new Op(checked(key), value), done);
    }

    /** Removes a key, which need not be there. */
    public void delete(byte[] key, Consumer<Outcome> done) {
        submit(new Op(checked(key), null), done);
    }

    /** Reads a key's value, null if there is none, or why it can't be read any more. */
    public void get(byte[] key, BiConsumer<byte[], IOException> done) {
        if (closing) {
            done.accept(null, new StoreException("the store is closed"));
        } else {
            Read read = new Read(key, done);
            queue.add(read);
            if (state == State.CLOSED && queue.remove(read)) {
                done.accept(null, new StoreException("the store is closed"));
            }
        }
    }

    private static Key checked(byte[] key) {
        if (key.length == 0 || key.length > LONGEST_KEY) {
            throw new IllegalArgumentException(
                    "a key of " + key.length + " bytes, 1 to " + LONGEST_KEY + " are allowed");
        }
        return new Key(key);
    }

    private void submit(Op op, Consumer<Outcome> done) {
        int size = op.size();
        if (closing) {
            done.accept(Outcome.FAILED);
        } else if (state == State.FULL && !op.isDeletion()) {
            done.accept(Outcome.FULL);
        } else if (waitingBytes.addAndGet(size) > limits.waiting()) {
            waitingBytes.addAndGet(-size);
            done.accept(Outcome.BUSY);
        } else {
            Waiting waiting = new Waiting(op, done, size);
            queue.add(waiting);
            if (state == State.CLOSED && queue.remove(waiting)) {
                done.accept(Outcome.FAILED); // the writer ended in between
            }
        }
    }

    // ---- The writer.

    private void write() {
        List<Object> taken = new ArrayList<>();
        try {
            while (!closing || !queue.isEmpty()) {
                taken.clear();
                Object first = queue.poll(pauseMs(), TimeUnit.MILLISECONDS);
                if (first != null) {
                    taken.add(first);
                    drain(taken);
                    serve(taken);
                }
                if (!closing) {
                    repair();
                    compact();
                }
                publish();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            end();
        }
    }

    private long pauseMs() {
        return state == State.FAILING
                ? PAUSE_AFTER_FAILURE_MS
                : log.wantsCompaction() && System.nanoTime() >= quietUntil ? 0 : IDLE_MS;
    }

    /** Takes what waits, as far as one batch may go. */
    private void drain(List<Object> taken) {
        long size = taken.get(0) instanceof Waiting waiting ? waiting.size : 0;
        for (Object next = queue.peek(); next != null; next = queue.peek()) {
            size += next instanceof Waiting waiting ? waiting.size : 0;
            if (size > limits.segment() / 2) {
                return;
            }
            taken.add(queue.remove());
        }
    }

    private void serve(List<Object> taken) {
        List<Waiting> batch = new ArrayList<>();
        int size = 0;
        boolean full = false;
        long room = log.room(false);
        long roomOfDeletions = log.room(true);
        for (Object each : taken) {
            if (each instanceof Waiting waiting) {
                waitingBytes.addAndGet(-waiting.size);
                if (size + waiting.size <= (waiting.op.isDeletion() ? roomOfDeletions : room)) {
                    batch.add(waiting);
                    size += waiting.size;
                } else {
                    full = true;
                    tell(waiting, Outcome.FULL);
                }
            }
        }
        if (full) {
            state = State.FULL;
        } else if (state == State.FULL && room >= limits.segment() / 2) {
            state = State.GOOD;
        }
        if (!batch.isEmpty()) {
            append(batch);
        }
        for (Object each : taken) {
            if (each instanceof Read read) {
                read(read);
            }
        }
    }

    private void append(List<Waiting> batch) {
        long from = System.nanoTime();
        Outcome outcome;
        try {
            log.append(batch.stream().map(Waiting::op).toList());
            outcome = Outcome.CONFIRMED;
            confirmed += batch.size();
            batches++;
            state = state == State.FAILING ? State.GOOD : state;
        } catch (IOException | RuntimeException e) {
            outcome = Outcome.FAILED;
            state = State.FAILING;
        }
        longestForceMs = Math.max(longestForceMs, (System.nanoTime() - from) / NANOS_IN_MS);
        publish(); // before anybody is told, who may look at them
        for (Waiting each : batch) {
            tell(each, outcome);
        }
    }

    /** Tells what became of a change: who fails on hearing it must not end the writer. */
    private static void tell(Waiting change, Outcome outcome) {
        try {
            change.done.accept(outcome);
        } catch (RuntimeException | Error e) {
            // It was told; what it makes of that is its own matter.
        }
    }

    private void read(Read read) {
        try {
            read.done.accept(log.get(new Key(read.key)), null);
        } catch (IOException e) {
            read.done.accept(null, e);
        } catch (RuntimeException | Error e) {
            // Who asked has failed on the answer: that is its own matter, and ends no writer.
        }
    }

    /** Tries a disk that has failed again, or nobody would: what must be recorded is refused meanwhile. */
    private void repair() {
        if (state == State.FAILING && System.nanoTime() >= quietUntil) {
            try {
                log.repair();
                state = State.GOOD;
            } catch (IOException | RuntimeException e) {
                quietUntil = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PAUSE_AFTER_FAILURE_MS);
            }
        }
    }

    private void compact() {
        if (System.nanoTime() < quietUntil) {
            return;
        }
        try {
            log.compact(state == State.FULL ? 1 : limits.segment() / 2);
            if (state == State.FULL && !log.isCompacting() && log.room(false) >= limits.segment() / 2) {
                state = State.GOOD;
            }
        } catch (IOException | RuntimeException e) {
            quietUntil = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PAUSE_AFTER_FAILURE_MS);
        }
    }

    private void publish() {
        figures = new Figures(
                state,
                queue.size(),
                log.used(),
                log.keys(),
                confirmed,
                batches,
                log.compactions(),
                log.failures(),
                longestForceMs);
    }

    private void end() {
        state = State.CLOSED;
        try {
            log.close();
        } catch (IOException e) {
            closeFailure = e; // all that anybody was told is confirmed; the next start reads the end as after a cut
        }
        publish();
        failRest();
    }

    /** Writes what waits, and returns when it is on the disk and the folder is free. */
    @Override
    public void close() {
        closing = true;
        boolean interrupted = false;
        queue.add(new Object()); // wakes the writer
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONGEST_CLOSE_MS);
        while (writer.isAlive() && System.nanoTime() < untilNanos) {
            try {
                writer.join(PAUSE_AFTER_FAILURE_MS);
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        // Whoever came in between the last look and the end.
        failRest();
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void failRest() {
        for (Object each = queue.poll(); each != null; each = queue.poll()) {
            if (each instanceof Waiting waiting) {
                tell(waiting, Outcome.FAILED);
            } else if (each instanceof Read read) {
                read.done.accept(null, new StoreException("the store is closed"));
            }
        }
    }
}
