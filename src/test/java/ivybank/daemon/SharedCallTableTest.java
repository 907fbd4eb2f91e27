package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.common.Clock;
import ivybank.common.Log;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests what processes of one sidecar see of each other's calls. */
class SharedCallTableTest {

    private static final int MORE_THAN_SLOTS = 10_000;
    private static final double UNTIL_MS = 2000;

    @TempDir
    Path folder;

    private final Log log = new Log(System.err, Clock.system());

    // Guards against a call that runs in two processes because one does not see what the other has.
    @Test
    void aCallIsSeenAtOnceUntilItIsRemovedOrExpires() throws Exception {
        SharedCallTable first = SharedCallTable.create(folder, 1);
        SharedCallTable second = SharedCallTable.create(folder, 2);
        first.refresh(log);
        first.put("a", UNTIL_MS);
        assertTrue(second.isElsewhere("a", 1000));
        assertFalse(first.isElsewhere("a", 1000), "its own calls are not those of others");
        assertFalse(second.isElsewhere("a", UNTIL_MS));
        second.put("b", UNTIL_MS);
        assertTrue(first.isElsewhere("b", 1000));
        first.remove("a");
        assertFalse(second.isElsewhere("a", 1000));
    }

    // Guards against a table that a flood of calls fills, and that forgets the newest.
    @Test
    void theNewestAreKeptWhereThereAreMoreThanItHolds() throws Exception {
        SharedCallTable first = SharedCallTable.create(folder, 1);
        SharedCallTable second = SharedCallTable.create(folder, 2);
        for (int i = 0; i < MORE_THAN_SLOTS; i++) {
            first.put("call-" + i, UNTIL_MS + i);
        }
        assertTrue(second.isElsewhere("call-" + (MORE_THAN_SLOTS - 1), 1000));
    }

    // Guards against half a file of a process that was killed while it made it.
    @Test
    void halfAFileIsNotMapped() throws Exception {
        Files.write(folder.resolve("ivybank-3.calls"), new byte[100]);
        assertFalse(SharedCallTable.create(folder, 1).isElsewhere("a", 0));
    }
}
