package ivybank.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks that a store that is missing, lost, corrupt or owned by another sidecar is not mistaken for a new one. */
class StoreIdentityTest {

    private static final Limits LIMITS = new Limits(1 << 20, 4096, 2048, 1 << 16);

    private final List<String> notices = new ArrayList<>();

    private StoreIdentity acquire(Disk disk, String owner, boolean mayCreate) throws IOException {
        return StoreIdentity.acquire(disk, owner, mayCreate, () -> "id-" + notices.size(), notices::add);
    }

    private static PowerCutDisk createStore(String owner) throws IOException {
        PowerCutDisk disk = new PowerCutDisk();
        StoreIdentity.acquire(disk, owner, true, () -> "first", line -> {});
        Recovery.run(disk, LIMITS, false);
        return disk;
    }

    private String rejectionOf(Disk disk, String owner, boolean mayCreate) throws IOException {
        List<String> namesBefore = disk.names();
        String message = assertThrows(StoreException.class, () -> acquire(disk, owner, mayCreate))
                .getMessage();
        assertEquals(namesBefore, disk.names(), "no file was added or removed");
        assertEquals(1, message.lines().count());
        return message;
    }

    @Test
    void firstStoreIsCreatedOnlyWhereAllowedAndItsIncarnationIncreases() throws IOException {
        PowerCutDisk disk = new PowerCutDisk();
        assertTrue(rejectionOf(disk, "n0", false)
                .startsWith("the folder holds no store; if it held one, that one is lost"));
        assertEquals(new StoreIdentity("n0", "id-0", 1), acquire(disk, "n0", true));
        assertEquals(1, notices.size());
        Recovery.run(disk, LIMITS, false);
        assertEquals(new StoreIdentity("n0", "id-0", 2), acquire(disk, "n0", false));
        assertEquals(new StoreIdentity("n0", "id-0", 3), acquire(disk, "n0", true));
        assertEquals(1, notices.size());
        assertEquals(3, StoreIdentity.readIfPresent(disk).incarnation());
    }

    @Test
    void storeOfAnotherSidecarIsRejected() throws IOException {
        String message = rejectionOf(createStore("n1"), "n0", true);
        assertTrue(message.startsWith("the store belongs to n1 (id first), and not to n0"), message);
    }

    @Test
    void storeWithOnlyAnIdentityFileIsNotMistakenForANewOne() throws IOException {
        PowerCutDisk disk = createStore("n0");
        acquire(disk, "n0", false);
        for (String name : disk.names()) {
            if (!name.equals(StoreIdentity.NAME)) {
                disk.delete(name);
            }
        }
        assertTrue(rejectionOf(disk, "n0", true).contains("incarnation 2) is lost except for its identity file"));
    }

    @Test
    void storeOfAnEarlierVersionGetsAnIdentityAndANotice() throws IOException {
        PowerCutDisk disk = new PowerCutDisk();
        Recovery.run(disk, LIMITS, false);
        assertNull(StoreIdentity.readIfPresent(disk));
        assertEquals(1, acquire(disk, "n0", false).incarnation());
        assertTrue(notices.get(0).startsWith("no identity file"), notices.toString());
        assertEquals(2, acquire(disk, "n0", false).incarnation());
    }

    @Test
    void corruptIdentityFileIsRejectedAtEachFlippedBitAndLength() throws IOException {
        PowerCutDisk intact = createStore("n0");
        ByteBuffer bytes = Disk.readAll(intact, StoreIdentity.NAME, 4096);
        for (int bit = 0; bit < 8 * bytes.limit(); bit++) {
            byte[] flipped = bytes.array().clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            PowerCutDisk disk = createStore("n0");
            replaceIdentityFile(disk, ByteBuffer.wrap(flipped, 0, bytes.limit()));
            assertTrue(rejectionOf(disk, "n0", true).startsWith("the file identity can't be read"), "bit " + bit);
        }
        for (int length = 0; length < bytes.limit(); length++) {
            PowerCutDisk disk = createStore("n0");
            replaceIdentityFile(disk, ByteBuffer.wrap(bytes.array(), 0, length));
            String message = rejectionOf(disk, "n0", true);
            assertTrue(message.startsWith("the file identity can't be read"), length + " bytes: " + message);
        }
    }

    private static void replaceIdentityFile(Disk disk, ByteBuffer bytes) throws IOException {
        disk.delete(StoreIdentity.NAME);
        try (Disk.File file = disk.create(StoreIdentity.NAME)) {
            Disk.writeFully(file, 0, bytes);
            file.force();
        }
        disk.forceNames();
    }

    @Test
    void incarnationNeverDecreasesAcrossPowerCuts() throws IOException {
        for (int seed = 0; seed < 40; seed++) {
            for (int step = 0; step < 12; step++) {
                PowerCutDisk disk = new PowerCutDisk();
                long incarnation = 0;
                for (int start = 0; start < 4; start++) {
                    disk.cutAfter(step);
                    try {
                        incarnation = Math.max(
                                incarnation,
                                StoreIdentity.acquire(disk, "n0", true, () -> "one", line -> {})
                                        .incarnation());
                        Recovery.run(disk, LIMITS, false);
                    } catch (PowerCutDisk.PowerCut e) {
                        // The power returns below.
                    }
                    disk = disk.cut(new SplittableRandom(seed * 1000L + start));
                    StoreIdentity found = StoreIdentity.readIfPresent(disk);
                    assertTrue(
                            incarnation == 0 || found != null && found.incarnation() >= incarnation,
                            "seed " + seed + ", step " + step + ": " + incarnation + ", then " + found);
                }
            }
        }
    }
}
