package ivybank.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * The updates that are to be spread: each is sent a bounded number of times, those sent least often first, and the
 * latest first among equals. Holds at most one announcement and one accusation by each accuser for a member.
 */
final class GossipQueue {

    private static final int MAX_ENTRIES = 4096;
    /** Updates too large for what is left of a datagram after which no smaller one is looked for. */
    private static final int MAX_MISFITS = 2;
    /** Bits of a key that hold the accuser, raised by one. */
    private static final int ACCUSER_BITS = 20;

    private static final class QueuedUpdate {
        private final long key;
        private final MembershipUpdate update;
        private final long sequence;
        private int transmissions;
        private boolean removed;

        private QueuedUpdate(long key, MembershipUpdate update, long sequence) {
            this.key = key;
            this.update = update;
            this.sequence = sequence;
        }
    }

    private final Map<Long, QueuedUpdate> byKey = new HashMap<>();
    private final PriorityQueue<QueuedUpdate> queue =
            new PriorityQueue<>(Comparator.<QueuedUpdate>comparingInt(each -> each.transmissions)
                    .thenComparing(Comparator.<QueuedUpdate>comparingLong(each -> each.sequence)
                            .reversed()));
    private long nextSequence;

    private static long key(int memberIndex, int accuser) {
        return (long) memberIndex << ACCUSER_BITS | accuser + 1;
    }

    /**
     * Adds an update, in place of an older one of the same member and accuser. Dropped where the queue is full:
     * comparing views finds it again.
     */
    void add(MembershipUpdate update) {
        long key = key(update.memberIndex(), update.accuser());
        QueuedUpdate previous = byKey.get(key);
        if (previous != null) {
            if (previous.update.equals(update)) {
                return;
            }
            previous.removed = true;
        } else if (byKey.size() >= MAX_ENTRIES) {
            return;
        }
        QueuedUpdate queued = new QueuedUpdate(key, update, nextSequence++);
        byKey.put(key, queued);
        queue.add(queued);
    }

    /** Removes the accusations of a member by these accusers. */
    void removeAccusations(int memberIndex, List<Integer> accusers) {
        for (int accuser : accusers) {
            QueuedUpdate queued = byKey.remove(key(memberIndex, accuser));
            if (queued != null) {
                queued.removed = true;
            }
        }
    }

    /** Removes all but suspicions: what the digests of the views cover, once those are equal. */
    void retainSuspicions() {
        byKey.values().removeIf(queued -> queued.removed |= queued.update.kind() != MembershipUpdate.Kind.SUSPECT);
    }

    /**
     * Takes updates for one datagram.
     *
     * @param maxTransmissions after which an update leaves the queue
     * @param into gets the updates; those it holds already are not taken again
     */
    void take(int availableBytes, int maxTransmissions, List<MembershipUpdate> into) {
        List<QueuedUpdate> kept = new ArrayList<>();
        int bytesLeft = availableBytes;
        int misfits = 0;
        while (!queue.isEmpty() && misfits < MAX_MISFITS) {
            QueuedUpdate next = queue.poll();
            if (next.removed) {
                continue;
            }
            if (into.contains(next.update)) {
                kept.add(next);
                continue;
            }
            int bytes = MessageCodec.encodedSize(next.update);
            if (bytes > bytesLeft) {
                kept.add(next);
                misfits++;
                continue;
            }
            bytesLeft -= bytes;
            into.add(next.update);
            next.transmissions++;
            if (next.transmissions >= maxTransmissions) {
                byKey.remove(next.key);
            } else {
                kept.add(next);
            }
        }
        queue.addAll(kept);
    }

    boolean isEmpty() {
        return byKey.isEmpty();
    }
}
