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
 * A durable key-value store that survives a loss of power. A single writer thread writes all queued changes as one
 * batch and confirms them with one force. Callers never wait for the disk; each is called back once, on the writer
 * thread or at once, with the outcome of its change.
 */
public final class Store implements AutoCloseable {

    /** The outcome of a change. */
    public enum Outcome {
        /** The change is on the disk. */
        CONFIRMED,
        /** The queue is full; nothing was written. */
        BUSY,
        /** The change exceeds the size limit of the store; nothing was written. */
        FULL,
        /** The disk failed, or the store is closed; the change does not take effect. */
        FAILED
    }

    /** The condition of the store. */
    public enum State {
        /** Changes are accepted and confirmed. */
        GOOD,
        /** The size limit is reached; only deletions are accepted. */
        FULL,
        /** The last write failed; the disk is tried again at intervals. */
        FAILING,
        /** The writer has stopped; nothing is accepted. */
        CLOSED
    }

    /**
     * Statistics for operators. Counts begin at the start of the process.
     *
     * @param pending number of queued reads and writes
     * @param usedBytes size of all segments
     * @param confirmed number of confirmed changes
     * @param failures number of failed writes and forces
     * @param longestForceMs longest time that a batch has taken
     */
    public record Statistics(
            State state,
            int pending,
            long usedBytes,
            int keyCount,
            long confirmed,
            long batches,
            long compactions,
            long failures,
            double longestForceMs) {}

    /** The most heap that one key takes while the store is open, in bytes, however long it is. */
    public static final int MAX_BYTES_PER_KEY = Index.MAX_BYTES_PER_KEY;

    private static final int MAX_KEY_BYTES = 65_535;
    private static final long RETRY_DELAY_MS = 200;
    private static final long IDLE_POLL_TIMEOUT_MS = 1000;
    /** Bounds the wait in close, so that a disk that does not respond can't keep the process from exiting. */
    private static final long CLOSE_TIMEOUT_MS = 10_000;

    private static final double NANOS_PER_MS = 1e6;

    private record PendingWrite(Mutation mutation, Consumer<Outcome> callback, int size) {}

    private record PendingRead(byte[] key, BiConsumer<byte[], IOException> callback) {}

    private final SegmentLog log;
    private final Limits limits;
    private final RecoveryReport report;
    private final BlockingQueue<Object> queue = new LinkedBlockingQueue<>(); // bounded by pendingBytes
    private final AtomicLong pendingBytes = new AtomicLong();
    private final Thread writer;
    private volatile boolean closing;
    private volatile Statistics statistics;
    private volatile State state = State.GOOD;
    private long confirmedCount;
    private long batchCount;
    private double longestForceMs;
    /** Time before which neither a repair nor a compaction is tried again after a failure. */
    private long retryAtNanos;

    private volatile IOException closeFailure;

    private Store(SegmentLog log, Limits limits, RecoveryReport report, ThreadFactory threads) {
        this.log = log;
        this.limits = limits;
        this.report = report;
        this.writer = threads.newThread(this::runWriter);
        publishStatistics();
    }

    /**
     * Recovers the store of a disk and starts its writer. The store owns the disk and closes it.
     *
     * @param degrade whether to quarantine corrupt segments and continue without the lost data, rather than fail
     * @param visitor receives all stored keys and values before this returns, in the order in which they were written last
     * @throws StoreException if the store can't be used in its present state; nothing is changed then
     */
    public static Store open(
            Disk disk, Limits limits, boolean degrade, BiConsumer<byte[], byte[]> visitor, ThreadFactory threads)
            throws IOException {
        try {
            Recovery.Recovered recovered = Recovery.run(disk, limits, degrade);
            recovered.log().forEach(visitor);
            Store store = new Store(recovered.log(), limits, recovered.report(), threads);
            store.writer.start();
            return store;
        } catch (IOException | RuntimeException e) {
            disk.close();
            throw e;
        }
    }

    /** Returns what recovery found. */
    public RecoveryReport report() {
        return report;
    }

