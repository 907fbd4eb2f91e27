package ivybank.invariants;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of calls that must not run twice and may have run, for as long as they are retained. Bounded: beyond the maximum the oldest
 * is forgotten. Pure; used on one event loop.
 */
public final class CallHistory {

    private static final int MAX_CALLS = 4096;

    private final Map<String, Double> untilMs = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAX_CALLS;
        }
    };

    /** Remembers a call up to this time, in milliseconds. */
    public void add(String callId, double newUntilMs) {
        untilMs.remove(callId);
        untilMs.put(callId, newUntilMs);
    }

    /** Forgets a call: it is known not to have run. */
    public void remove(String callId) {
        untilMs.remove(callId);
    }

    /** Returns whether a call may have run, at this time in milliseconds. */
    public boolean contains(String callId, double nowMs) {
        Double end = untilMs.get(callId);
        if (end != null && end <= nowMs) {
            untilMs.remove(callId);
            return false;
        }
        return end != null;
    }

    /** Returns how many calls are remembered. */
    public int size() {
        return untilMs.size();
    }
}
