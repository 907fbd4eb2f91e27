package ivybank.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** What is to be passed on: each word a bounded number of times, those told least first. */
final class Rumours {

    private static final int MOST = 4096;

    private static final class Rumour {
        private final long key;
        private final Word word;
        private final long number;
        private int told;
        private boolean stale;

        private Rumour(long key, Word word, long number) {
            this.key = key;
            this.word = word;
            this.number = number;
        }
    }

    private final Map<Long, Rumour> byKey = new HashMap<>();
    private final PriorityQueue<Rumour> queue = new PriorityQueue<>(Comparator.<Rumour>comparingInt(each -> each.told)
            .thenComparing(Comparator.<Rumour>comparingLong(each -> each.number).reversed()));
    private long numbers;

    private static long key(Word word) {
        return (long) word.seat() << 20 | word.accuser() + 1;
    }

    /** Begins to tell a word, in place of an older one of the same kind. */
    void tell(Word word) {
        Rumour before = byKey.get(key(word));
        if (before != null) {
            if (before.word.equals(word)) {
                return;
            }
            before.stale = true;
        } else if (byKey.size() >= MOST) {
            return; // what is lost here is found again by comparing views
        }
        Rumour rumour = new Rumour(key(word), word, numbers++);
        byKey.put(rumour.key, rumour);
        queue.add(rumour);
    }

    /** Stops telling accusations of a member. */
    void acquit(int seat, List<Integer> accusers) {
        for (int accuser : accusers) {
            Rumour rumour = byKey.remove((long) seat << 20 | accuser + 1);
            if (rumour != null) {
                rumour.stale = true;
            }
        }
    }

    /** Stops telling all that others know who hold the same view: doubts alone are left. */
    void known() {
        byKey.values().removeIf(rumour -> rumour.stale |= rumour.word.kind() != Word.Kind.SUSPECT);
    }

    /** Takes words for one datagram into {@code into}, as far as there is room; each may be told {@code most} times. */
    void take(int room, int most, List<Word> into) {
        List<Rumour> again = new ArrayList<>();
        int left = room;
        int misses = 0;
        while (!queue.isEmpty() && misses < 2) {
            Rumour next = queue.poll();
            if (next.stale) {
                continue;
            }
            if (into.contains(next.word)) {
                again.add(next);
                continue;
            }
            int size = MessageCodec.size(next.word);
            if (size > left) {
                again.add(next);
                misses++;
                continue;
            }
            left -= size;
            into.add(next.word);
            next.told++;
            if (next.told >= most) {
                byKey.remove(next.key);
            } else {
                again.add(next);
            }
        }
        queue.addAll(again);
    }

    boolean isEmpty() {
        return byKey.isEmpty();
    }
}
