package ivybank.rehearsal.stand;

import java.util.HashMap;
import java.util.Map;

/** For how long each sidecar has been stopped by a signal. All times are in milliseconds of the run. Used on one event loop. */
final class StopTimes {

    private final Map<Integer, Double> finishedMs = new HashMap<>();
    private final Map<Integer, Double> sinceMs = new HashMap<>();

    /** Records that a sidecar is about to be stopped. */
    void stopping(int number, double nowMs) {
        sinceMs.putIfAbsent(number, nowMs);
    }

    /** Records that a sidecar has been continued. */
    void continued(int number, double nowMs) {
        Double stoppedMs = sinceMs.remove(number);
        if (stoppedMs != null) { // another stop of the same sidecar may have ended this one
            finishedMs.merge(number, nowMs - stoppedMs, Double::sum);
        }
    }

    /** Returns the time for which a sidecar has been stopped up to now. */
    double totalMs(int number, double nowMs) {
        double runningMs = sinceMs.containsKey(number) ? nowMs - sinceMs.get(number) : 0;
        return finishedMs.getOrDefault(number, 0.0) + runningMs;
    }
}