    /** Returns the failure of an orderly close, or null if there was none. */
    public IOException closeFailure() {
        return closeFailure;
    }

    /** Returns whether the store is closed: nothing of it is written any more, and its disk is released. */
    public boolean isClosed() {
        return !writer.isAlive();
    }

    /** Returns the statistics after the latest step of the writer. */
    public Statistics statistics() {
        return statistics;
    }

    /** Writes a value to a key. {@code callback} is called once, before this returns if the change is rejected. */
    public void put(byte[] key, byte[] value, Consumer<Outcome> callback) {
        if (value.length > limits.value()) {
            throw new IllegalArgumentException(
                    "value has " + value.length + " bytes; at most " + limits.value() + " are allowed");
        }
        submit(new Mutation(checkedKey(key), value), callback);
    }

    /** Deletes a key, which need not exist. */
    public void delete(byte[] key, Consumer<Outcome> callback) {
        submit(new Mutation(checkedKey(key), null), callback);
    }

    /** Reads the value of a key. {@code callback} receives the value, or null if there is none, or the read failure. */
    public void get(byte[] key, BiConsumer<byte[], IOException> callback) {
        if (closing) {
            callback.accept(null, new StoreException("the store is closed"));
        } else {
            PendingRead read = new PendingRead(key, callback);
            queue.add(read);
            if (state == State.CLOSED && queue.remove(read)) {
                callback.accept(null, new StoreException("the store is closed"));
            }
        }
    }

    private static Key checkedKey(byte[] key) {
        if (key.length == 0 || key.length > MAX_KEY_BYTES) {
            throw new IllegalArgumentException(
                    "key has " + key.length + " bytes; 1 to " + MAX_KEY_BYTES + " are allowed");
        }
        return new Key(key);
    }

    private void submit(Mutation mutation, Consumer<Outcome> callback) {
        int size = mutation.encodedBytes();
        if (closing) {
            callback.accept(Outcome.FAILED);
        } else if (state == State.FULL && !mutation.isDeletion()) {
            callback.accept(Outcome.FULL);
        } else if (pendingBytes.addAndGet(size) > limits.waiting()) {
            pendingBytes.addAndGet(-size);
            callback.accept(Outcome.BUSY);
        } else {
            PendingWrite pending = new PendingWrite(mutation, callback, size);
            queue.add(pending);
            if (state == State.CLOSED && queue.remove(pending)) {
                callback.accept(Outcome.FAILED); // the writer stopped concurrently
            }
        }
    }

