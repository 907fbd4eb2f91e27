package ivybank.fleet;

/**
 * The bounds of a view, in ms; docs/design/fleet-view.md says where they come from.
 *
 * @param tickMs how often {@link FleetView#tick} is to be called
 * @param probePeriodMs between probes
 * @param ackTimeoutMs after which a probe without an answer is repeated, and as long after that goes on by way of others; all of it
 *        ends with the period
 * @param minSuspicionMs from a suspicion to giving up where several accuse independently; no shorter pause costs a life
 * @param maxSuspicionMs the same with one accuser alone
 * @param discoveryMs between looks at a seat that nobody is known to have
 * @param syncMs between requests for what differs
 * @param forgetMs after which who is gone is no longer listed
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

    public static final FleetTiming STANDARD = new FleetTiming(50, 600, 150, 1200, 4000, 1500, 400, 600_000, 120_000);
}
