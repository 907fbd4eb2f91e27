package ivybank.fleet;

import java.util.ArrayList;
import java.util.List;

/** Compares views by their digests and asks for the differences where gossip alone does not settle them. */
final class AntiEntropy {

    /** Equal digests of peers in a row after which the fleet counts as converged. */
    private static final int MATCHES_UNTIL_CONVERGED = 3;
    /** Time without a change after which the fleet may count as converged. */
    private static final double CONVERGED_AFTER_MS = 2000;
    /** Differing digests in a row after which the differences are asked for. */
    private static final int MISMATCHES_UNTIL_SYNC = 2;

    private static final int MAX_SYNC_DATAGRAMS = 12;
    private static final double MAX_SYNC_INTERVAL_MS = 8000;

    private final ViewState view;
    private final MessageSender sender;
    private final TokenBucket rate;
    private int matches;
    private int mismatches;
    private double lastMismatchMs;
    private double nextSyncMs;
    private double syncIntervalMs;

    /** @param rate of gossip, which requests for differences share */
    AntiEntropy(ViewState view, MessageSender sender, TokenBucket rate) {
        this.view = view;
        this.sender = sender;
        this.rate = rate;
        syncIntervalMs = view.timing.syncMs();
    }

    void start(double nowMs) {
        lastMismatchMs = nowMs;
    }

    /** When a peer's digest last differed from this view's. */
    double lastMismatchMs() {
        return lastMismatchMs;
    }

    /** Compares a peer's digest with that of this view. */
    void compare(double nowMs, int from, int shortDigest) {
        if (shortDigest == view.members.digest().shortValue()) {
            matched(nowMs);
        } else {
            mismatched(nowMs, from);
        }
    }

    private void matched(double nowMs) {
        mismatches = 0;
        if (++matches >= MATCHES_UNTIL_CONVERGED && nowMs - view.members.lastChangeMs() > CONVERGED_AFTER_MS) {
            view.gossip.retainSuspicions(); // all that the digest covers is known
        }
        syncIntervalMs = view.timing.syncMs();
    }

    private void mismatched(double nowMs, int from) {
        lastMismatchMs = nowMs;
        matches = 0;
        mismatches++;
        if (mismatches >= MISMATCHES_UNTIL_SYNC && nowMs >= nextSyncMs && rate.tryTake(nowMs)) {
            // Requests that change nothing become rarer.
            syncIntervalMs = view.members.lastChangeMs() > nextSyncMs - syncIntervalMs
                    ? view.timing.syncMs()
                    : Math.min(MAX_SYNC_INTERVAL_MS, 2 * syncIntervalMs);
            nextSyncMs = nowMs + Jitter.apply(syncIntervalMs, view.random);
            sender.sendSyncRequest(from, view.members.digest().shortSums());
        }
    }

    /** Sends a peer the members that differ from its sums, in a bounded number of datagrams. */
    void sendDifferences(int to, int[] shortSums) {
        List<MembershipUpdate> updates = differences(to, shortSums);
        int next = 0;
        for (int page = 0; page < MAX_SYNC_DATAGRAMS && next < updates.size(); page++) {
            List<MembershipUpdate> some = new ArrayList<>();
            int availableBytes = MessageCodec.availableBytes(view.self().announcement(), false);
            while (next < updates.size() && MessageCodec.encodedSize(updates.get(next)) <= availableBytes) {
                availableBytes -= MessageCodec.encodedSize(updates.get(next));
                some.add(updates.get(next++));
            }
            sender.sendUpdates(to, some);
        }
    }

    /** Begins at a random member, so that repeated requests get at all of them. */
    private List<MembershipUpdate> differences(int to, int[] shortSums) {
        List<MembershipUpdate> updates = new ArrayList<>();
        int size = view.members.size();
        int start = view.random.nextInt(size);
        for (int i = 0; i < size; i++) {
            Member member = view.members.get((start + i) % size);
            if (member.index == to
                    || member == view.self()
                    || !view.members.digest().differs(member, shortSums)) {
                continue;
            }
            if (member.isAlive()) {
                updates.add(member.announcement());
            } else if (member.deadIncarnation > 0 && !member.name.isEmpty()) {
                updates.add(member.deathDeclaration(view.self().index));
            }
        }
        return updates;
    }
}
