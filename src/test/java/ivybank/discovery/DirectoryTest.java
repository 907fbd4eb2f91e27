package ivybank.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.policy.Balancer;
import ivybank.policy.Balancer.Status;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the directory of nodes while hosts keep coming and going. */
class DirectoryTest {

    private static final double NOW_MS = 10_000;

    private final List<Node> retired = new ArrayList<>();
    private final Directory directory = new Directory(List.of("a"), List.of("k"), retired::add);

    private int apply(boolean whole, String host, Status status) {
        return directory
                .apply(
                        new NodeListUpdate(
                                1,
                                whole,
                                List.of(new NodeListUpdate.Entry(
                                        host, new InetSocketAddress("127.0.0.1", 7070), status, 0, "a", "k", 0, 1))),
                        NOW_MS)
                .get(0)
                .id();
    }

    @Test
    void aGoneHostIsForgottenAndItsNumberNotReused() {
        int first = apply(false, "s-1", Status.READY);
        assertEquals(first, apply(false, "s-1", Status.DRAINING));
        Node node = directory.node(first);
        assertNotNull(node, "a draining node is still known");
        assertEquals(first, apply(false, "s-1", Status.GONE));
        assertNull(directory.node(first));
        assertFalse(node.ready);
        int second = apply(false, "s-2", Status.READY);
        int again = apply(false, "s-1", Status.READY);
        assertEquals(3, List.of(first, second, again).stream().distinct().count());
    }

    @Test
    void aWholeListRemovesHostsThatItDoesNotName() {
        int first = apply(false, "s-1", Status.READY);
        Node node = directory.node(first);
        retired.clear();
        int second = apply(true, "s-2", Status.READY);
        assertNull(directory.node(first));
        assertNotNull(directory.node(second));
        assertEquals(
                List.of(node), retired.stream().filter(each -> each == node).toList());
    }

    private static NodeListUpdate.Entry entry(String host, Status status, double startedMs) {
        return new NodeListUpdate.Entry(
                host, new InetSocketAddress("127.0.0.1", 7070), status, startedMs, "a", "k", 0, 1);
    }

    /**
     * Guards against a list that names a host twice: the decision module once kept a node that the directory no longer knew, and
     * sent to one that was draining.
     */
    @Test
    void forAHostNamedTwiceTheLatestProcessPrevailsAndThenTheMostRestrictiveStatus() {
        for (boolean whole : new boolean[] {false, true}) {
            for (List<NodeListUpdate.Entry> twice : List.of(
                    List.of(entry("s-1", Status.DRAINING, 0), entry("s-1", Status.READY, 0)),
                    List.of(entry("s-1", Status.READY, 0), entry("s-1", Status.DRAINING, 0)),
                    List.of(entry("s-1", Status.DRAINING, 7), entry("s-1", Status.READY, 5)))) {
                List<Balancer.Upstream> applied = directory.apply(new NodeListUpdate(1, whole, twice), NOW_MS);
                assertEquals(1, applied.size());
                assertEquals(Status.DRAINING, applied.get(0).status(), twice.toString());
                assertFalse(directory.node(applied.get(0).id()).ready);
            }
            for (List<NodeListUpdate.Entry> twice : List.of(
                    List.of(entry("s-1", Status.GONE, 0), entry("s-1", Status.READY, 9)),
                    List.of(entry("s-1", Status.READY, 9), entry("s-1", Status.GONE, 0)))) {
                List<Balancer.Upstream> applied = directory.apply(new NodeListUpdate(2, whole, twice), NOW_MS);
                assertEquals(Status.READY, applied.get(0).status(), twice.toString());
                assertTrue(directory.node(applied.get(0).id()).ready, "the decision module and the directory agree");
            }
            List<Balancer.Upstream> gone = directory.apply(
                    new NodeListUpdate(3, whole, List.of(entry("s-1", Status.GONE, 9), entry("s-1", Status.READY, 9))),
                    NOW_MS);
            assertEquals(Status.GONE, gone.get(0).status());
            assertNull(directory.node(gone.get(0).id()));
        }
    }

    /** A request written to a process that has ended fails with a reset, after which it may have run. */
    @Test
    void connectionsToThePreviousProcessAreRetiredWhenANodeRestartsUnderItsNameAndAddress() {
        directory.apply(new NodeListUpdate(1, true, List.of(entry("s-1", Status.READY, 5))), NOW_MS);
        retired.clear();
        directory.apply(new NodeListUpdate(2, false, List.of(entry("s-1", Status.READY, 5))), NOW_MS);
        assertTrue(retired.isEmpty(), "the process is the same");
        directory.apply(new NodeListUpdate(3, false, List.of(entry("s-1", Status.READY, 9))), NOW_MS);
        assertEquals(1, retired.size());
    }

    private void tell(boolean whole, NodeListUpdate.Entry... entries) {
        directory.apply(new NodeListUpdate(1, whole, List.of(entries)), NOW_MS);
    }

    private boolean isReady(String host) {
        return directory.node(directory.number(host)).ready;
    }

    // Guards against a new process that is taken for the one which had its address, where the list tells of it first.
    @Test
    void aNodeWhoseAddressHasALaterProcessGetsNothing() {
        tell(true, entry("old", Status.READY, 0));
        Node old = directory.node(directory.number("old"));
        tell(false, entry("new", Status.READY, 5000));
        assertFalse(old.ready);
        assertTrue(isReady("new"));
        assertTrue(retired.contains(old), "its connections are not used any more");
        tell(false, entry("old", Status.GONE, 0));
        assertTrue(isReady("new"));
    }

    // Guards against the same where both are told at once, in either order.
    @Test
    void theOrderWithinAListDoesNotMatter() {
        tell(true, entry("new", Status.READY, 5000), entry("old", Status.READY, 0));
        assertFalse(isReady("old"));
        tell(true, entry("old", Status.READY, 0), entry("new", Status.READY, 5000));
        assertFalse(isReady("old"));
        assertTrue(isReady("new"));
    }

    // Guards against a node that stays out of service after the process that had its address has gone.
    @Test
    void aNodeIsUsedAgainWhenItsAddressIsItsOwn() {
        tell(true, entry("old", Status.READY, 0), entry("new", Status.READY, 5000));
        tell(false, entry("new", Status.GONE, 5000));
        assertTrue(isReady("old"));
    }

    // Guards against nodes that share an address from the start on, as behind a proxy, and lose each other.
    @Test
    void nodesThatStartedTogetherShareAnAddress() {
        tell(true, entry("one", Status.READY, 0), entry("other", Status.READY, 0));
        assertTrue(isReady("one"));
        assertTrue(isReady("other"));
    }
}
