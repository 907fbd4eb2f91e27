package ivybank.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the log on a disk that loses its power, whose files are truncated or corrupted, or that fills up. */
@Timeout(100)
class SegmentLogTest {

    private static final Limits LIMITS = new Limits(1 << 20, 4096, 1024, 1 << 16);

    private static Mutation mutation(String key, String value) {
        return new Mutation(
                new Key(key.getBytes(StandardCharsets.UTF_8)),
                value == null ? null : value.getBytes(StandardCharsets.UTF_8));
    }

    private static Map<String, String> contentOf(SegmentLog log) throws IOException {
        Map<String, String> content = new TreeMap<>();
        log.forEach((key, value) ->
                content.put(new String(key, StandardCharsets.UTF_8), new String(value, StandardCharsets.UTF_8)));
        return content;
    }

    private static void apply(Map<String, String> model, List<Mutation> batch) {
        for (Mutation mutation : batch) {
            String key = new String(mutation.key().bytes(), StandardCharsets.UTF_8);
            if (mutation.isDeletion()) {
                model.remove(key);
            } else {
                model.put(key, new String(mutation.valueBytes(), StandardCharsets.UTF_8));
            }
        }
    }

    private static List<Mutation> batch(SplittableRandom random, int turn) {
        List<Mutation> batch = new ArrayList<>();
        for (int i = 0; i <= random.nextInt(3); i++) {
            String key = "k" + random.nextInt(30);
            batch.add(mutation(key, random.nextInt(4) == 0 ? null : turn + "x".repeat(random.nextInt(120))));
        }
        return batch;
    }

    /** The content after each change, and the disk at the end, with several segments and a running compaction. */
    private record History(PowerCutDisk disk, List<Map<String, String>> after, List<Written> written) {

        /**
         * Returns whether the content results from a prefix of the changes, which includes all that were confirmed
         * when the file had this size.
         */
        boolean isPrefix(Map<String, String> found, String file, int size) {
            int confirmed = written.stream()
                    .filter(each -> !each.file.equals(file) || each.size <= size)
                    .mapToInt(Written::changeCount)
                    .max()
                    .orElse(0);
            return after.subList(confirmed, after.size()).contains(found);
        }
    }

    /** A batch: its file, the size of the file after it, and the number of changes so far. */
    private record Written(String file, int size, int changeCount) {}

    private static History history(int seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        PowerCutDisk disk = new PowerCutDisk();
        SegmentLog log = Recovery.run(disk, LIMITS, false).log();
        Map<String, String> model = new TreeMap<>();
        List<Map<String, String>> after = new ArrayList<>(List.of(Map.of())); // after each single change
        List<Written> written = new ArrayList<>();
        for (int turn = 0; turn < 170 || !log.isCompacting(); turn++) {
            List<Mutation> batch = batch(random, turn);
            log.append(batch);
            for (Mutation mutation : batch) {
                apply(model, List.of(mutation));
                after.add(new TreeMap<>(model));
            }
            written.add(
                    new Written(activeSegmentName(disk), disk.bytes(activeSegmentName(disk)).length, after.size() - 1));
            if (log.wantsCompaction()) {
                log.compact(1024);
            }
        }
        return new History(disk, after, written);
    }

    private static String activeSegmentName(PowerCutDisk disk) throws IOException {
        List<Manifest.Entry> entries = Manifest.read(disk).segments();
        return Segment.fileName(entries.get(entries.size() - 1).segment());
    }

    /** Recovers twice, and checks that the second recovery finds the result of the first. */
    private static Map<String, String> recover(PowerCutDisk disk) throws IOException {
        Recovery.Recovered first = Recovery.run(disk, LIMITS, false);
        Map<String, String> content = contentOf(first.log());
        Recovery.Recovered second = Recovery.run(disk.copy(), LIMITS, false);
        assertEquals(content, contentOf(second.log()));
        assertEquals(0, second.report().cutBytes());
        return content;
    }

