package ivybank.invariants;

import ivybank.policy.Balancer.Effect;
import ivybank.policy.Balancer.Group;
import ivybank.policy.Balancer.RequestClass;
import java.util.List;

/** The risk that an attempt repeats what other attempts of its request have done. */
public enum RepeatRisk {
    /** No other attempt can have run, or a second run is harmless. */
    HARMLESS,
    /** A keyed request whose key the nodes may have forgotten by now. */
    WINDOW_EXPIRED,
    /** A request that must not run twice and may have run, or a keyed one outside the group of nodes that know its key. */
    MAY_RUN_TWICE;

    /**
     * Another attempt of the request.
     *
     * @param mayHaveRun whether it is in flight, or ended in a way that does not prove that it did not run
     * @param zone the zone of its node
     * @param cell the cell of its node
     * @param writtenMs when it was written, in milliseconds; infinite if nothing of it was written
     */
    public record OtherAttempt(boolean mayHaveRun, String zone, int cell, double writtenMs) {}

    /**
     * Returns the risk of an attempt that would be written now to a node of this zone and cell.
     *
     * @param nowMs the current time in milliseconds
     */
    public static RepeatRisk of(RequestClass spec, List<OtherAttempt> others, String zone, int cell, double nowMs) {
        if (spec.effect() == Effect.SAFE) {
            return HARMLESS;
        }
        double firstMs = Double.POSITIVE_INFINITY;
        for (OtherAttempt attempt : others) {
            if (!attempt.mayHaveRun) {
                continue;
            }
            if (spec.effect() == Effect.UNSAFE || !isSameGroup(spec.group(), attempt, zone, cell)) {
                return MAY_RUN_TWICE;
            }
            firstMs = Math.min(firstMs, attempt.writtenMs);
        }
        return nowMs - firstMs >= spec.windowMs() ? WINDOW_EXPIRED : HARMLESS;
    }

    private static boolean isSameGroup(Group group, OtherAttempt attempt, String zone, int cell) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> attempt.zone.equals(zone);
            case CELL -> attempt.cell == cell;
        };
    }
}