    private void runWriter() {
        List<Object> taken = new ArrayList<>();
        try {
            while (!closing || !queue.isEmpty()) {
                taken.clear();
                Object first = queue.poll(pollTimeoutMs(), TimeUnit.MILLISECONDS);
                if (first != null) {
                    taken.add(first);
                    collectBatch(taken);
                    process(taken);
                }
                if (!closing) {
                    retryDisk();
                    compact();
                }
                publishStatistics();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            shutDown();
        }
    }

    private long pollTimeoutMs() {
        return state == State.FAILING
                ? RETRY_DELAY_MS
                : log.wantsCompaction() && System.nanoTime() >= retryAtNanos ? 0 : IDLE_POLL_TIMEOUT_MS;
    }

    /** Takes queued reads and writes, up to the maximum size of one batch. */
    private void collectBatch(List<Object> taken) {
        long size = taken.get(0) instanceof PendingWrite pending ? pending.size : 0;
        for (Object next = queue.peek(); next != null; next = queue.peek()) {
            size += next instanceof PendingWrite pending ? pending.size : 0;
            if (size > limits.segment() / 2) {
                return;
            }
            taken.add(queue.remove());
        }
    }

    private void process(List<Object> taken) {
        List<PendingWrite> batch = new ArrayList<>();
        int size = 0;
        boolean full = false;
        long freeBytes = log.freeBytes(false);
        long freeBytesForDeletions = log.freeBytes(true);
        for (Object each : taken) {
            if (each instanceof PendingWrite pending) {
                pendingBytes.addAndGet(-pending.size);
                if (size + pending.size <= (pending.mutation.isDeletion() ? freeBytesForDeletions : freeBytes)) {
                    batch.add(pending);
                    size += pending.size;
                } else {
                    full = true;
                    notifyCaller(pending, Outcome.FULL);
                }
            }
        }
        if (full) {
            state = State.FULL;
        } else if (state == State.FULL && freeBytes >= limits.segment() / 2) {
            state = State.GOOD;
        }
        if (!batch.isEmpty()) {
            append(batch);
        }
        for (Object each : taken) {
            if (each instanceof PendingRead read) {
                read(read);
            }
        }
    }

    private void append(List<PendingWrite> batch) {
        long startNanos = System.nanoTime();
        Outcome outcome;
        try {
            log.append(batch.stream().map(PendingWrite::mutation).toList());
            outcome = Outcome.CONFIRMED;
            confirmedCount += batch.size();
            batchCount++;
            state = state == State.FAILING ? State.GOOD : state;
        } catch (IOException | RuntimeException e) {
            outcome = Outcome.FAILED;
            state = State.FAILING;
        }
        longestForceMs = Math.max(longestForceMs, (System.nanoTime() - startNanos) / NANOS_PER_MS);
        publishStatistics(); // before the callbacks, which may read them
        for (PendingWrite each : batch) {
            notifyCaller(each, outcome);
        }
    }

    /** Calls back with the outcome of a change. A failing callback must not stop the writer. */
    private static void notifyCaller(PendingWrite change, Outcome outcome) {
        try {
            change.callback.accept(outcome);
        } catch (RuntimeException | Error e) {
            // The callback has the outcome; its own failure does not concern the store.
        }
    }

    private void read(PendingRead read) {
        try {
            read.callback.accept(log.get(new Key(read.key)), null);
        } catch (IOException e) {
            read.callback.accept(null, e);
        } catch (RuntimeException | Error e) {
            // The callback failed; that does not concern the store and must not stop the writer.
        }
    }

    /** Tries a failed disk again. No write would do so, because requests that need one are refused in the meantime. */
    private void retryDisk() {
        if (state == State.FAILING && System.nanoTime() >= retryAtNanos) {
            try {
                log.repair();
                state = State.GOOD;
            } catch (IOException | RuntimeException e) {
                retryAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MS);
            }
        }
    }

    private void compact() {
        if (System.nanoTime() < retryAtNanos) {
            return;
        }
        try {
            log.compact(state == State.FULL ? 1 : limits.segment() / 2);
            if (state == State.FULL && !log.isCompacting() && log.freeBytes(false) >= limits.segment() / 2) {
                state = State.GOOD;
            }
        } catch (IOException | RuntimeException e) {
            retryAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MS);
        }
    }

    private void publishStatistics() {
        statistics = new Statistics(
                state,
                queue.size(),
                log.usedBytes(),
                log.keyCount(),
                confirmedCount,
                batchCount,
                log.compactions(),
                log.failures(),
                longestForceMs);
    }

    private void shutDown() {
        state = State.CLOSED;
        try {
            log.close();
        } catch (IOException e) {
            closeFailure = e; // confirmed changes are safe; the next start treats the end as after a power cut
        }
        publishStatistics();
        failPending();
    }

    /**
     * Writes all queued changes, and returns when they are on the disk and the folder is unlocked, or after a timeout.
     */
    @Override
    public void close() {
        closing = true;
        boolean interrupted = false;
        queue.add(new Object()); // wakes the writer
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MS);
        while (writer.isAlive() && System.nanoTime() < deadlineNanos) {
            try {
                writer.join(RETRY_DELAY_MS);
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        // Reads and writes that were queued while the writer stopped.
        failPending();
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void failPending() {
        for (Object each = queue.poll(); each != null; each = queue.poll()) {
            if (each instanceof PendingWrite pending) {
                notifyCaller(pending, Outcome.FAILED);
            } else if (each instanceof PendingRead read) {
                read.callback.accept(null, new StoreException("the store is closed"));
            }
        }
    }
}
