package ivybank.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** What is to be passed on: each word a bounded number of times, those told least first. */
final class GossipQueue {

    private static final int MAX_ENTRIES = 4096;

    private static final class QueuedUpdate {
        private final long key;
        private final MembershipUpdate update;
        private final long number;
        private int told;
        private boolean stale;

        private QueuedUpdate(long key, MembershipUpdate update, long number) {
            this.key = key;
            this.update = update;
            this.number = number;
        }
    }

    private final Map<Long, QueuedUpdate> byKey = new HashMap<>();
    private final PriorityQueue<QueuedUpdate> queue =
            new PriorityQueue<>(Comparator.<QueuedUpdate>comparingInt(each -> each.told)
                    .thenComparing(Comparator.<QueuedUpdate>comparingLong(each -> each.number)
                            .reversed()));
    private long numbers;

    private static long key(MembershipUpdate update) {
        return (long) update.memberIndex() << 20 | update.accuser() + 1;
    }

    /** Begins to tell a word, in place of an older one of the same kind. */
    void notify(MembershipUpdate update) {
        QueuedUpdate before = byKey.get(key(update));
        if (before != null) {
            if (before.update.equals(update)) {
                return;
            }
            before.stale = true;
        } else if (byKey.size() >= MAX_ENTRIES) {
            return; // what is lost here is found again by comparing views
        }
        QueuedUpdate queued = new QueuedUpdate(key(update), update, numbers++);
        byKey.put(queued.key, queued);
        queue.add(queued);
    }

    /** Stops telling accusations of a member. */
    void clearWithCause(int memberIndex, List<Integer> accusers) {
        for (int accuser : accusers) {
            QueuedUpdate queued = byKey.remove((long) memberIndex << 20 | accuser + 1);
            if (queued != null) {
                queued.stale = true;
            }
        }
    }

    /** Stops telling all that others know who hold the same view: doubts alone are left. */
    void known() {
        byKey.values().removeIf(queued -> queued.stale |= queued.update.kind() != MembershipUpdate.Kind.SUSPECT);
    }

    /** Takes words for one datagram into {@code into}, as far as there is room; each may be told {@code most} times. */
    void take(int room, int most, List<MembershipUpdate> into) {
        List<QueuedUpdate> again = new ArrayList<>();
        int left = room;
        int misses = 0;
        while (!queue.isEmpty() && misses < 2) {
            QueuedUpdate next = queue.poll();
            if (next.stale) {
                continue;
            }
            if (into.contains(next.update)) {
                again.add(next);
                continue;
            }
            int size = MessageCodec.encodedSize(next.update);
            if (size > left) {
                again.add(next);
                misses++;
                continue;
            }
            left -= size;
            into.add(next.update);
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
