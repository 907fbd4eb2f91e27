package ivybank.fleet;

/**
 * How many sidecars there are, for what each does on account of the others' number. More than were configured are
 * believed at once. Fewer count only once that has been so for a while, for those who are out of hearing may still send
 * to the same nodes: a partition between sidecars must not make each side take the nodes for its own. It never falls
 * under the configured number: a joint restart would make each one the only one for a second, and what a small fleet
 * gains from knowing that it is small was measured and is less than nothing (docs/design/fleet-view.md).
 */
public final class FleetCount {

    private final int told;
    private final double holdMs;
    private int value;
    private double fewerSinceMs = Double.NaN;
    private int mostMeanwhile;

    /** {@code told}: the configured number; {@code holdMs}: for which fewer than before must have been seen. */
    public FleetCount(int told, double holdMs) {
        this.told = told;
        this.holdMs = holdMs;
        this.value = told;
    }

    /** So many live by the view now, this one among them. */
    public int seen(double nowMs, int living) {
        int now = Math.max(told, living);
        if (now >= value) {
            value = now;
            fewerSinceMs = Double.NaN;
        } else if (Double.isNaN(fewerSinceMs)) {
            fewerSinceMs = nowMs;
            mostMeanwhile = now;
        } else {
            mostMeanwhile = Math.max(mostMeanwhile, now);
            if (nowMs - fewerSinceMs >= holdMs) {
                value = mostMeanwhile;
                fewerSinceMs = Double.NaN;
            }
        }
        return value;
    }
}
