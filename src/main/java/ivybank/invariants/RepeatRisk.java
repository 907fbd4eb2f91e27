package ivybank.invariants;

import ivybank.policy.Balancer.Effect;
import ivybank.policy.Balancer.Group;
import ivybank.policy.Balancer.RequestClass;
import java.util.List;

/** What an attempt of a request means beside its others. */
public enum RepeatRisk {
    /** It is the first that can run, or a second run does no harm. */
    HARMLESS,
    /** One of a key that the nodes may have forgotten by now. */
    WINDOW_EXPIRED,
    /** One that must not run twice and may have run, or one of a key outside the nodes that know of it. */
    MAY_RUN_TWICE;

    /**
     * Another attempt of the request.
     *
     * @param mayHaveRun whether it is out, or has ended in a way that does not prove that it did not run
     * @param zone where it was sent
     * @param cell where it was sent
     * @param writtenMs when, in milliseconds; infinite where nothing of it was written
     */
    public record OtherAttempt(boolean mayHaveRun, String zone, int cell, double writtenMs) {}

    /**
     * Judges an attempt that would be written now to a node of this zone and cell.
     *
     * @param nowMs in milliseconds
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
            if (spec.effect() == Effect.UNSAFE || !isOneGroup(spec.group(), attempt, zone, cell)) {
                return MAY_RUN_TWICE;
            }
            firstMs = Math.min(firstMs, attempt.writtenMs);
        }
        return nowMs - firstMs >= spec.windowMs() ? WINDOW_EXPIRED : HARMLESS;
    }

    private static boolean isOneGroup(Group group, OtherAttempt attempt, String zone, int cell) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> attempt.zone.equals(zone);
            case CELL -> attempt.cell == cell;
        };
    }
}
