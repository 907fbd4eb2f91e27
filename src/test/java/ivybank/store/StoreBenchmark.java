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
 * What a promise costs, by hand: {@code mvn test -Dtest=StoreBenchmark -Dstore.benchmark=true}. The same bytes go to the same
 * disk in the same run by a bare append and force, by the store and by H2's MVStore, in turns; the table is left in
 * target/store-benchmark.md.
 */
@EnabledIfSystemProperty(named = "store.benchmark", matches = "true")
class StoreBenchmark {

    private static final int VALUE = 200;
    private static final int ROUNDS = 3;
    private static final long ROUND_NANOS = 1_500_000_000L;
    private static final Limits LIMITS = new Limits(4L << 30, 8 << 20, 1 << 16, 16 << 20);

    /** Records a second, and the time to confirm one in ms. */
    private record Row(double rate, double p50, double p99) {}

    @TempDir
    Path dir;

    private final StringBuilder table = new StringBuilder();

    private static byte[] key(long number) {
        return String.format(Locale.ROOT, "record-submit\nevent-%012d", number).getBytes(StandardCharsets.UTF_8);
    }

    private Path fresh(String name) throws IOException {
        return Files.createTempDirectory(dir, name);
    }

    private Row bare(int waiting) throws IOException {
        Histogram times = new Histogram(3);
        long count = 0;
        long from = System.nanoTime();
        try (FileChannel file =
                FileChannel.open(fresh("bare").resolve("log"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            byte[] record = new byte[Records.size(key(0), new byte[VALUE])];
            while (System.nanoTime() - from < ROUND_NANOS) {
                long began = System.nanoTime();
                ByteBuffer batch = ByteBuffer.allocate(record.length * waiting);
                for (int i = 0; i < waiting; i++) {
                    batch.put(record);
                }
                batch.flip();
                while (batch.hasRemaining()) {
                    file.write(batch);
                }
                file.force(false);
                times.recordValueWithCount(System.nanoTime() - began, waiting);
                count += waiting;
            }
        }
        return row(count, from, times);
    }

    private static Row row(long count, long from, Histogram times) {
        return new Row(
                count * 1e9 / (System.nanoTime() - from),
                times.getValueAtPercentile(50) / 1e6,
                times.getValueAtPercentile(99) / 1e6);
    }

    private Store open(Path folder) throws IOException {
        return Store.open(FileSystemDisk.lock(folder), LIMITS, false, (key, value) -> {}, Thread::new);
    }

    /** {@code keys}: how many different ones; few of them leave much to compact. */
    private Row store(int waiting, long keys) throws Exception {
        Histogram times = new Histogram(3); // filled on the store's one thread
        AtomicLong next = new AtomicLong();
        AtomicInteger out = new AtomicInteger(waiting);
        CountDownLatch over = new CountDownLatch(1);
        byte[] value = new byte[VALUE];
        long from = System.nanoTime();
        try (Store store = open(fresh("store"))) {
            for (int i = 0; i < waiting; i++) {
                putNext(store, next, keys, value, times, from, out, over);
            }
            over.await();
            return row(times.getTotalCount(), from, times);
        }
    }

    private static void putNext(
            Store store,
            AtomicLong next,
            long keys,
            byte[] value,
            Histogram times,
            long from,
            AtomicInteger out,
            CountDownLatch over) {
        long began = System.nanoTime();
        store.put(key(next.getAndIncrement() % keys), value, outcome -> {
            if (outcome != Store.Outcome.CONFIRMED) {
                throw new IllegalStateException(outcome.toString());
            }
            times.recordValue(System.nanoTime() - began);
            if (System.nanoTime() - from < ROUND_NANOS) {
                putNext(store, next, keys, value, times, from, out, over);
            } else if (out.decrementAndGet() == 0) {
                over.countDown();
            }
        });
    }

    private Row mvstore(int waiting) throws IOException {
        Histogram times = new Histogram(3);
        long count = 0;
        long from = System.nanoTime();
        try (MVStore store = new MVStore.Builder()
                .fileName(fresh("mv").resolve("mv").toString())
                .autoCommitDisabled()
                .open()) {
            MVMap<String, byte[]> map = store.openMap("promises");
            while (System.nanoTime() - from < ROUND_NANOS) {
                long began = System.nanoTime();
                for (int i = 0; i < waiting; i++) {
                    map.put(new String(key(count++), StandardCharsets.UTF_8), new byte[VALUE]);
                }
                store.commit();
                store.sync();
                times.recordValueWithCount(System.nanoTime() - began, waiting);
            }
        }
        return row(count, from, times);
    }

    private interface Play {
        Row play() throws Exception;
    }

    private Row median(List<Row> rows) {
        rows.sort((one, other) -> Double.compare(one.rate, other.rate));
        return rows.get(rows.size() / 2);
    }

    @Test
    void againstABareAppendAndMvStore() throws Exception {
        table.append(
                "| waiting | bare/s | p50, p99 ms | store/s | p50, p99 ms | store against bare | MVStore/s | p50, p99 ms |\n"
                        + "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
        store(16, Long.MAX_VALUE); // warm
        for (int waiting : new int[] {1, 16, 256}) {
            List<Play> plays =
                    List.of(() -> bare(waiting), () -> store(waiting, Long.MAX_VALUE), () -> mvstore(waiting));
            List<List<Row>> rows = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
            for (int round = 0; round < ROUNDS; round++) {
                for (int i = 0; i < plays.size(); i++) {
                    rows.get(i).add(plays.get(i).play());
                }
            }
            Row bare = median(rows.get(0));
            Row store = median(rows.get(1));
            Row mv = median(rows.get(2));
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
        Row without = store(16, Long.MAX_VALUE);
        Row with = store(16, 5000);
        table.append(String.format(
                Locale.ROOT,
                "%n16 waiting, p99: %.2f ms with nothing to compact, %.2f ms with 5,000 keys written over and over%n",
                without.p99,
                with.p99));
        million();
        Files.writeString(Path.of("target/store-benchmark.md"), table);
        System.out.println(table);
    }

    private void million() throws Exception {
        Path folder = fresh("million");
        try (Store store = open(folder)) {
            CountDownLatch all = new CountDownLatch(1_000_000);
            AtomicInteger busy = new AtomicInteger();
            for (int i = 0; i < 1_000_000; i++) {
                while (store.figures().waiting() > 20_000) {
                    Thread.sleep(1);
                }
                store.put(key(i), new byte[VALUE], outcome -> {
                    busy.addAndGet(outcome == Store.Outcome.CONFIRMED ? 0 : 1);
                    all.countDown();
                });
            }
            all.await();
            table.append("\n1,000,000 records")
                    .append(busy.get() > 0 ? ", " + busy + " of them turned away" : "")
                    .append(": ");
        }
        long before = used();
        long from = System.nanoTime();
        Recovery.Recovered recovered = Recovery.run(FileSystemDisk.lock(folder), LIMITS, false);
        double tookMs = (System.nanoTime() - from) / 1e6;
        long memory = used() - before;
        table.append(String.format(
                Locale.ROOT,
                "recovered by checkpoints in %.0f ms, %d MB of memory for the index",
                tookMs,
                memory >> 20));
        recovered.log().abandon();
        deleteCheckpoints(folder);
        from = System.nanoTime();
        recovered = Recovery.run(FileSystemDisk.lock(folder), LIMITS, false);
        table.append(String.format(
                Locale.ROOT,
                "; without them in %.0f ms (%d keys)%n",
                (System.nanoTime() - from) / 1e6,
                recovered.report().keys()));
        recovered.log().abandon();
    }

    private static long used() throws InterruptedException {
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
