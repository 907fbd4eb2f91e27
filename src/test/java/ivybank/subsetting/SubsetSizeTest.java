package ivybank.subsetting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SubsetSizeTest {

    private static final int NODES = 60;

    private int sidecars = 1;
    private final SubsetSize subset = new SubsetSize(() -> sidecars);

    /** Traffic that all nodes together would not be too many for. */
    SubsetSizeTest() {
        subset.asked(0, 3000 * 1000);
    }

    /** One whose clients ask for so much at quiet nodes, all the time, and that never finds room. */
    private static SubsetSize without(double requestsInHand, int nodes, int sidecars) {
        SubsetSize subset = new SubsetSize(() -> sidecars);
        subset.of(nodes);
        for (int ms = 0; ms < 20_000; ms += 100) {
            subset.asked(ms, 100 * requestsInHand);
            subset.offered(false);
            subset.step(subset.of(nodes), nodes);
            if (ms % 1000 == 0) {
                subset.tick(false, nodes);
            }
        }
        return subset;
    }

    @Test
    void neitherGrowsNorStaysLargeWhileAttemptsGetNoAnswer() {
        subset.added(1);
        subset.reported(1, true, new double[] {0.1}, 0);
        for (int attempt = 0; attempt < 20; attempt++) {
            subset.reported(2, true, new double[0], 0);
        }
        subset.offered(false);
        assertFalse(subset.step(10, NODES), "more neighbours of a jammed fleet jam it more");
        subset.recall(40);
        assertTrue(subset.tick(false, NODES));
        for (int attempt = 0; attempt < 200; attempt++) {
            subset.reported(3, true, new double[] {0.1}, 0);
        }
        int size = subset.size();
        subset.offered(false);
        assertTrue(subset.step(size, NODES), "and grows again once they are answered");
    }

    @Test
    void oneOfLittleTrafficDoesNotGrowHoweverFullItsMembersAre() {
        assertEquals(
                10, without(3, 60, 14).size(), "three in hand fit on ten nodes: what is full there is others' doing");
        assertEquals(60, without(100, 60, 14).size(), "a hundred need all");
        int some = without(20, 60, 14).size();
        assertTrue(some >= 20 && some <= 35, "twenty, with room for chance: " + some);
    }

    @Test
    void aHundredThatAreFullTogetherHaveNoMoreNeighboursThanTheirTrafficNeeds() {
        int pairs = 0;
        for (int sidecar = 0; sidecar < 100; sidecar++) {
            pairs += without(sidecar == 0 ? 30 : 3, 60, 100).size();
        }
        assertTrue(pairs <= 100 * 9 + 60, pairs + " pairs of 100 sidecars and 60 nodes; all of them are 6,000");
    }

    @Test
    void manySidecarsDrawFromFewerNodesEach() {
        assertEquals(10, new SubsetSize(() -> 14).of(60));
        assertEquals(8, new SubsetSize(() -> 60).of(60));
        assertEquals(6, new SubsetSize(() -> 100).of(60));
        assertEquals(10, new SubsetSize(() -> 100).of(200));
        assertEquals(6, new SubsetSize(() -> 10_000).of(60), "fewer could not be compared");
        assertEquals(3, new SubsetSize(() -> 10_000).of(3));
        SubsetSize one = new SubsetSize(() -> 100);
        one.of(60);
        assertEquals(10, one.of(200), "it follows the list while it has no more than usual");
    }

    @Test
    void growthThatTrafficNoLongerAsksForIsGivenBack() {
        SubsetSize subset = without(100, 60, 14);
        for (int ms = 20_000; ms < 60_000; ms += 100) {
            subset.asked(ms, 300);
            if (ms % 1000 == 0) {
                subset.tick(false, 60);
            }
        }
        assertTrue(subset.size() <= 15, subset.size() + " nodes for three requests in hand");
    }

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
            assertFalse(subset.tick(true, NODES));
        }
        assertTrue(subset.tick(true, NODES));
        assertEquals(19, subset.size());
        subset.offered(false);
        assertFalse(subset.tick(true, NODES), "the calm counts anew after a request without room");
        assertFalse(subset.tick(false, NODES), "and no member goes that is needed");
    }

    @Test
    void neverUnderTheUsualNumber() {
        for (int tick = 0; tick < 100; tick++) {
            subset.tick(true, NODES);
        }
        assertEquals(SubsetSize.USUAL, subset.size());
    }

    /** One that sends to new members, which report {@code busy} a few steps later; returns the steps until all nodes are drawn from. */
    private int stepsToAll(double busy, int longest) {
        for (int step = 0; step < longest; step++) {
            if (subset.size() == NODES) {
                return step;
            }
            subset.offered(false);
            int before = subset.size();
            if (subset.step(before, NODES)) {
                for (int node = before; node < subset.size(); node++) {
                    subset.added(node);
                }
            } else if (step % 5 == 4) {
                report(0, before, busy);
            }
        }
        return longest;
    }

    private void report(int from, int to, double busy) {
        for (int node = from; node < to; node++) {
            subset.reported(node, true, new double[] {busy}, 0);
        }
    }

    private void meetTheFirst(double busy) {
        for (int node = 0; node < SubsetSize.USUAL; node++) {
            subset.added(node);
        }
        report(0, SubsetSize.USUAL, busy);
    }

    @Test
    void growsByHalfOnceThoseAddedLastWereFoundIdle() {
        meetTheFirst(1);
        report(0, 1, 1);
        for (int sample = 0;
                sample < 3;
                sample++) { // its own members are busy by its own doing: what counts is who is met anew
            subset.added(100 + sample);
            subset.reported(100 + sample, true, new double[] {0.1}, 0);
        }
        assertTrue(stepsToAll(0.1, 60) <= 30, "idle nodes are found within three seconds");
    }

    @Test
    void growsOneByOneWhereThoseAddedLastWereFoundBusy() {
        meetTheFirst(1);
        meetTheFirst(1);
        stepsToAll(1, 110);
        assertTrue(subset.size() <= SubsetSize.USUAL + 10, "ten seconds added " + subset.size());
    }

    @Test
    void allSidecarsOfAnOverloadedFleetAddFewNeighboursWhateverTheirNumber() {
        for (int sidecars : new int[] {3, 14, 56, 224}) {
            int pairs = 0;
            for (int sidecar = 0; sidecar < sidecars; sidecar++) {
                SubsetSizeTest one = new SubsetSizeTest();
                one.meetTheFirst(1);
                one.meetTheFirst(1);
                one.stepsToAll(1, 110);
                pairs += one.subset.size();
            }
            assertTrue(
                    pairs <= 2 * SubsetSize.USUAL * sidecars,
                    sidecars + " sidecars have " + pairs + " pairs after 10 s");
        }
    }

    @Test
    void comesBackDownWhereAllNodesAreDrawnFromAndOverloaded() {
        subset.recall(NODES);
        for (int answer = 0; answer < 500; answer++) {
            subset.reported(answer % NODES, true, new double[] {1.1}, 0);
        }
        assertTrue(subset.tick(false, NODES));
        assertEquals(57, subset.size());
    }

    @Test
    void whatColdNodesReportTellsNothing() {
        subset.recall(NODES);
        for (int answer = 0; answer < 500; answer++) {
            subset.reported(answer % NODES, false, new double[] {1.1}, 0);
        }
        assertFalse(subset.tick(false, NODES));
    }

    @Test
    void nodesThatComeAndGoWithoutAReportAreNotKeptForEver() {
        for (int node = 0; node < 3 * SubsetSize.MOST_AWAITED; node++) {
            subset.added(node);
        }
        assertTrue(subset.awaited() <= SubsetSize.MOST_AWAITED, subset.awaited() + " are kept");
    }

    @Test
    void whenThereAreMoreSidecarsThanWereToldOneDrawsFromFewerNodes() {
        sidecars = 14;
        assertEquals(10, subset.of(NODES));
        assertFalse(subset.tick(true, NODES));
        sidecars = 100;
        assertTrue(subset.tick(true, NODES), "the size is to be asked for anew");
        assertEquals(6, subset.of(NODES));
        assertEquals(8 * 10 / 100.0, subset.leastWindow(NODES), 1e-9);
    }
}
