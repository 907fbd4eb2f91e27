package ivybank.promises;

import ivybank.promises.SettledIdentities.Settled;
import java.util.HashMap;
import java.util.Map;

/**
 * The state of each request that must not run twice, by its identity. The table has a bounded size and does no input
 * or output: its caller reports events with their time in ms, on one thread, and carries out the decisions.
 */
public final class PromiseTable {

    /** How to handle a request of an identity. */
    public enum Decision {
        /** The identity is unknown; the request is accepted. */
        NEW,
        /** The same request is pending; the new one shares its answer. */
        JOIN,
        /** The recorded answer is returned. */
        STORED,
        /** The request may have run; it fails, and is neither sent nor refused, since a refusal allows a retry. */
        IN_DOUBT,
        /** All identities that fit into the table belong to pending requests. */
        AT_CAPACITY
    }

    /** Statistics for operators. Counts begin at the start of the process. */
    public record Statistics(
            int pending,
            int acked,
            int inDoubt,
            long stored,
            long joined,
            long failedInDoubt,
            long forgottenByAge,
            long forgottenBySize,
            long forgottenInDoubt) {}

    /** Receives each identity that is forgotten, so that its record can be deleted. */
    public interface ForgetListener {
        /** Receives a forgotten identity and its last state. */
        void onForgotten(String identity, PromiseState was);
    }

    /** The most that an identity takes in this table in the mean, in bytes; with longer ones there are fewer. */
    public static final int MAX_BYTES_PER_IDENTITY = 112;

    private static final int MAX_ENTRY_BYTES_PER_IDENTITY = MAX_BYTES_PER_IDENTITY - SettledIdentities.MAX_SLOT_BYTES;
    private static final int MIN_CHUNKS = 2;

    private final double keepMs;
    private final int maxIdentities;
    private final ForgetListener listener;
    private final Map<String, PromiseState> pending = new HashMap<>();
    private final SettledIdentities settled = new SettledIdentities(System.identityHashCode(this));
    private final long maxEntryBytes;
    private double lastMs;
    private int inDoubtCount;
    private long stored;
    private long joined;
    private long failedInDoubt;
    private long forgottenByAge;
    private long forgottenBySize;
    private long forgottenInDoubt;

    /**
     * Creates an empty table.
     *
     * @param keepMs how long an identity is remembered after its request has ended
     * @param maxIdentities maximum number of identities, including those of pending requests
     * @param listener receives forgotten identities
     */
    public PromiseTable(double keepMs, int maxIdentities, ForgetListener listener) {
        this.keepMs = keepMs;
        this.maxIdentities = maxIdentities;
        this.maxEntryBytes = Math.max(
                (long) MIN_CHUNKS * SettledIdentities.CHUNK_BYTES, (long) maxIdentities * MAX_ENTRY_BYTES_PER_IDENTITY);
        this.listener = listener;
    }

    /** Returns a time that never decreases, so that no identity is kept for ever after the clock is set back. */
    private double monotonicNow(double nowMs) {
        lastMs = Math.max(lastMs, nowMs);
        return lastMs;
    }

    /** Adds an identity that an earlier process recorded. A request that was pending then is in doubt. */
    public void recovered(String identity, PromiseState state, double sinceMs, double nowMs) {
        // A time in the future was written before the clock was set back.
        settle(
                identity,
                state == PromiseState.ACKED ? PromiseState.ACKED : PromiseState.IN_DOUBT,
                Math.min(sinceMs, monotonicNow(nowMs)));
    }

    /**
     * Forgets identities that are too old or exceed the maximum number. After a start it is called once, when all
     * identities have been recovered in the order of their times.
     */
    public void trim(double nowMs) {
        double now = monotonicNow(nowMs);
        for (Settled oldest = settled.oldest(); oldest != null; oldest = settled.oldest()) {
            boolean expired = now - oldest.sinceMs() > keepMs;
            if (!expired && !isOverfull()) {
                return;
            }
            settled.remove(oldest.identity());
            forgottenByAge += expired ? 1 : 0;
            forgottenBySize += expired ? 0 : 1;
            if (oldest.state() == PromiseState.IN_DOUBT) {
                inDoubtCount--;
                forgottenInDoubt++;
            }
            listener.onForgotten(oldest.identity(), oldest.state());
        }
    }

    private boolean isOverfull() {
        return settled.size() + pending.size() > maxIdentities || settled.bytes() > maxEntryBytes;
    }

    /** Forgets all ended requests without their records, which belong to another process now. */
    public void clear() {
        settled.clear();
        inDoubtCount = 0;
    }

    /** Returns how to handle an incoming request. */
    public Decision admit(String identity, double nowMs) {
        trim(nowMs);
        Settled found = settled.get(identity);
        if (found != null) {
            stored += found.state() == PromiseState.ACKED ? 1 : 0;
            failedInDoubt += found.state() == PromiseState.ACKED ? 0 : 1;
            return found.state() == PromiseState.ACKED ? Decision.STORED : Decision.IN_DOUBT;
        }
        if (pending.containsKey(identity)) {
            joined++;
            return Decision.JOIN;
        }
        if (pending.size() >= maxIdentities) {
            return Decision.AT_CAPACITY;
        }
        pending.put(identity, PromiseState.TAKEN);
        trim(nowMs);
        return Decision.NEW;
    }

    /** Marks a recorded request as sent to a node. */
    public void sent(String identity) {
        pending.replace(identity, PromiseState.SENT);
    }

    /** Returns whether a pending request may have run because it was sent to a node. */
    public boolean mayHaveRun(String identity) {
        return pending.get(identity) == PromiseState.SENT;
    }

    /** Marks a request as completed, with its answer recorded. */
    public void acknowledged(String identity, double nowMs) {
        pending.remove(identity);
        settle(identity, PromiseState.ACKED, monotonicNow(nowMs));
    }

    /** Ends a request without an answer of a node. {@code proved}: every attempt has proved that it did not run. */
    public void ended(String identity, boolean proved, double nowMs) {
        PromiseState was = pending.remove(identity);
        if (was == PromiseState.SENT && !proved) {
            settle(identity, PromiseState.IN_DOUBT, monotonicNow(nowMs));
        } else if (was != null) {
            listener.onForgotten(identity, PromiseState.TAKEN);
        }
    }

    private void settle(String identity, PromiseState state, double sinceMs) {
        Settled previous = settled.remove(identity);
        inDoubtCount -= previous != null && previous.state() == PromiseState.IN_DOUBT ? 1 : 0;
        inDoubtCount += state == PromiseState.IN_DOUBT ? 1 : 0;
        settled.add(identity, state, sinceMs);
    }

    /** Returns the current statistics. */
    public Statistics statistics() {
        return new Statistics(
                pending.size(),
                settled.size() - inDoubtCount,
                inDoubtCount,
                stored,
                joined,
                failedInDoubt,
                forgottenByAge,
                forgottenBySize,
                forgottenInDoubt);
    }
}
