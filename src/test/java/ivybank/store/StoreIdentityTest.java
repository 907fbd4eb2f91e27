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

/** A store that is missing, lost, damaged or another's is told apart from one that is new. */
class StoreIdentityTest {

    private static final Limits LIMITS = new Limits(1 << 20, 4096, 2048, 1 << 16);

    private final List<String> said = new ArrayList<>();

    private StoreIdentity take(Disk disk, String owner, boolean mayMake) throws IOException {
        return StoreIdentity.acquire(disk, owner, mayMake, () -> "id-" + said.size(), said::add);
    }

    private static PowerCutDisk made(String owner) throws IOException {
        PowerCutDisk disk = new PowerCutDisk();
        StoreIdentity.acquire(disk, owner, true, () -> "first", line -> {});
        Recovery.run(disk, LIMITS, false);
        return disk;
    }

    private String refused(Disk disk, String owner, boolean mayMake) throws IOException {
        List<String> before = disk.names();
        String message = assertThrows(StoreException.class, () -> take(disk, owner, mayMake))
                .getMessage();
        assertEquals(before, disk.names(), "nothing is changed");
        assertEquals(1, message.lines().count());
        return message;
    }

    @Test
    void aFirstStoreIsMadeOnlyWhereThatIsAllowedAndItsLifeRises() throws IOException {
        PowerCutDisk disk = new PowerCutDisk();
        assertTrue(refused(disk, "n0", false).startsWith("there is no store here: if there was one, it is lost"));
        assertEquals(new StoreIdentity("n0", "id-0", 1), take(disk, "n0", true));
        assertEquals(1, said.size());
        Recovery.run(disk, LIMITS, false);
        assertEquals(new StoreIdentity("n0", "id-0", 2), take(disk, "n0", false));
        assertEquals(new StoreIdentity("n0", "id-0", 3), take(disk, "n0", true));
        assertEquals(1, said.size());
        assertEquals(3, StoreIdentity.readIfPresent(disk).incarnation());
    }

    @Test
    void theStoreOfAnotherSidecarIsRefused() throws IOException {
        String message = refused(made("n1"), "n0", true);
        assertTrue(message.startsWith("it is the store of n1 (id first), and this is n0"), message);
    }

    @Test
    void aStoreThatIsLostButForItsNameIsNotTakenForANewOne() throws IOException {
        PowerCutDisk disk = made("n0");
        take(disk, "n0", false);
        for (String name : disk.names()) {
            if (!name.equals(StoreIdentity.NAME)) {
                disk.delete(name);
            }
        }
        assertTrue(refused(disk, "n0", true).contains("taken up 2 times) is lost but for its name"));
    }

    @Test
    void oneOfAnEarlierVersionGetsANameAndThatIsSaid() throws IOException {
        PowerCutDisk disk = new PowerCutDisk();
        Recovery.run(disk, LIMITS, false);
        assertNull(StoreIdentity.readIfPresent(disk));
        assertEquals(1, take(disk, "n0", false).incarnation());
        assertTrue(said.get(0).startsWith("it had no name"), said.toString());
        assertEquals(2, take(disk, "n0", false).incarnation());
    }

    @Test
    void aDamagedNameIsSaidWhereverItIsDamaged() throws IOException {
        PowerCutDisk whole = made("n0");
        ByteBuffer bytes = Disk.readAll(whole, StoreIdentity.NAME, 4096);
        for (int bit = 0; bit < 8 * bytes.limit(); bit++) {
            byte[] flipped = bytes.array().clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            PowerCutDisk disk = made("n0");
            write(disk, ByteBuffer.wrap(flipped, 0, bytes.limit()));
            assertTrue(refused(disk, "n0", true).startsWith("the file identity can't be read"), "bit " + bit);
        }
        for (int length = 0; length < bytes.limit(); length++) {
            PowerCutDisk disk = made("n0");
            write(disk, ByteBuffer.wrap(bytes.array(), 0, length));
            String message = refused(disk, "n0", true);
            assertTrue(message.startsWith("the file identity can't be read"), length + " bytes: " + message);
        }
    }

    private static void write(Disk disk, ByteBuffer bytes) throws IOException {
        disk.delete(StoreIdentity.NAME);
        try (Disk.File file = disk.create(StoreIdentity.NAME)) {
            Disk.writeFully(file, 0, bytes);
            file.force();
        }
        disk.forceNames();
    }

    @Test
    void acrossCutsOfThePowerTheLifeNeverFallsAndNothingIsTakenForAnotherStore() throws IOException {
        for (int seed = 0; seed < 40; seed++) {
            for (int step = 0; step < 12; step++) {
                PowerCutDisk disk = new PowerCutDisk();
                long life = 0;
                for (int start = 0; start < 4; start++) {
                    disk.cutAfter(step);
                    try {
                        life = Math.max(
                                life,
                                StoreIdentity.acquire(disk, "n0", true, () -> "one", line -> {})
                                        .incarnation());
                        Recovery.run(disk, LIMITS, false);
                    } catch (PowerCutDisk.PowerCut e) {
                        // It comes back as below.
                    }
                    disk = disk.cut(new SplittableRandom(seed * 1000L + start));
                    StoreIdentity kept = StoreIdentity.readIfPresent(disk);
                    assertTrue(
                            life == 0 || kept != null && kept.incarnation() >= life,
                            "seed " + seed + ", step " + step + ": " + life + ", then " + kept);
                }
            }
        }
    }
}
