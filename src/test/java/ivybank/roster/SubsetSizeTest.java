package ivybank.roster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SubsetSizeTest {

    private static final int NODES = 60;

    private final SubsetSize subset = new SubsetSize();

    @Test
    void reachesAllNodesWithinTwoSecondsOfStepsWithoutRoom() {
        int steps = 0;
        while (subset.size() < NODES) {
            int before = subset.size();
            subset.offered(false);
            assertTrue(subset.step(before, NODES));
            assertTrue(subset.size() <= Math.ceil(1.1 * before), "at most a tenth more in a step");
            steps++;
        }
        assertTrue(steps <= 20, steps + " steps of 94 ms");
    }

    @Test
    void staysWhereItIsWhileMembersHaveRoom() {
        subset.offered(false);
        subset.step(10, NODES);
        int size = subset.size();
        assertFalse(subset.step(size, NODES));
        assertEquals(size, subset.size());
    }

    @Test
    void growsNoFurtherThanThereAreNodes() {
        subset.offered(false);
        assertFalse(subset.step(4, 4), "with few nodes all are drawn from already");
        subset.offered(false);
        assertTrue(subset.step(10, 11));
        assertEquals(11, subset.size());
    }

    @Test
    void waitsUntilThoseAskedForAreThere() {
        subset.offered(false);
        assertFalse(subset.step(9, NODES), "one has just left: its successor comes first");
    }

    @Test
    void comesBackDownOnceThereWasRoomToSpareForAWhile() {
        subset.recall(20);
        for (int tick = 0; tick < 10; tick++) {
            assertFalse(subset.tick(true));
        }
        assertTrue(subset.tick(true));
        assertEquals(19, subset.size());
        subset.offered(false);
        assertFalse(subset.tick(true), "the calm counts anew after a request without room");
        assertFalse(subset.tick(false), "and no member goes that is needed");
    }

    @Test
    void neverUnderTheUsualNumber() {
        for (int tick = 0; tick < 100; tick++) {
            subset.tick(true);
        }
        assertEquals(SubsetSize.USUAL, subset.size());
    }
}
