package ivybank.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the encoding, the validation and the files of handover snapshots. */
class HandoverSnapshotTest {

    private static final double NOW_MS = 1.7e12;

    private static HandoverSnapshot snapshot(double writtenMs) {
        return new HandoverSnapshot(
                writtenMs,
                7,
                90,
                new LearnedState<>(
                        0.5,
                        3,
                        List.of(new LearnedState.ClassState(300, 250, 90)),
                        Map.of(
                                "s-1",
                                new LearnedState.NodeState(0, 0.25, 0.4, 17.5, 3, false),
                                "s-2",
                                new LearnedState.NodeState(NOW_MS - 5000, 0.75, 0.6, 2, 0, true)),
                        Map.of(0, 0.05, 2, 0.01)));
    }

    @Test
    void aWrittenSnapshotIsReadBack() throws Exception {
        assertEquals(snapshot(NOW_MS), HandoverSnapshotCodec.read(HandoverSnapshotCodec.write(snapshot(NOW_MS))));
    }

    @Test
    void aTruncatedOrCorruptSnapshotIsRejected() {
        byte[] whole = HandoverSnapshotCodec.write(snapshot(NOW_MS));
        for (int i = 0; i < whole.length; i++) {
            byte[] cut = Arrays.copyOf(whole, i);
            assertThrows(
                    HandoverSnapshotCodec.UnreadableSnapshotException.class,
                    () -> HandoverSnapshotCodec.read(cut),
                    "cut at " + i);
            for (int bit = 0; bit < 8; bit++) {
                byte[] flipped = whole.clone();
                flipped[i] ^= (byte) (1 << bit);
                assertThrows(
                        HandoverSnapshotCodec.UnreadableSnapshotException.class,
                        () -> HandoverSnapshotCodec.read(flipped),
                        "flipped at " + i);
            }
        }
        byte[] longer = Arrays.copyOf(whole, whole.length + 1);
        assertThrows(HandoverSnapshotCodec.UnreadableSnapshotException.class, () -> HandoverSnapshotCodec.read(longer));
    }

    @Test
    void invalidValuesAreRejectedEvenWithAValidChecksum() throws Exception {
        byte[] whole = HandoverSnapshotCodec.write(snapshot(NOW_MS));
        int length = whole.length - 4;
        for (int i = 10; i < length; i++) {
            byte[] changed = whole.clone();
            changed[i] = (byte) 0xff;
            CRC32C checksum = new CRC32C();
            checksum.update(changed, 0, length);
            ByteBuffer.wrap(changed).putInt(length, (int) checksum.getValue());
            try {
                HandoverSnapshot read = HandoverSnapshotCodec.read(changed);
                assertTrue(
                        read.learned().admittedFraction() > 0 && read.learned().admittedFraction() <= 1);
            } catch (HandoverSnapshotCodec.UnreadableSnapshotException e) {
                assertEquals("its values are invalid", e.getMessage());
            }
        }
    }

    @Test
    void anotherVersionIsDistinguishedFromCorruption() {
        byte[] other = HandoverSnapshotCodec.write(snapshot(NOW_MS));
        other[5]++;
        assertTrue(assertThrows(
                        HandoverSnapshotCodec.UnreadableSnapshotException.class,
                        () -> HandoverSnapshotCodec.read(other))
                .getMessage()
                .contains("version 3"));
    }

    @Test
    void confidenceDecreasesWithAgeAndIsZeroForTheFuture() {
        assertEquals(1, snapshot(NOW_MS).confidence(NOW_MS));
        assertEquals(0.5, snapshot(NOW_MS).confidence(NOW_MS + 30_000), 1e-6);
        assertEquals(0, snapshot(NOW_MS).confidence(NOW_MS + 90_000));
        assertEquals(0, snapshot(NOW_MS).confidence(NOW_MS - 3_600_000), "the clock was set back an hour");
        assertTrue(snapshot(NOW_MS).isFresh(NOW_MS + 100));
        assertFalse(snapshot(NOW_MS).isFresh(NOW_MS + 10_000), "its process has ended or is stalled");
        assertFalse(snapshot(NOW_MS).isFresh(NOW_MS - 3_600_000));
    }

    @Test
    void aProcessReadsTheSnapshotsOfOthersAndNotItsOwn(@TempDir Path folder) throws Exception {
        List<String> logged = new ArrayList<>();
        HandoverSnapshotFiles first = new HandoverSnapshotFiles(folder, 1, logged::add);
        HandoverSnapshotFiles second = new HandoverSnapshotFiles(folder, 2, logged::add);
        assertEquals(List.of(), second.others(NOW_MS));
        first.write(snapshot(NOW_MS));
        first.write(snapshot(NOW_MS + 1));
        second.write(snapshot(NOW_MS + 2));
        assertEquals(List.of(snapshot(NOW_MS + 1)), second.others(NOW_MS + 3));
        assertEquals(List.of(snapshot(NOW_MS + 2)), first.others(NOW_MS + 3));
        assertEquals(List.of(), logged);
    }

    @Test
    void anUnusableFileIsLoggedOnceAndRemoved(@TempDir Path folder) throws Exception {
        List<String> logged = new ArrayList<>();
        HandoverSnapshotFiles files = new HandoverSnapshotFiles(folder, 1, logged::add);
        byte[] whole = HandoverSnapshotCodec.write(snapshot(NOW_MS));
        Files.write(folder.resolve("ivybank-2.memory"), new byte[0]);
        Files.write(folder.resolve("ivybank-3.memory"), Arrays.copyOf(whole, 40));
        Files.write(folder.resolve("ivybank-4.memory"), "something else altogether".getBytes(StandardCharsets.UTF_8));
        Files.write(folder.resolve("ivybank-5.memory"), new byte[HandoverSnapshotCodec.MAX_BYTES + 1]);
        Files.write(folder.resolve("ivybank-6.memory"), HandoverSnapshotCodec.write(snapshot(NOW_MS - 3_600_000)));
        Files.write(folder.resolve("ivybank-7.memory.next"), whole); // its process was killed while writing it
        assertEquals(List.of(), files.others(NOW_MS));
        assertEquals(List.of(), files.others(NOW_MS));
        assertEquals(4, logged.size(), logged.toString());
        try (Stream<Path> left = Files.list(folder)) {
            assertEquals(
                    List.of("ivybank-7.memory.next"),
                    left.map(file -> file.getFileName().toString()).toList());
        }
    }
}
