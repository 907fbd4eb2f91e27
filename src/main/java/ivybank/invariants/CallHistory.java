package ivybank.invariants;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of calls that must not run twice and may have run, for as long as they are retained. Bounded: beyond the maximum the oldest
 * is forgotten. Pure; used on one event loop.
 */
public final class CallHistory {

    private static final int MAX_CALLS = 4096;
    /** The owner of a call that no answer makes forgotten. */
    private static final int NO_OWNER = 0;

    /**
     * A call.
     *
     * @param owner the number of the request that was forwarded with its id
     * @param untilMs until when it is remembered, in milliseconds
     */
    private record Entry(int owner, double untilMs) {}

    private final Map<String, Entry> calls = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
            return size() > MAX_CALLS;
        }
    };

    /** Remembers a call up to this time, in milliseconds. */
    public void add(String callId, double untilMs) {
        add(callId, NO_OWNER, untilMs);
    }

    /** Remembers the call of the request with this number, which is not 0, up to this time, in milliseconds. */
    public void add(String callId, int owner, double untilMs) {
        calls.remove(callId);
        calls.put(callId, new Entry(owner, untilMs));
    }

    /** Forgets a call: it is known not to have run. */
    public void remove(String callId) {
        calls.remove(callId);
    }

    /** Returns whether the request with this number is the one by which a call is remembered. */
    public boolean isOwnedBy(String callId, int number) {
        Entry entry = calls.get(callId);
        return entry != null && entry.owner() != NO_OWNER && entry.owner() == number;
    }

    /** Returns whether a call may have run, at this time in milliseconds. */
    public boolean contains(String callId, double nowMs) {
        Entry entry = calls.get(callId);
        if (entry != null && entry.untilMs() <= nowMs) {
            calls.remove(callId);
            return false;
        }
        return entry != null;
    }

    /** Returns how many calls are remembered. */
    public int size() {
        return calls.size();
    }
}
