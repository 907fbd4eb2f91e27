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

/** The log on a disk that loses its power, byte by byte and step by step. */
@Timeout(100)
class SegmentLogTest {

    private static final Limits LIMITS = new Limits(1 << 20, 4096, 1024, 1 << 16);

    private static Mutation mutation(String key, String value) {
        return new Mutation(
                new Key(key.getBytes(StandardCharsets.UTF_8)),
                value == null ? null : value.getBytes(StandardCharsets.UTF_8));
    }

    private static Map<String, String> content(SegmentLog log) throws IOException {
        Map<String, String> all = new TreeMap<>();
        log.forEach((key, value) ->
                all.put(new String(key, StandardCharsets.UTF_8), new String(value, StandardCharsets.UTF_8)));
        return all;
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

    /** What was confirmed after each batch, and the disk at the end: several segments, and a compaction under way. */
    private record Story(PowerCutDisk disk, List<Map<String, String>> after, List<Written> written) {

        /** Whether these are the first changes in their order, at least all that was confirmed when the file had this size. */
        boolean isPrefix(Map<String, String> found, String file, int size) {
            int confirmed = written.stream()
                    .filter(each -> !each.file.equals(file) || each.size <= size)
                    .mapToInt(Written::ops)
                    .max()
                    .orElse(0);
            return after.subList(confirmed, after.size()).contains(found);
        }
    }

    /** A batch: the file that it went to, its size then, and all changes up to its end. */
    private record Written(String file, int size, int ops) {}

    private static Story story(int seed) throws IOException {
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
            written.add(new Written(last(disk), disk.bytes(last(disk)).length, after.size() - 1));
            if (log.wantsCompaction()) {
                log.compact(1024);
            }
        }
        return new Story(disk, after, written);
    }

    private static String last(PowerCutDisk disk) throws IOException {
        List<Manifest.Entry> entries = Manifest.read(disk).segments();
        return Segment.fileName(entries.get(entries.size() - 1).segment());
    }

    /** Recovers twice; the second time finds what the first left. */
    private static Map<String, String> recover(PowerCutDisk disk) throws IOException {
        Recovery.Recovered first = Recovery.run(disk, LIMITS, false);
        Map<String, String> content = content(first.log());
        Recovery.Recovered second = Recovery.run(disk.copy(), LIMITS, false);
        assertEquals(content, content(second.log()));
        assertEquals(0, second.report().cutBytes());
        return content;
    }

    @Test
    void eachFileCutAtEachByteGivesAConsistentAnswer() throws IOException {
        Story story = story(1);
        Map<String, String> full = story.after.get(story.after.size() - 1);
        String active = last(story.disk);
        int refused = 0;
        for (String name : story.disk.names()) {
            byte[] bytes = story.disk.bytes(name);
            for (int length = 0; length < bytes.length; length++) {
                PowerCutDisk cut = story.disk.copy();
                cut.set(name, Arrays.copyOf(bytes, length));
                try {
                    Map<String, String> found = recover(cut);
                    if (name.equals(active)) {
                        assertTrue(story.isPrefix(found, name, length), name + " cut at " + length + " gives " + found);
                    } else {
                        assertEquals(full, found, name + " cut at " + length);
                    }
                } catch (StoreException e) {
                    refused++;
                    assertTrue(
                            name.startsWith("segment-") || name.equals(Manifest.NAME),
                            name + " cut at " + length + ": " + e.getMessage());
                }
            }
        }
        assertTrue(refused > 0, "a finished segment that is too short is told");
    }

