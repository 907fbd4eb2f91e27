package ivybank.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.api.io.TempDir;

/**
 * Measures the cost of a promise. It runs by hand only: {@code mvn test -Dtest=StoreBenchmark -Dstore.benchmark=true}.
 * A bare append with a force, the store, and H2's MVStore write the same bytes to the same disk in alternate rounds.
 * The table is written to target/store-benchmark.md.
 */
@EnabledIfSystemProperty(named = "store.benchmark", matches = "true")
class StoreBenchmark {

    private static final int VALUE_BYTES = 200;
    private static final int ROUNDS = 3;
    private static final long ROUND_NANOS = 1_500_000_000L;
    private static final Limits LIMITS = new Limits(4L << 30, 8 << 20, 1 << 16, 16 << 20);

    /** A result: records per second, and percentiles of the time to confirm a record, in ms. */
    private record Result(double rate, double p50, double p99) {}

    @TempDir
    Path dir;

    private final StringBuilder table = new StringBuilder();

    private static byte[] key(long number) {
        return String.format(Locale.ROOT, "record-submit\nevent-%012d", number).getBytes(StandardCharsets.UTF_8);
    }

    private Path newFolder(String name) throws IOException {
        return Files.createTempDirectory(dir, name);
    }

    private Result measureBareAppend(int waiting) throws IOException {
        Histogram times = new Histogram(3);
        long count = 0;
        long beginNanos = System.nanoTime();
        try (FileChannel file = FileChannel.open(
                newFolder("bare").resolve("log"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            byte[] record = new byte[Records.encodedBytes(key(0), new byte[VALUE_BYTES])];
            while (System.nanoTime() - beginNanos < ROUND_NANOS) {
                long startNanos = System.nanoTime();
                ByteBuffer batch = ByteBuffer.allocate(record.length * waiting);
                for (int i = 0; i < waiting; i++) {
                    batch.put(record);
                }
                batch.flip();
                while (batch.hasRemaining()) {
                    file.write(batch);
                }
                file.force(false);
                times.recordValueWithCount(System.nanoTime() - startNanos, waiting);
                count += waiting;
            }
        }
        return result(count, beginNanos, times);
    }

    private static Result result(long count, long beginNanos, Histogram times) {
        return new Result(
                count * 1e9 / (System.nanoTime() - beginNanos),
                times.getValueAtPercentile(50) / 1e6,
                times.getValueAtPercentile(99) / 1e6);
    }

    private Store open(Path folder) throws IOException {
        return Store.open(FileSystemDisk.lock(folder), LIMITS, false, (key, value) -> {}, Thread::new);
    }

    /** Measures the store with a number of different keys. A small number leaves much to compact. */
    private Result measureStore(int waiting, long keys) throws Exception {
        Histogram times = new Histogram(3); // written by the store's writer thread only
        AtomicLong next = new AtomicLong();
        AtomicInteger activeWriters = new AtomicInteger(waiting);
        CountDownLatch finished = new CountDownLatch(1);
        byte[] value = new byte[VALUE_BYTES];
        long beginNanos = System.nanoTime();
        try (Store store = open(newFolder("store"))) {
            for (int i = 0; i < waiting; i++) {
                putNext(store, next, keys, value, times, beginNanos, activeWriters, finished);
            }
            finished.await();
            return result(times.getTotalCount(), beginNanos, times);
        }
    }

    private static void putNext(
            Store store,
            AtomicLong next,
            long keys,
            byte[] value,
            Histogram times,
            long beginNanos,
            AtomicInteger activeWriters,
            CountDownLatch finished) {
        long startNanos = System.nanoTime();
        store.put(key(next.getAndIncrement() % keys), value, outcome -> {
            if (outcome != Store.Outcome.CONFIRMED) {
                throw new IllegalStateException(outcome.toString());
            }
            times.recordValue(System.nanoTime() - startNanos);
            if (System.nanoTime() - beginNanos < ROUND_NANOS) {
                putNext(store, next, keys, value, times, beginNanos, activeWriters, finished);
            } else if (activeWriters.decrementAndGet() == 0) {
                finished.countDown();
            }
        });
    }

    private Result measureMvStore(int waiting) throws IOException {
        Histogram times = new Histogram(3);
        long count = 0;
        long beginNanos = System.nanoTime();
        try (MVStore store = new MVStore.Builder()
                .fileName(newFolder("mv").resolve("mv").toString())
                .autoCommitDisabled()
                .open()) {
            MVMap<String, byte[]> map = store.openMap("promises");
            while (System.nanoTime() - beginNanos < ROUND_NANOS) {
                long startNanos = System.nanoTime();
                for (int i = 0; i < waiting; i++) {
                    map.put(new String(key(count++), StandardCharsets.UTF_8), new byte[VALUE_BYTES]);
                }
                store.commit();
                store.sync();
                times.recordValueWithCount(System.nanoTime() - startNanos, waiting);
            }
        }
        return result(count, beginNanos, times);
    }

    private interface Measurement {
        Result run() throws Exception;
    }

    private Result median(List<Result> rows) {
        rows.sort((one, other) -> Double.compare(one.rate, other.rate));
        return rows.get(rows.size() / 2);
    }

    @Test
    void comparesStoreWithBareAppendAndMvStore() throws Exception {
        table.append(
                "| waiting | bare/s | p50, p99 ms | store/s | p50, p99 ms | store against bare | MVStore/s | p50, p99 ms |\n"
                        + "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
        measureStore(16, Long.MAX_VALUE); // warm-up
        for (int waiting : new int[] {1, 16, 256}) {
            List<Measurement> measurements = List.of(
                    () -> measureBareAppend(waiting),
                    () -> measureStore(waiting, Long.MAX_VALUE),
                    () -> measureMvStore(waiting));
            List<List<Result>> rows = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
            for (int round = 0; round < ROUNDS; round++) {
                for (int i = 0; i < measurements.size(); i++) {
                    rows.get(i).add(measurements.get(i).run());
                }
            }
            Result bare = median(rows.get(0));
            Result store = median(rows.get(1));
            Result mv = median(rows.get(2));
            table.append(String.format(
                    Locale.ROOT,
                    "| %d | %.0f | %.2f, %.2f | %.0f | %.2f, %.2f | %.2f | %.0f | %.2f, %.2f |%n",
                    waiting,
                    bare.rate,
                    bare.p50,
                    bare.p99,
                    store.rate,
                    store.p50,
                    store.p99,
                    bare.rate / store.rate,
                    mv.rate,
                    mv.p50,
                    mv.p99));
        }
        Result without = measureStore(16, Long.MAX_VALUE);
        Result with = measureStore(16, 5000);
        table.append(String.format(
                Locale.ROOT,
                "%n16 waiting, p99: %.2f ms with nothing to compact, %.2f ms with 5,000 keys written over and over%n",
                without.p99,
                with.p99));
        measureRecovery();
        Files.writeString(Path.of("target/store-benchmark.md"), table);
        System.out.println(table);
    }

    private void measureRecovery() throws Exception {
        Path folder = newFolder("million");
        try (Store store = open(folder)) {
            CountDownLatch all = new CountDownLatch(1_000_000);
            AtomicInteger unconfirmed = new AtomicInteger();
            for (int i = 0; i < 1_000_000; i++) {
                while (store.statistics().pending() > 20_000) {
                    Thread.sleep(1);
                }
                store.put(key(i), new byte[VALUE_BYTES], outcome -> {
                    unconfirmed.addAndGet(outcome == Store.Outcome.CONFIRMED ? 0 : 1);
                    all.countDown();
                });
            }
            all.await();
            table.append("\n1,000,000 records")
                    .append(unconfirmed.get() > 0 ? ", " + unconfirmed + " of them not confirmed" : "")
                    .append(": ");
        }
        long before = usedHeapBytes();
        long beginNanos = System.nanoTime();
        Recovery.Recovered recovered = Recovery.run(FileSystemDisk.lock(folder), LIMITS, false);
        double tookMs = (System.nanoTime() - beginNanos) / 1e6;
        long indexBytes = usedHeapBytes() - before;
        table.append(String.format(
                Locale.ROOT,
                "recovered by checkpoints in %.0f ms, %d MB of memory for the index",
                tookMs,
                indexBytes >> 20));
        recovered.log().closeWithoutManifest();
        deleteCheckpoints(folder);
        beginNanos = System.nanoTime();
        recovered = Recovery.run(FileSystemDisk.lock(folder), LIMITS, false);
        table.append(String.format(
                Locale.ROOT,
                "; without them in %.0f ms (%d keys)%n",
                (System.nanoTime() - beginNanos) / 1e6,
                recovered.report().keys()));
        recovered.log().closeWithoutManifest();
    }

    private static long usedHeapBytes() throws InterruptedException {
        long[] all = new long[3];
        for (int i = 0; i < all.length; i++) {
            System.gc();
            Thread.sleep(100);
            all[i] = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
        }
        return Arrays.stream(all).min().orElseThrow();
    }

    private static void deleteCheckpoints(Path folder) throws IOException {
        try (DirectoryStream<Path> checkpoints = Files.newDirectoryStream(folder, "checkpoint*")) {
            for (Path file : checkpoints) {
                Files.delete(file);
            }
        }
    }
}
