package ivybank.queue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Numbered queues of waiting items, two for each request class: one for clients' first tries and one for their retries. The
 * queues are ranked by values that the caller sets. They are not bounded; the caller limits how long an item waits.
 *
 * @param <T> the type of the waiting items
 */
public final class RankedQueues<T> {

    private static final int RETRY_QUEUE = 1;
    private static final int QUEUES_PER_CLASS = 2;

    private final List<ArrayDeque<T>> queues = new ArrayList<>();
    private final Integer[] order;
    private final double[] values;
    private int size;

    /** Creates empty queues for this number of request classes. */
    public RankedQueues(int classes) {
        values = new double[classes * QUEUES_PER_CLASS];
        order = new Integer[values.length];
        for (int i = 0; i < values.length; i++) {
            queues.add(new ArrayDeque<>());
            order[i] = i;
        }
    }

    /** Returns the numbers of the queues, highest rank first. */
    public List<Integer> order() {
        return List.of(order);
    }

    /** Returns the number of queues. */
    public int count() {
        return values.length;
    }

    /** Returns whether no item is waiting. */
    public boolean isEmpty() {
        return size == 0;
    }

    /** Returns the number of a class's queue of first tries or of retries. */
    public int queue(int requestClass, boolean retry) {
        return requestClass * QUEUES_PER_CLASS + (retry ? RETRY_QUEUE : 0);
    }

    /** Sets the value of a request of this class, and the fraction of it that a retry has. */
    public void setValue(int requestClass, double value, double retryFraction) {
        for (int i = 0; i < QUEUES_PER_CLASS; i++) {
            values[requestClass * QUEUES_PER_CLASS + i] = value * ((i & RETRY_QUEUE) == 0 ? 1 : retryFraction);
        }
    }

    /** Orders the queues by descending value; equal ones keep their order. */
    public void rank() {
        Arrays.sort(order, Comparator.comparingDouble(queue -> -values[queue]));
    }

    /** Appends an item to a queue as its newest. */
    public void add(int queue, T item) {
        queues.get(queue).addLast(item);
        size++;
    }

    /** Removes an item if it is in this queue. */
    public void remove(int queue, T item) {
        if (queues.get(queue).remove(item)) {
            size--;
        }
    }

    /** Offers items by rank, the newest of a queue first, and removes those accepted; stops at the first that is not. */
    public void offer(Predicate<T> accepts) {
        for (int i = 0; i < order.length && size > 0; i++) {
            ArrayDeque<T> items = queues.get(order[i]);
            while (!items.isEmpty()) {
                if (!accepts.test(items.peekLast())) {
                    return;
                }
                items.removeLast();
                size--;
            }
        }
    }

    /** Removes the items that match the condition. */
    public void removeIf(Predicate<T> condition) {
        for (ArrayDeque<T> items : queues) {
            int before = items.size();
            items.removeIf(condition);
            size -= before - items.size();
        }
    }
}
