package ivybank.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RankedQueuesTest {

    private static final double RETRY_FRACTION = 0.1;

    private final RankedQueues<String> queues = new RankedQueues<>(2);
    private final List<String> offered = new ArrayList<>();

    @Test
    void offersTheHighestValueAndTheNewestItemFirst() {
        queues.add(queues.queue(0, false), "old");
        queues.add(queues.queue(0, false), "new");
        queues.add(queues.queue(1, true), "repeat");
        queues.add(queues.queue(1, false), "worthy");
        queues.setValue(0, 1, RETRY_FRACTION);
        queues.setValue(1, 5, RETRY_FRACTION);
        queues.rank();
        queues.offer(offered::add);
        assertEquals(List.of("worthy", "new", "old", "repeat"), offered);
        assertTrue(queues.isEmpty());
    }

    @Test
    void firstItemThatIsNotAcceptedStaysAndEndsTheOffer() {
        queues.add(0, "a");
        queues.add(0, "b");
        queues.offer(item -> {
            offered.add(item);
            return false;
        });
        assertEquals(List.of("b"), offered);
        assertFalse(queues.isEmpty());
    }

    @Test
    void removedItemsAreNotOffered() {
        queues.add(0, "a");
        queues.add(1, "b");
        queues.add(1, "c");
        queues.remove(1, "not there");
        queues.remove(0, "a");
        queues.removeIf("b"::equals);
        queues.offer(offered::add);
        assertEquals(List.of("c"), offered);
        assertTrue(queues.isEmpty());
    }
}
