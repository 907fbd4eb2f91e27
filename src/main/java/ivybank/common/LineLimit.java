package ivybank.common;

import java.util.HashMap;
import java.util.Map;

/** Limits the log lines of each kind within a second, so that one frequent event does not suppress other lines. */
public final class LineLimit<K> {

    private static final int MAX_LINES_PER_SECOND = 3;
    private static final double SECOND_MS = 1000;

    private final Map<K, Integer> linesThisSecond = new HashMap<>();
    private double secondStartedMs = Double.NEGATIVE_INFINITY;

    /** Returns whether one more line of this kind may be logged now, and counts it. */
    public boolean allows(K kind, double nowMs) {
        if (nowMs - secondStartedMs >= SECOND_MS) {
            secondStartedMs = nowMs;
            linesThisSecond.clear();
        }
        return linesThisSecond.merge(kind, 1, Integer::sum) <= MAX_LINES_PER_SECOND;
    }
}
