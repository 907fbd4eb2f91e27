package ivybank.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.policy.Balancer.Status;
import ivybank.policy.Balancer.Upstream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the module is told of nodes that operators take out, over all that discovery says meanwhile. */
class OutNodesTest {

    private static final double NOW_MS = 10_000;
    private static final Map<String, Double> OUT = Map.of("a", 1000.0);

    private final Directory directory = new Directory(List.of("z"), List.of("k"), node -> {});

    private List<Upstream> says(boolean whole, String host, Status status, double bornMs) {
        return directory.apply(
                new HostUpdate(
                        1,
                        whole,
                        List.of(new HostUpdate.Entry(
                                host, new InetSocketAddress("127.0.0.1", 7070), status, bornMs, "z", "k", 0, 1))),
                NOW_MS);
    }

    @Test
    void itKeepsItsNumberThroughARestartAndComesBackWithItsTrueStart() {
        Upstream ready = says(false, "a", Status.READY, 0).get(0);
        assertEquals(List.of(new Upstream(ready.id(), Status.DRAINING, 0, 0, 0, 0, 1)), directory.takeOut(OUT, 1000));
        assertFalse(directory.node(ready.id()).ready);
        assertEquals(Status.DRAINING, says(false, "a", Status.GONE, 0).get(0).status());
        assertEquals(
                Status.DRAINING, says(false, "a", Status.READY, 3000).get(0).status());
        assertEquals(List.of(), directory.takeOut(OUT, 4000), "out already");
        assertEquals(
                List.of(new Upstream(ready.id(), Status.READY, 3000, 0, 0, 0, 1)), directory.takeOut(Map.of(), 5000));
        assertTrue(directory.node(ready.id()).ready);
    }

    @Test
    void calledBackBeforeTheListKnowsOfItsRestartItCountsAsJustStarted() {
        says(false, "a", Status.READY, 0);
        directory.takeOut(OUT, 1000);
        assertEquals(5000, directory.takeOut(Map.of(), 5000).get(0).startedMs());
        assertEquals(5000, says(false, "a", Status.READY, 0).get(0).startedMs(), "the list is late, not right");
        assertEquals(5000, says(false, "a", Status.READY, 4000).get(0).startedMs(), "no second start a second earlier");
        assertEquals(9000, says(false, "a", Status.READY, 9000).get(0).startedMs());
    }

    @Test
    void oneThatTheListHasDroppedIsGoneWhenItIsCalledBack() {
        int id = says(false, "a", Status.READY, 0).get(0).id();
        directory.takeOut(OUT, 1000);
        List<Upstream> told = says(true, "b", Status.READY, 0);
        assertEquals(
                List.of(Status.READY, Status.DRAINING),
                told.stream().map(Upstream::status).toList());
        assertTrue(directory.contains("a"));
        assertEquals(Status.GONE, directory.takeOut(Map.of(), 5000).get(0).status());
        assertNull(directory.node(id));
        assertFalse(directory.contains("a"));
    }

    @Test
    void oneThatIsFirstListedWhileItIsOutIsOut() {
        directory.takeOut(OUT, 1000);
        Upstream told = says(true, "a", Status.READY, 0).get(0);
        assertEquals(Status.DRAINING, told.status());
        assertFalse(directory.node(told.id()).ready);
    }
}
