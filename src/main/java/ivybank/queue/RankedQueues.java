package ivybank.queue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Items that wait in numbered queues, two for each class of requests: one for first tries, one for repeats. The queues are
 * ranked by values that the caller sets. Not bounded here: the caller decides how long an item waits.
 *
 * @param <T> what waits
 */
public final class RankedQueues<T> {

    private static final int REPEAT = 1;
    private static final int QUEUES_OF_CLASS = 2;

    private final List<ArrayDeque<T>> queues = new ArrayList<>();
    private final Integer[] order;
    private final double[] values;
    private int size;

    /** Empty queues for so many classes of requests. */
    public RankedQueues(int classes) {
        values = new double[classes * QUEUES_OF_CLASS];
        order = new Integer[values.length];
        for (int i = 0; i < values.length; i++) {
            queues.add(new ArrayDeque<>());
            order[i] = i;
        }
    }

    /** The numbers of the queues, that of the highest rank first. */
    public List<Integer> order() {
        return List.of(order);
    }

    /** How many queues there are. */
    public int count() {
        return values.length;
    }

    /** Whether nothing waits. */
    public boolean isEmpty() {
        return size == 0;
    }

    /** The number of the queue of first tries, or of repeats, of a class. */
    public int queue(int requestClass, boolean repeat) {
        return requestClass * QUEUES_OF_CLASS + (repeat ? REPEAT : 0);
    }

    /** Sets what a request of this class is worth, and which part of that is left of a repeat. */
    public void setValue(int requestClass, double value, double repeatPart) {
        for (int i = 0; i < QUEUES_OF_CLASS; i++) {
            values[requestClass * QUEUES_OF_CLASS + i] = value * ((i & REPEAT) == 0 ? 1 : repeatPart);
        }
    }

    /** Puts the queues of the highest value first; equal ones keep their order. */
    public void rank() {
        Arrays.sort(order, Comparator.comparingDouble(queue -> -values[queue]));
    }

    /** Adds an item as the newest of a queue. */
    public void add(int queue, T item) {
        queues.get(queue).addLast(item);
        size++;
    }

    /** Removes an item, if it waits in this queue. */
    public void remove(int queue, T item) {
        if (queues.get(queue).remove(item)) {
            size--;
        }
    }

    /** Offers items by rank, the newest of a queue first, for as long as they are taken. */
    public void offer(Predicate<T> taken) {
        for (int i = 0; i < order.length && size > 0; i++) {
            ArrayDeque<T> items = queues.get(order[i]);
            while (!items.isEmpty()) {
                if (!taken.test(items.peekLast())) {
                    return;
                }
                items.removeLast();
                size--;
            }
        }
    }

    /** Removes the items that are hopeless. */
    public void drop(Predicate<T> hopeless) {
        for (ArrayDeque<T> items : queues) {
            int before = items.size();
            items.removeIf(hopeless);
            size -= before - items.size();
        }
    }
}
