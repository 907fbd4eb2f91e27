package ivybank.promises;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.promises.PromiseTable.Decision;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PromiseTableTest {

    private final List<String> forgotten = new ArrayList<>();
    private final PromiseTable promises =
            new PromiseTable(1000, 4, (identity, was) -> forgotten.add(identity + " " + was));

    @Test
    void requestThatMayHaveRunIsNotAcceptedAgainAndOneThatDidNotRunIs() {
        assertEquals(Decision.NEW, promises.admit("a", 0));
        assertEquals(Decision.JOIN, promises.admit("a", 1));
        promises.sent("a");
        promises.ended("a", false, 2);
        assertEquals(Decision.IN_DOUBT, promises.admit("a", 3));
        assertEquals(Decision.NEW, promises.admit("b", 3));
        promises.sent("b");
        promises.ended("b", true, 4);
        assertEquals(Decision.NEW, promises.admit("b", 5), "each attempt has proved that it did not run");
        promises.ended("b", false, 6);
        assertEquals(Decision.NEW, promises.admit("b", 7), "nothing was sent to a node");
        promises.sent("b");
        promises.acknowledged("b", 8);
        assertEquals(Decision.STORED, promises.admit("b", 9));
        assertEquals(new PromiseTable.Statistics(0, 1, 1, 1, 1, 1, 0, 0, 0), promises.statistics());
    }

    @Test
    void pendingRequestsAreInDoubtAfterARestartAndAClockSetBackKeepsNothingForEver() {
        promises.recovered("sent", PromiseState.SENT, 500, 100);
        promises.recovered("acked", PromiseState.ACKED, 90, 100);
        assertEquals(Decision.IN_DOUBT, promises.admit("sent", 100));
        assertEquals(Decision.STORED, promises.admit("acked", 100));
        promises.trim(1101);
        assertEquals(
                List.of("sent IN_DOUBT", "acked ACKED"), forgotten, "a time in the future counts as the current time");
        assertEquals(1, promises.statistics().forgottenInDoubt());
        assertEquals(Decision.NEW, promises.admit("sent", 50), "the time of the table does not go back with the clock");
    }

    @Test
    void fullTableForgetsTheOldestEndedRequestsButNoPendingOnes() {
        for (String name : List.of("a", "b", "c")) {
            promises.admit(name, 1);
            promises.sent(name);
            promises.acknowledged(name, 1);
        }
        assertEquals(Decision.NEW, promises.admit("d", 2));
        assertEquals(Decision.NEW, promises.admit("e", 2));
        assertEquals(List.of("a ACKED"), forgotten);
        assertEquals(Decision.NEW, promises.admit("f", 2));
        assertEquals(Decision.NEW, promises.admit("g", 2));
        assertEquals(Decision.AT_CAPACITY, promises.admit("h", 2));
        assertEquals(3, promises.statistics().forgottenBySize());
        promises.sent("d");
        assertTrue(promises.mayHaveRun("d"));
        assertFalse(promises.mayHaveRun("e"));
    }
}