    @Test
    void eachByteThatIsFlippedIsFoundOrDoesNoHarm() throws IOException {
        Story story = story(2);
        Map<String, String> full = story.after.get(story.after.size() - 1);
        String active = last(story.disk);
        int torn = 0;
        for (String name : story.disk.names()) {
            byte[] bytes = story.disk.bytes(name);
            for (int at = 0; at < bytes.length; at++) {
                PowerCutDisk flipped = story.disk.copy();
                byte[] changed = bytes.clone();
                changed[at] ^= (byte) (1 << at % 8);
                flipped.set(name, changed);
                try {
                    Recovery.Recovered recovered = Recovery.run(flipped, LIMITS, false);
                    Map<String, String> found = content(recovered.log());
                    if (recovered.report().cutBytes() > 0) {
                        torn++;
                        assertEquals(active, name);
                        Written earlier = story.written.get(story.written.size() - 2);
                        int before = earlier.file.equals(active) ? earlier.size : Records.SEGMENT_HEADER_BYTES;
                        assertTrue(story.isPrefix(found, name, before), "no more than the last batch is lost");
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
        assertTrue(torn > 0, "the last batch can't be told from one that a cut tore, and is reported as cut off");
    }

    @Test
    void aCutAtAnyStepOfRollingCompactionAndRecoveryLosesNothingThatWasConfirmed() throws IOException {
        for (int steps = 0; steps < 700; steps++) {
            SplittableRandom random = new SplittableRandom(steps);
            PowerCutDisk disk = new PowerCutDisk();
            disk.cutAfter(steps);
            Map<String, String> confirmed = new TreeMap<>();
            List<Mutation> tried = List.of();
            boolean cut = false;
            try {
                SegmentLog log = Recovery.run(disk, LIMITS, false).log();
                for (int turn = 0; turn < 160; turn++) {
                    tried = batch(random, turn);
                    log.append(tried);
                    apply(confirmed, tried);
                    tried = List.of();
                    if (log.wantsCompaction()) {
                        log.compact(1024);
                    }
                }
            } catch (PowerCutDisk.PowerCut e) {
                cut = true;
            }
            PowerCutDisk left = disk.cut(random);
            // The power goes again while it recovers, at ever later steps.
            for (int again = 0; again < 6; again++) {
                left.cutAfter(again);
                try {
                    Recovery.run(left, LIMITS, false);
                } catch (PowerCutDisk.PowerCut e) {
                    left = left.cut(random);
                }
            }
            left.cutAfter(-1);
            Map<String, String> found = recover(left);
            boolean known = found.equals(confirmed);
            Map<String, String> more = new TreeMap<>(confirmed);
            for (Mutation mutation : tried) { // what was not confirmed may be there, in its order and no further
                apply(more, List.of(mutation));
                known |= found.equals(more);
            }
            assertTrue(known, "cut " + cut + " after " + steps + " steps: " + confirmed + " but found " + found);
        }
    }

    @Test
    void damageInWhatWasConfirmedIsRefusedOrPutAsideAndNeverSkipped() throws IOException {
        PowerCutDisk disk = new PowerCutDisk();
        SegmentLog log = Recovery.run(disk, LIMITS, false).log();
        for (int i = 0; i < 60; i++) {
            log.append(List.of(mutation("k" + i, "v".repeat(200))));
        }
        String first = disk.names().stream()
                .filter(name -> name.startsWith("segment-"))
                .findFirst()
                .orElseThrow();
        disk.delete(first.replace("segment", "checkpoint"));
        byte[] bytes = disk.bytes(first).clone();
        bytes[1000] ^= 4;
        disk.set(first, bytes);
        PowerCutDisk refusedOn = disk.copy();
        StoreException refused = assertThrows(StoreException.class, () -> Recovery.run(refusedOn, LIMITS, false));
        assertTrue(
                refused.getMessage().contains(first + ": bytes ")
                        && refused.getMessage().contains("nothing was changed"),
                refused.getMessage());
        assertArrayEquals(bytes, refusedOn.bytes(first));
        PowerCutDisk degraded = disk.copy();
        Recovery.Recovered recovered = Recovery.run(degraded, LIMITS, true);
        assertEquals(59, content(recovered.log()).size(), "all but the one that was hit");
        assertEquals(1, recovered.report().damage().size());
        assertArrayEquals(
                bytes,
                degraded.bytes(first.replace("segment", "quarantine")),
                "what is damaged is kept to be looked at");
        recovered.log().append(List.of(mutation("new", "1")));
        Recovery.Recovered again = Recovery.run(degraded.copy(), LIMITS, false);
        assertEquals(60, content(again.log()).size());
        assertEquals(List.of(), again.report().damage(), "told once, and put aside");
        PowerCutDisk missing = disk.copy();
        missing.delete(first);
        assertTrue(assertThrows(StoreException.class, () -> Recovery.run(missing, LIMITS, false))
                .getMessage()
                .contains(first + " is missing"));
    }

    @Test
    void aForceThatFailsIsFinalForItsSegmentAndNothingOfItComesBack() throws IOException {
        PowerCutDisk disk = new PowerCutDisk();
        SegmentLog log = Recovery.run(disk, LIMITS, false).log();
        log.append(List.of(mutation("a", "1")));
        disk.failForces(1);
        assertThrows(IOException.class, () -> log.append(List.of(mutation("b", "2"))));
        log.append(List.of(mutation("c", "3")));
        assertEquals(Map.of("a", "1", "c", "3"), content(log));
        assertEquals(2, Manifest.read(disk).segments().size(), "it goes on in another segment");
        assertEquals(Map.of("a", "1", "c", "3"), recover(disk.cut(new SplittableRandom(1))));
        assertEquals(Map.of("a", "1", "c", "3"), recover(disk.copy()));
    }

    @Test
    void aDiskThatFillsDuringCompactionLosesNothingAndGoesOnWhenItHasRoomAgain() throws IOException {
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
        for (int room = 0; log.wantsCompaction() && room < 20_000; room += 97) {
            disk.room(room);
            try {
                log.compact(LIMITS.segment() / 2);
            } catch (IOException e) {
                full++;
                assertTrue(e.getMessage().contains("no space"), e.getMessage());
            }
            assertEquals(model, content(log));
            assertEquals(model, recover(disk.cut(new SplittableRandom(room))));
        }
        assertTrue(full > 3, "it ran full at several steps: " + full);
        disk.room(Long.MAX_VALUE);
        while (log.wantsCompaction()) {
            log.compact(LIMITS.segment() / 2);
        }
        assertTrue(log.usedBytes() < before);
        assertEquals(model, content(log));
        assertEquals(model, recover(disk.copy()));
    }

    @Test
    void whatANewerProgramHasWrittenIsLeftAlone() throws IOException {
        PowerCutDisk disk = new PowerCutDisk();
        SegmentLog log = Recovery.run(disk, LIMITS, false).log();
        log.append(List.of(mutation("a", "1")));
        String name = last(disk);
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
    void aDeletionStaysForAsLongAsAnOlderSegmentHoldsWhatItDeletes() throws IOException {
        PowerCutDisk disk = new PowerCutDisk();
        SegmentLog log = Recovery.run(disk, LIMITS, false).log();
        Map<String, String> model = new TreeMap<>();
        for (int i = 0; i < 12; i++) { // more than three segments in which all but one key lives
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
    void deletionsGoWhenNothingIsLeftThatTheyDelete() throws IOException {
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
