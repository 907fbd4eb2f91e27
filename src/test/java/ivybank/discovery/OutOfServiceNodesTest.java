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

/**
 * Tests the entries that the decision module receives for nodes that operators take out of service, whatever discovery says.
 */
class OutOfServiceNodesTest {

    private static final double NOW_MS = 10_000;
    private static final Map<String, Double> OUT_OF_SERVICE = Map.of("a", 1000.0);

    private final Directory directory = new Directory(List.of("z"), List.of("k"), node -> {});

    private List<Upstream> update(boolean whole, String host, Status status, double startedMs) {
        return directory.apply(
                new NodeListUpdate(
                        1,
                        whole,
                        List.of(new NodeListUpdate.Entry(
                                host, new InetSocketAddress("127.0.0.1", 7070), status, startedMs, "z", "k", 0, 1))),
                NOW_MS);
    }

    @Test
    void aNodeKeepsItsNumberThroughARestartAndReturnsWithItsActualStart() {
        Upstream ready = update(false, "a", Status.READY, 0).get(0);
        assertEquals(
                List.of(new Upstream(ready.id(), Status.DRAINING, 0, 0, 0, 0, 1)),
                directory.setOutOfService(OUT_OF_SERVICE, 1000));
        assertFalse(directory.node(ready.id()).ready);
        assertEquals(Status.DRAINING, update(false, "a", Status.GONE, 0).get(0).status());
        assertEquals(
                Status.DRAINING, update(false, "a", Status.READY, 3000).get(0).status());
        assertEquals(List.of(), directory.setOutOfService(OUT_OF_SERVICE, 4000), "already out of service");
        assertEquals(
                List.of(new Upstream(ready.id(), Status.READY, 3000, 0, 0, 0, 1)),
                directory.setOutOfService(Map.of(), 5000));
        assertTrue(directory.node(ready.id()).ready);
    }

    @Test
    void aNodeThatReturnsBeforeItsRestartIsListedCountsAsJustStarted() {
        update(false, "a", Status.READY, 0);
        directory.setOutOfService(OUT_OF_SERVICE, 1000);
        assertEquals(5000, directory.setOutOfService(Map.of(), 5000).get(0).startedMs());
        assertEquals(5000, update(false, "a", Status.READY, 0).get(0).startedMs(), "the list lags behind");
        assertEquals(
                5000,
                update(false, "a", Status.READY, 4000).get(0).startedMs(),
                "the same start, reported as a second earlier");
        assertEquals(9000, update(false, "a", Status.READY, 9000).get(0).startedMs());
    }

    @Test
    void aNodeThatTheListHasDroppedIsGoneOnItsReturn() {
        int id = update(false, "a", Status.READY, 0).get(0).id();
        directory.setOutOfService(OUT_OF_SERVICE, 1000);
        List<Upstream> applied = update(true, "b", Status.READY, 0);
        assertEquals(
                List.of(Status.READY, Status.DRAINING),
                applied.stream().map(Upstream::status).toList());
        assertTrue(directory.contains("a"));
        assertEquals(
                Status.GONE, directory.setOutOfService(Map.of(), 5000).get(0).status());
        assertNull(directory.node(id));
        assertFalse(directory.contains("a"));
    }

    @Test
    void aNodeThatIsFirstListedWhileOutOfServiceIsOutOfService() {
        directory.setOutOfService(OUT_OF_SERVICE, 1000);
        Upstream listed = update(true, "a", Status.READY, 0).get(0);
        assertEquals(Status.DRAINING, listed.status());
        assertFalse(directory.node(listed.id()).ready);
    }
}
