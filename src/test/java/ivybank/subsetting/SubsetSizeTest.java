package ivybank.subsetting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SubsetSizeTest {

    private static final int NODES = 60;

    private int sidecars = 1;
    private final SubsetSize subset = new SubsetSize(() -> sidecars);

    /** Records so much traffic that the size is not bounded by it. */
    SubsetSizeTest() {
        subset.requestReceived(0, 3000 * 1000);
    }

    /** Returns a subset after steady traffic of {@code requestsInFlight} concurrent requests that never found free capacity. */
    private static SubsetSize withFullMembers(double requestsInFlight, int nodes, int sidecars) {
        SubsetSize subset = new SubsetSize(() -> sidecars);
        subset.update(nodes);
        for (int ms = 0; ms < 20_000; ms += 100) {
            subset.requestReceived(ms, 100 * requestsInFlight);
            subset.memberOffered(false);
            subset.step(subset.update(nodes), nodes);
            if (ms % 1000 == 0) {
                subset.tick(false, nodes);
            }
        }
        return subset;
    }

    @Test
    void shrinksInsteadOfGrowingWhileAttemptsGetNoAnswer() {
        subset.memberAdded(1);
        subset.reportReceived(1, true, new double[] {0.1}, 0);
        for (int attempt = 0; attempt < 20; attempt++) {
            subset.reportReceived(2, true, new double[0], 0);
        }
        subset.memberOffered(false);
        assertFalse(subset.step(10, NODES), "a larger subset in an overloaded fleet adds to the overload");
        subset.restore(40);
        assertTrue(subset.tick(false, NODES));
        for (int attempt = 0; attempt < 200; attempt++) {
            subset.reportReceived(3, true, new double[] {0.1}, 0);
        }
        int size = subset.size();
        subset.memberOffered(false);
        assertTrue(subset.step(size, NODES), "it grows again once attempts are answered");
    }

    @Test
    void doesNotGrowWithLittleTrafficEvenIfMembersAreFull() {
        assertEquals(
                10,
                withFullMembers(3, 60, 14).size(),
                "three in flight fit on ten nodes; the rest of their load is from others");
        assertEquals(60, withFullMembers(100, 60, 14).size(), "a hundred need all nodes");
        int some = withFullMembers(20, 60, 14).size();
        assertTrue(some >= 20 && some <= 35, "twenty with a margin for random variation: " + some);
    }

    @Test
    void hundredSidecarsHaveNoMoreMembersThanTheirTrafficNeeds() {
        int pairs = 0;
        for (int sidecar = 0; sidecar < 100; sidecar++) {
            pairs += withFullMembers(sidecar == 0 ? 30 : 3, 60, 100).size();
        }
        assertTrue(pairs <= 100 * 9 + 60, pairs + " pairs of 100 sidecars and 60 nodes; all of them are 6,000");
    }

    @Test
    void manySidecarsHaveSmallerSubsets() {
        assertEquals(10, new SubsetSize(() -> 14).update(60));
        assertEquals(8, new SubsetSize(() -> 60).update(60));
        assertEquals(6, new SubsetSize(() -> 100).update(60));
        assertEquals(10, new SubsetSize(() -> 100).update(200));
        assertEquals(6, new SubsetSize(() -> 10_000).update(60), "with fewer nodes latencies cannot be compared");
        assertEquals(3, new SubsetSize(() -> 10_000).update(3));
        SubsetSize other = new SubsetSize(() -> 100);
        other.update(60);
        assertEquals(10, other.update(200), "it follows the list while it has its default size");
    }

    @Test
    void shrinksWhenTrafficFalls() {
        SubsetSize subset = withFullMembers(100, 60, 14);
        for (int ms = 20_000; ms < 60_000; ms += 100) {
            subset.requestReceived(ms, 300);
            if (ms % 1000 == 0) {
                subset.tick(false, 60);
            }
        }
        assertTrue(subset.size() <= 15, subset.size() + " nodes for three requests in flight");
    }

    @Test
    void reachesAllNodesWithinTwoSecondsWithoutFreeCapacity() {
        int steps = 0;
        while (subset.size() < NODES) {
            int before = subset.size();
            subset.memberOffered(false);
            assertTrue(subset.step(before, NODES));
            assertTrue(subset.size() <= Math.ceil(1.1 * before), "at most a tenth more in a step");
            steps++;
        }
        assertTrue(steps <= 20, steps + " steps of 94 ms");
    }

    @Test
    void keepsItsSizeWhileMembersHaveFreeCapacity() {
        subset.memberOffered(false);
        subset.step(10, NODES);
        int size = subset.size();
        assertFalse(subset.step(size, NODES));
        assertEquals(size, subset.size());
    }

    @Test
    void growsToAllNodesAtMost() {
        subset.memberOffered(false);
        assertFalse(subset.step(4, 4), "all of the few nodes are members already");
        subset.memberOffered(false);
        assertTrue(subset.step(10, 11));
        assertEquals(11, subset.size());
    }

    @Test
    void doesNotGrowBeforeTheSubsetIsFilled() {
        subset.memberOffered(false);
        assertFalse(subset.step(9, NODES), "a member that has left is replaced first");
    }

    @Test
    void shrinksAfterFreeCapacityForAWhile() {
        subset.restore(20);
        for (int tick = 0; tick < 10; tick++) {
            assertFalse(subset.tick(true, NODES));
        }
        assertTrue(subset.tick(true, NODES));
        assertEquals(19, subset.size());
        subset.memberOffered(false);
        assertFalse(subset.tick(true, NODES), "the count of calm ticks restarts after a request found no capacity");
        assertFalse(subset.tick(false, NODES), "no member is removed that is needed");
    }

    @Test
    void neverShrinksBelowTheDefaultSize() {
        for (int tick = 0; tick < 100; tick++) {
            subset.tick(true, NODES);
        }
        assertEquals(SubsetSize.DEFAULT_SIZE, subset.size());
    }

    /**
     * Grows the subset while its members are full and new members report the CPU utilisation {@code cpu} a few steps later; returns
     * the number of steps until all nodes are members.
     */
    private int stepsUntilAllNodes(double cpu, int maxSteps) {
        for (int step = 0; step < maxSteps; step++) {
            if (subset.size() == NODES) {
                return step;
            }
            subset.memberOffered(false);
            int before = subset.size();
            if (subset.step(before, NODES)) {
                for (int node = before; node < subset.size(); node++) {
                    subset.memberAdded(node);
                }
            } else if (step % 5 == 4) {
                reportAll(0, before, cpu);
            }
        }
        return maxSteps;
    }

    private void reportAll(int from, int to, double cpu) {
        for (int node = from; node < to; node++) {
            subset.reportReceived(node, true, new double[] {cpu}, 0);
        }
    }

    private void reportFromFirstMembers(double cpu) {
        for (int node = 0; node < SubsetSize.DEFAULT_SIZE; node++) {
            subset.memberAdded(node);
        }
        reportAll(0, SubsetSize.DEFAULT_SIZE, cpu);
    }

    @Test
    void growsFastOnceNewMembersAreIdle() {
        reportFromFirstMembers(1);
        reportAll(0, 1, 1);
        for (int sample = 0;
                sample < 3;
                sample++) { // members may be busy with its own requests; only the reports of new members count
            subset.memberAdded(100 + sample);
            subset.reportReceived(100 + sample, true, new double[] {0.1}, 0);
        }
        assertTrue(stepsUntilAllNodes(0.1, 60) <= 30, "idle nodes are members within three seconds");
    }

    @Test
    void growsOneByOneWhileNewMembersAreBusy() {
        reportFromFirstMembers(1);
        reportFromFirstMembers(1);
        stepsUntilAllNodes(1, 110);
        assertTrue(subset.size() <= SubsetSize.DEFAULT_SIZE + 10, "ten seconds added " + subset.size());
    }

    @Test
    void sidecarsOfAnOverloadedFleetAddFewMembersEach() {
        for (int sidecars : new int[] {3, 14, 56, 224}) {
            int pairs = 0;
            for (int sidecar = 0; sidecar < sidecars; sidecar++) {
                SubsetSizeTest other = new SubsetSizeTest();
                other.reportFromFirstMembers(1);
                other.reportFromFirstMembers(1);
                other.stepsUntilAllNodes(1, 110);
                pairs += other.subset.size();
            }
            assertTrue(
                    pairs <= 2 * SubsetSize.DEFAULT_SIZE * sidecars,
                    sidecars + " sidecars have " + pairs + " pairs after 10 s");
        }
    }

    @Test
    void shrinksWhenAllNodesAreMembersAndOverloaded() {
        subset.restore(NODES);
        for (int answer = 0; answer < 500; answer++) {
            subset.reportReceived(answer % NODES, true, new double[] {1.1}, 0);
        }
        assertTrue(subset.tick(false, NODES));
        assertEquals(57, subset.size());
    }

    @Test
    void reportsOfColdNodesAreIgnored() {
        subset.restore(NODES);
        for (int answer = 0; answer < 500; answer++) {
            subset.reportReceived(answer % NODES, false, new double[] {1.1}, 0);
        }
        assertFalse(subset.tick(false, NODES));
    }

    @Test
    void nodesWithoutAReportAreForgotten() {
        for (int node = 0; node < 3 * SubsetSize.MAX_AWAITED_REPORTS; node++) {
            subset.memberAdded(node);
        }
        assertTrue(subset.awaitedReports() <= SubsetSize.MAX_AWAITED_REPORTS, subset.awaitedReports() + " are awaited");
    }

    @Test
    void shrinksWhenTheNumberOfSidecarsRises() {
        sidecars = 14;
        assertEquals(10, subset.update(NODES));
        assertFalse(subset.tick(true, NODES));
        sidecars = 100;
        assertTrue(subset.tick(true, NODES), "the size has to be computed again");
        assertEquals(6, subset.update(NODES));
        assertEquals(8 * 10 / 100.0, subset.minConcurrency(NODES), 1e-9);
    }
}
