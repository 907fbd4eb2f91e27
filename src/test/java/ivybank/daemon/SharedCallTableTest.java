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
    private static final double NOW_MS = 1000;
    private static final double UNTIL_MS = 2000;
    private static final long ALIVE = ProcessHandle.current().pid();
    /** The first process of a system. */
    private static final long ALSO_ALIVE = 1;

    /** Beyond the highest process id of Linux. */
    private static final long ENDED = 1L << 23;

    @TempDir
    Path folder;

    private final Log log = new Log(System.err, Clock.system());

    // Guards against a call that runs in two processes because one does not see what the other has.
    @Test
    void aCallIsSeenAtOnceUntilItIsRemovedOrExpires() throws Exception {
        SharedCallTable first = SharedCallTable.create(folder, ALIVE, NOW_MS);
        SharedCallTable second = SharedCallTable.create(folder, ALSO_ALIVE, NOW_MS);
        first.refresh(NOW_MS, log);
        first.put("a", UNTIL_MS);
        assertTrue(second.isElsewhere("a", NOW_MS));
        assertFalse(first.isElsewhere("a", NOW_MS), "its own calls are not those of others");
        assertFalse(second.isElsewhere("a", UNTIL_MS));
        second.put("b", UNTIL_MS);
        assertTrue(first.isElsewhere("b", NOW_MS));
        first.remove("a");
        assertFalse(second.isElsewhere("a", NOW_MS));
    }

    // Guards against a table that a flood of calls fills, and that forgets the newest.
    @Test
    void theNewestAreKeptWhereThereAreMoreThanItHolds() throws Exception {
        SharedCallTable first = SharedCallTable.create(folder, ALIVE, NOW_MS);
        SharedCallTable second = SharedCallTable.create(folder, ALSO_ALIVE, NOW_MS);
        for (int i = 0; i < MORE_THAN_SLOTS; i++) {
            first.put("call-" + i, UNTIL_MS + i);
        }
        assertTrue(second.isElsewhere("call-" + (MORE_THAN_SLOTS - 1), NOW_MS));
    }

    // Guards against half a file of a process that was killed while it made it.
    @Test
    void halfAFileIsNotMapped() throws Exception {
        Files.write(folder.resolve("ivybank-3.calls"), new byte[100]);
        assertFalse(SharedCallTable.create(folder, ALIVE, NOW_MS).isElsewhere("a", 0));
    }

    // Guards against files of ended processes that fill the folder, and against one that is removed too early.
    @Test
    void theFileOfAnEndedProcessIsRemovedOnceNothingIsRetained() throws Exception {
        SharedCallTable alive = SharedCallTable.create(folder, ALIVE, NOW_MS);
        SharedCallTable.create(folder, ENDED, NOW_MS).put("a", UNTIL_MS);
        alive.refresh(NOW_MS, log);
        assertTrue(alive.isElsewhere("a", NOW_MS));
        alive.refresh(UNTIL_MS, log);
        assertFalse(Files.exists(folder.resolve("ivybank-" + ENDED + ".calls")));
        assertFalse(alive.isElsewhere("a", NOW_MS));
    }
}