    @Test
    void fileTruncatedAtAnyByteIsRecoveredOrRejected() throws IOException {
        History history = history(1);
        Map<String, String> full = history.after.get(history.after.size() - 1);
        String active = activeSegmentName(history.disk);
        int rejected = 0;
        for (String name : history.disk.names()) {
            byte[] bytes = history.disk.bytes(name);
            for (int length = 0; length < bytes.length; length++) {
                PowerCutDisk truncatedDisk = history.disk.copy();
                truncatedDisk.set(name, Arrays.copyOf(bytes, length));
                try {
                    Map<String, String> found = recover(truncatedDisk);
                    if (name.equals(active)) {
                        assertTrue(
                                history.isPrefix(found, name, length), name + " cut at " + length + " gives " + found);
                    } else {
                        assertEquals(full, found, name + " cut at " + length);
                    }
                } catch (StoreException e) {
                    rejected++;
                    assertTrue(
                            name.startsWith("segment-") || name.equals(Manifest.NAME),
                            name + " cut at " + length + ": " + e.getMessage());
                }
            }
        }
        assertTrue(rejected > 0, "a sealed segment that is too short must be rejected");
    }

    @Test
    void flippedBitInAnyByteIsDetectedOrHarmless() throws IOException {
        History history = history(2);
        Map<String, String> full = history.after.get(history.after.size() - 1);
        String active = activeSegmentName(history.disk);
        int truncated = 0;
        for (String name : history.disk.names()) {
            byte[] bytes = history.disk.bytes(name);
            for (int at = 0; at < bytes.length; at++) {
                PowerCutDisk flipped = history.disk.copy();
                byte[] changed = bytes.clone();
                changed[at] ^= (byte) (1 << at % 8);
                flipped.set(name, changed);
                try {
                    Recovery.Recovered recovered = Recovery.run(flipped, LIMITS, false);
                    Map<String, String> found = contentOf(recovered.log());
                    if (recovered.report().cutBytes() > 0) {
                        truncated++;
                        assertEquals(active, name);
                        Written earlier = history.written.get(history.written.size() - 2);
                        int before = earlier.file.equals(active) ? earlier.size : Records.SEGMENT_HEADER_BYTES;
                        assertTrue(history.isPrefix(found, name, before), "only the last batch may be lost");
                    } else {
                        assertEquals(full, found, name + " flipped at " + at);
                    }
                } catch (StoreException e) {
                    assertTrue(
                            e.getMessage().contains("can't be read")
                                    || e.getMessage().contains("format"),
                            e.getMessage());
                }
            }
        }
        assertTrue(truncated > 0, "a corrupt last batch looks like a torn write, and is reported as truncated");
    }

    @Test
    void powerCutAtAnyStepLosesNoConfirmedChange() throws IOException {
        for (int steps = 0; steps < 700; steps++) {
            SplittableRandom random = new SplittableRandom(steps);
            PowerCutDisk disk = new PowerCutDisk();
            disk.cutAfter(steps);
            Map<String, String> confirmed = new TreeMap<>();
            List<Mutation> attempted = List.of();
            boolean cut = false;
            try {
                SegmentLog log = Recovery.run(disk, LIMITS, false).log();
                for (int turn = 0; turn < 160; turn++) {
                    attempted = batch(random, turn);
                    log.append(attempted);
                    apply(confirmed, attempted);
                    attempted = List.of();
                    if (log.wantsCompaction()) {
                        log.compact(1024);
                    }
                }
            } catch (PowerCutDisk.PowerCut e) {
                cut = true;
            }
            PowerCutDisk remaining = disk.cut(random);
            // Cuts the power again during recovery, one step later each time.
            for (int again = 0; again < 6; again++) {
                remaining.cutAfter(again);
                try {
                    Recovery.run(remaining, LIMITS, false);
                } catch (PowerCutDisk.PowerCut e) {
                    remaining = remaining.cut(random);
                }
            }
            remaining.cutAfter(-1);
            Map<String, String> found = recover(remaining);
            boolean matches = found.equals(confirmed);
            Map<String, String> expected = new TreeMap<>(confirmed);
            for (Mutation mutation : attempted) { // a prefix of the unconfirmed batch may have been written
                apply(expected, List.of(mutation));
                matches |= found.equals(expected);
            }
            assertTrue(matches, "cut " + cut + " after " + steps + " steps: " + confirmed + " but found " + found);
        }
    }

