package ivybank.rehearsal.stand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.rehearsal.scenario.Scenario.Choke;
import ivybank.rehearsal.scenario.Scenario.Cold;
import ivybank.rehearsal.scenario.Scenario.Kind;
import ivybank.rehearsal.stand.NodeModel.Job;
import java.util.List;
import org.junit.jupiter.api.Test;

class NodeModelTest {

    private static final Cold COLD = new Cold(0.1, 10, 2.5, 2);

    private static final Choke CHOKE = new Choke(2, 1, 3, 2);

    private static NodeModel node(int cores, double speed, double bornMs) {
        return new NodeModel(
                new Kind("k", 1, cores, new double[] {speed, speed}, 2, 10, 1), speed, COLD, CHOKE, bornMs);
    }

    private static List<Object> tags(List<Job> jobs) {
        return jobs.stream().map(job -> job.tag).toList();
    }

    @Test
    void worksOffItsQueueOnItsCoresAndThenWaitsOnOthersWithoutACore() {
        NodeModel node = node(1, 2, Double.NEGATIVE_INFINITY);
        node.submit(0, "a", 100, 30);
        node.submit(0, "b", 100, 0);
        assertEquals(50, node.nextMs());
        assertEquals(List.of(), tags(node.advance(79)));
        assertEquals(List.of("a"), tags(node.advance(80)));
        assertEquals(List.of(), tags(node.advance(99.9)));
        assertEquals(List.of("b"), tags(node.advance(100)));
        assertEquals(Double.POSITIVE_INFINITY, node.nextMs());
    }

    @Test
    void turnsAwayWhatItsQueueDoesNotHoldAndGivesTheRoomOfCancelledWorkToOthers() {
        NodeModel node = node(1, 1, Double.NEGATIVE_INFINITY);
        Job first = node.submit(0, "a", 100, 0);
        node.submit(0, "b", 100, 0);
        assertTrue(node.hasRoom());
        node.submit(0, "c", 100, 0);
        assertFalse(node.hasRoom());
        node.cancel(10, first);
        assertTrue(node.hasRoom());
        assertEquals(List.of("b"), tags(node.advance(110)));
    }

    @Test
    void aNeighbourTakesItsPartOfWhatBeginsFromThenOn() {
        NodeModel node = node(2, 1, Double.NEGATIVE_INFINITY);
        node.submit(0, "a", 100, 0);
        node.neighbour(0.5);
        node.submit(0, "b", 100, 0);
        assertEquals(List.of("a"), tags(node.advance(150)));
        assertEquals(List.of("b"), tags(node.advance(200)));
    }

    @Test
    void warmsUpEvenlyAndIsSlowUntilThen() {
        NodeModel node = node(1, 1, 1000);
        assertEquals(0.1, node.warmth(1000), 1e-9);
        assertEquals(0.55, node.warmth(6000), 1e-9);
        assertEquals(1, node.warmth(11_000), 1e-9);
        node.submit(1000, "a", 10, 0);
        assertEquals(1100, node.nextMs(), 1e-9);
    }

    @Test
    void aColdNodeFallsOverForGoodByMoreThanItsContract() {
        NodeModel node = node(4, 1, 0);
        // Within 2 s from its start it can do 4 x 0.1 to 0.28 x 2000 ms; 2.5 times that is what it bears.
        for (double atMs = 0; atMs < 2000; atMs += 20) {
            node.advance(atMs);
            node.sent(atMs, 20); // what it turns away counts too
        }
        assertTrue(node.pushed() > 0.5 && !node.fallen(), "2000 ms sent, borne: " + node.pushed());
        for (double atMs = 2000; atMs < 4000; atMs += 5) {
            node.advance(atMs);
            node.sent(atMs, 20); // what it turns away counts too
        }
        assertTrue(node.fallen());
        assertFalse(node.hasRoom());
    }

    @Test
    void aWarmNodeBearsAnyPush() {
        NodeModel node = node(1, 1, Double.NEGATIVE_INFINITY);
        for (int i = 0; i < 1000; i++) {
            node.sent(i, 1000);
        }
        assertFalse(node.fallen());
    }

    @Test
    void aNodeThatIsCrowdedForLongTurnsSlowerUntilItHasRested() {
        NodeModel node = node(4, 1, Double.NEGATIVE_INFINITY);
        for (double atMs = 0; atMs < 900; atMs += 5) { // twice what it can do
            node.advance(atMs);
            if (node.hasRoom()) {
                node.submit(atMs, "x", 40, 100);
            }
        }
        assertFalse(node.choked());
        for (double atMs = 900; atMs < 1200; atMs += 5) {
            node.advance(atMs);
            if (node.hasRoom()) {
                node.submit(atMs, "x", 40, 100);
            }
        }
        assertTrue(node.choked());
        node.advance(4000);
        assertTrue(node.choked(), "it rests from when its work is done");
        node.advance(6000);
        assertFalse(node.choked());
    }
}
