package ivybank.fleet;

/**
 * The intervals and timeouts of a view, in ms; docs/design/fleet-view.md says where they come from.
 *
 * @param tickMs between two calls of {@link FleetView#tick}
 * @param probePeriodMs between the beginnings of two probes; a probe fails after as long
 * @param ackTimeoutMs after which a ping is repeated, and after twice of which relays are asked
 * @param minSuspicionMs from a suspicion to the declaration of death with several independent accusers
 * @param maxSuspicionMs the same with one accuser alone
 * @param discoveryMs between probes of addresses where nobody is known to be alive
 * @param syncMs between two requests for differences
 * @param forgetMs after which a dead member is no longer listed
 * @param holdMs for which a smaller number of sidecars must have been seen before it counts
 */
public record FleetTiming(
        double tickMs,
        double probePeriodMs,
        double ackTimeoutMs,
        double minSuspicionMs,
        double maxSuspicionMs,
        double discoveryMs,
        double syncMs,
        double forgetMs,
        double holdMs) {

    /** The timing of all fleets. */
    public static final FleetTiming STANDARD = new FleetTiming(50, 600, 150, 1200, 4000, 1500, 400, 600_000, 120_000);
}