    @Test
    void corruptConfirmedDataIsRejectedOrQuarantinedAndNeverSkipped() throws IOException {
        PowerCutDisk disk = new PowerCutDisk();
        SegmentLog log = Recovery.run(disk, LIMITS, false).log();
        for (int i = 0; i < 60; i++) {
            log.append(List.of(mutation("k" + i, "v".repeat(200))));
        }
        String firstSegment = disk.names().stream()
                .filter(name -> name.startsWith("segment-"))
                .findFirst()
                .orElseThrow();
        disk.delete(firstSegment.replace("segment", "checkpoint"));
        byte[] bytes = disk.bytes(firstSegment).clone();
        bytes[1000] ^= 4;
        disk.set(firstSegment, bytes);
        PowerCutDisk rejectedDisk = disk.copy();
        StoreException rejection = assertThrows(StoreException.class, () -> Recovery.run(rejectedDisk, LIMITS, false));
        assertTrue(
                rejection.getMessage().contains(firstSegment + ": bytes ")
                        && rejection.getMessage().contains("nothing was changed"),
                rejection.getMessage());
        assertArrayEquals(bytes, rejectedDisk.bytes(firstSegment));
        PowerCutDisk degraded = disk.copy();
        Recovery.Recovered recovered = Recovery.run(degraded, LIMITS, true);
        assertEquals(59, contentOf(recovered.log()).size(), "all keys except the corrupt one");
        assertEquals(1, recovered.report().damage().size());
        assertArrayEquals(
                bytes,
                degraded.bytes(firstSegment.replace("segment", "quarantine")),
                "the corrupt segment is kept for inspection");
        recovered.log().append(List.of(mutation("new", "1")));
        Recovery.Recovered again = Recovery.run(degraded.copy(), LIMITS, false);
        assertEquals(60, contentOf(again.log()).size());
        assertEquals(List.of(), again.report().damage(), "the damage is reported once");
        PowerCutDisk missing = disk.copy();
        missing.delete(firstSegment);
        assertTrue(assertThrows(StoreException.class, () -> Recovery.run(missing, LIMITS, false))
                .getMessage()
                .contains(firstSegment + " is missing"));
    }

    @Test
    void failedForceEndsItsSegmentAndItsBatchNeverReappears() throws IOException {
        PowerCutDisk disk = new PowerCutDisk();
        SegmentLog log = Recovery.run(disk, LIMITS, false).log();
        log.append(List.of(mutation("a", "1")));
        disk.failForces(1);
        assertThrows(IOException.class, () -> log.append(List.of(mutation("b", "2"))));
        log.append(List.of(mutation("c", "3")));
        assertEquals(Map.of("a", "1", "c", "3"), contentOf(log));
        assertEquals(2, Manifest.read(disk).segments().size(), "the log continues in a new segment");
        assertEquals(Map.of("a", "1", "c", "3"), recover(disk.cut(new SplittableRandom(1))));
        assertEquals(Map.of("a", "1", "c", "3"), recover(disk.copy()));
    }

