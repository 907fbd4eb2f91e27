package ivybank.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The model of a node against what is known of queues. */
class NodeModelTest {

    private static NodeSpec plain(int cores, int slots, int queue) {
        return new NodeSpec(cores, 1, slots, queue, 1, 0, 0, 1000, 0, 0, 1, 0);
    }

    /** Mean time of a request at Poisson arrivals and exponential work of this mean, in milliseconds. */
    private static double mean(NodeSpec spec, double workMs, double load, int requests) {
        Simulation simulation = new Simulation();
        NodeModel node = new NodeModel(1, spec, 0, simulation);
        SplittableRandom random = new SplittableRandom(4);
        double[] sum = new double[1];
        int[] done = new int[1];
        double at = 0;
        for (int i = 0; i < requests; i++) {
            at -= Math.log(1 - random.nextDouble()) * workMs / (load * spec.cores());
            double begun = at;
            double work = -Math.log(1 - random.nextDouble()) * workMs;
            simulation.at(
                    at,
                    () -> node.request(work, 0, () -> {
                        sum[0] += simulation.nowMs() - begun;
                        done[0]++;
                    }));
        }
        simulation.runUntil(at + 100_000);
        assertEquals(requests, done[0]);
        return sum[0] / requests;
    }

    @Test
    void oneCoreTakesAsLongAsTheorySays() {
        double theory = 100 / (1 - 0.7); // M/M/1 with processor sharing: as first come, first served
        assertEquals(theory, mean(plain(1, 1_000_000, 1), 100, 0.7, 60_000), 0.05 * theory);
    }

    @Test
    void fourCoresTakeAsLongAsTheorySays() {
        // M/M/4 by Erlang's C: at 0.7 of four cores 0.4287 of the requests find all busy.
        double theory = 100 + 0.4287 * 100 / (4 * (1 - 0.7));
        assertEquals(theory, mean(plain(4, 1_000_000, 1), 100, 0.7, 60_000), 0.05 * theory);
    }

    @Test
    void whatFindsTheQueueFullIsTurnedAwayAndCalledOffWorkLeavesItsPlace() {
        Simulation simulation = new Simulation();
        NodeModel node = new NodeModel(1, plain(1, 1, 1), 0, simulation);
        int[] done = new int[1];
        NodeModel.Job first = node.request(100, 0, () -> done[0]++);
        assertTrue(node.request(100, 0, () -> done[0]++) != null);
        assertNull(node.request(100, 0, () -> done[0]++));
        simulation.runUntil(50);
        node.callOff(first);
        simulation.runUntil(149);
        assertEquals(0, done[0]);
        simulation.runUntil(151);
        assertEquals(1, done[0], "the second began when the first was called off");
    }

    @Test
    void aSilentNodeAnswersNothingAndConnectionsHaveACap() {
        Simulation simulation = new Simulation();
        NodeModel node = new NodeModel(1, new NodeSpec(1, 1, 10, 10, 1, 0, 0, 2, 0, 0, 1, 0), 0, simulation);
        int[] done = new int[1];
        node.request(100, 0, () -> done[0]++);
        node.silence(true);
        simulation.runUntil(1000);
        assertEquals(0, done[0]);
        node.silence(false);
        simulation.runUntil(1101);
        assertEquals(1, done[0]);
        assertTrue(node.connect());
        assertTrue(node.connect());
        assertFalse(node.connect());
        node.disconnect();
        assertTrue(node.connect());
    }

    @Test
    void oneThatIsHeldOverdrivenSlowsDownForAWhile() {
        Simulation simulation = new Simulation();
        NodeModel node = new NodeModel(1, new NodeSpec(2, 1, 100, 100, 1, 0, 0, 10, 0, 4, 3, 5000), 0, simulation);
        for (int i = 0; i < 40; i++) {
            node.request(1000, 0, () -> {});
        }
        simulation.runUntil(4000);
        assertEquals(1, node.choked);
    }
}
