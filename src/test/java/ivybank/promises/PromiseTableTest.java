package ivybank.promises;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.promises.PromiseTable.Decision;
import ivybank.promises.PromiseTable.State;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PromiseTableTest {

    private final List<String> forgotten = new ArrayList<>();
    private final PromiseTable promises =
            new PromiseTable(1000, 4, (identity, was) -> forgotten.add(identity + " " + was));

    @Test
    void whatMayHaveRunIsNeverTakenAgainAndWhatHasNotIs() {
        assertEquals(Decision.NEW, promises.ask("a", 0));
        assertEquals(Decision.JOIN, promises.ask("a", 1));
        promises.sent("a");
        promises.ended("a", false, 2);
        assertEquals(Decision.IN_DOUBT, promises.ask("a", 3));
        assertEquals(Decision.NEW, promises.ask("b", 3));
        promises.sent("b");
        promises.ended("b", true, 4);
        assertEquals(Decision.NEW, promises.ask("b", 5), "each attempt has proved that it did not run");
        promises.ended("b", false, 6);
        assertEquals(Decision.NEW, promises.ask("b", 7), "nothing was sent");
        promises.sent("b");
        promises.acked("b", 8);
        assertEquals(Decision.STORED, promises.ask("b", 9));
        assertEquals(new PromiseTable.Figures(0, 1, 1, 1, 1, 1, 0, 0, 0), promises.figures());
    }

    @Test
    void afterARestartWhatWasInHandIsInDoubtAndAClockThatWentBackKeepsNothingForEver() {
        promises.recovered("sent", State.SENT, 500, 100);
        promises.recovered("acked", State.ACKED, 90, 100);
        assertEquals(Decision.IN_DOUBT, promises.ask("sent", 100));
        assertEquals(Decision.STORED, promises.ask("acked", 100));
        promises.trim(1101);
        assertEquals(List.of("sent IN_DOUBT", "acked ACKED"), forgotten, "one from the future counts as of now");
        assertEquals(1, promises.figures().forgottenInDoubt());
        assertEquals(Decision.NEW, promises.ask("sent", 50), "and the clock stands still when it goes back");
    }

    @Test
    void itHoldsSoManyAndForgetsTheOldestThatHasEndedButNothingInHand() {
        for (String name : List.of("a", "b", "c")) {
            promises.ask(name, 1);
            promises.sent(name);
            promises.acked(name, 1);
        }
        assertEquals(Decision.NEW, promises.ask("d", 2));
        assertEquals(Decision.NEW, promises.ask("e", 2));
        assertEquals(List.of("a ACKED"), forgotten);
        assertEquals(Decision.NEW, promises.ask("f", 2));
        assertEquals(Decision.NEW, promises.ask("g", 2));
        assertEquals(Decision.NO_ROOM, promises.ask("h", 2));
        assertEquals(3, promises.figures().forgottenBySize());
        promises.sent("d");
        assertTrue(promises.mayHaveRun("d"));
        assertFalse(promises.mayHaveRun("e"));
    }
}