    @Test
    void diskThatFillsDuringCompactionLosesNothingAndCompactionResumesLater() throws IOException {
        PowerCutDisk disk = new PowerCutDisk();
        disk.shortTransfers();
        SegmentLog log = Recovery.run(disk, LIMITS, false).log();
        Map<String, String> model = new TreeMap<>();
        for (int i = 0; !log.wantsCompaction(); i++) {
            List<Mutation> batch = List.of(mutation("k" + i % 7, i + "v".repeat(90)), mutation("once" + i, "w"));
            log.append(batch);
            apply(model, batch);
        }
        int full = 0;
        long before = log.usedBytes();
        for (int freeBytes = 0; log.wantsCompaction() && freeBytes < 20_000; freeBytes += 97) {
            disk.setFreeBytes(freeBytes);
            try {
                log.compact(LIMITS.segment() / 2);
            } catch (IOException e) {
                full++;
                assertTrue(e.getMessage().contains("no space"), e.getMessage());
            }
            assertEquals(model, contentOf(log));
            assertEquals(model, recover(disk.cut(new SplittableRandom(freeBytes))));
        }
        assertTrue(full > 3, "the disk must fill up at several steps: " + full);
        disk.setFreeBytes(Long.MAX_VALUE);
        while (log.wantsCompaction()) {
            log.compact(LIMITS.segment() / 2);
        }
        assertTrue(log.usedBytes() < before);
        assertEquals(model, contentOf(log));
        assertEquals(model, recover(disk.copy()));
    }

    @Test
    void segmentWithRecordsOfANewerFormatIsRejectedUnchanged() throws IOException {
        PowerCutDisk disk = new PowerCutDisk();
        SegmentLog log = Recovery.run(disk, LIMITS, false).log();
        log.append(List.of(mutation("a", "1")));
        String name = activeSegmentName(disk);
        byte[] bytes = disk.bytes(name).clone();
        java.nio.ByteBuffer record = java.nio.ByteBuffer.allocate(100);
        Records.write(record, 0, bytes.length, bytes.length, (byte) 9, new byte[] {1}, new byte[] {2});
        byte[] newer = Arrays.copyOf(bytes, bytes.length + record.position());
        System.arraycopy(record.array(), 0, newer, bytes.length, record.position());
        disk.set(name, newer);
        StoreException e = assertThrows(StoreException.class, () -> Recovery.run(disk, LIMITS, true));
        assertTrue(e.getMessage().contains("of format 9, this program knows up to 2"), e.getMessage());
        assertArrayEquals(newer, disk.bytes(name));
    }

    @Test
    void deletionIsKeptWhileAnOlderSegmentHoldsTheDeletedRecord() throws IOException {
        PowerCutDisk disk = new PowerCutDisk();
        SegmentLog log = Recovery.run(disk, LIMITS, false).log();
        Map<String, String> model = new TreeMap<>();
        for (int i = 0; i < 12; i++) { // more than three segments in which all keys but one stay live
            List<Mutation> batch =
                    List.of(mutation("live" + i, "v".repeat(1000)), mutation(i == 0 ? "x" : "more" + i, "old"));
            log.append(batch);
            apply(model, batch);
        }
        log.append(List.of(mutation("x", null)));
        model.remove("x");
        for (int i = 0; i < 60; i++) {
            List<Mutation> batch = List.of(mutation("again", i + "w".repeat(300)));
            log.append(batch);
            apply(model, batch);
        }
        while (log.wantsCompaction()) {
            log.compact(LIMITS.segment() / 2);
        }
        assertTrue(log.compactions() > 0);
        assertEquals(model, recover(disk.copy()));
    }

    @Test
    void deletionsAreDroppedWhenNoOlderRecordIsLeft() throws IOException {
        PowerCutDisk disk = new PowerCutDisk();
        SegmentLog log = Recovery.run(disk, LIMITS, false).log();
        for (int i = 0; i < 400; i++) {
            log.append(List.of(mutation("k" + i, "v".repeat(100))));
            log.append(List.of(mutation("k" + i, null)));
            for (int step = 0; step < 5 && log.wantsCompaction(); step++) {
                log.compact(1024);
            }
        }
        assertTrue(log.usedBytes() < 4L * LIMITS.segment(), "bounded: " + log.usedBytes());
        assertEquals(Map.of(), recover(disk.copy()));
        assertFalse(log.compactions() == 0);
    }
}
