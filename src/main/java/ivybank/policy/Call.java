package ivybank.policy;

import java.util.ArrayList;
import java.util.List;

/** The state that {@link LoadShiftingBalancer} keeps of one open request. */
final class Call {

    final int id;
    final ClassStatistics statistics;
    /** The number of the queue in which the request waits while all members are full. */
    final int queue;
    /** Whether the client has sent this request before. */
    final boolean clientRetry;

    double usefulUntilMs;
    /** Whether the last byte of the request has not been received yet. */
    boolean arriving;

    final List<Attempt> attempts = new ArrayList<>(2);
    /** The candidate nodes that were probed for their load, in the order in which they were drawn. */
    final List<Host> probedHosts = new ArrayList<>(0);

    double probedAtMs;
    /** The time since when the request waits in its queue; {@link Double#MAX_VALUE} before that. */
    double waitingSinceMs = Double.MAX_VALUE;

    int attemptsInFlight;
    boolean completed;
    /** Whether the one draw that may send the request to a cold node was made. */
    boolean coldDrawMade;

    boolean streaming;

    Call(int id, ClassStatistics statistics, int queue, boolean clientRetry, double usefulUntilMs) {
        this.id = id;
        this.statistics = statistics;
        this.queue = queue;
        this.clientRetry = clientRetry;
        this.usefulUntilMs = usefulUntilMs;
    }

    /** Returns the attempt of this number, or null if there is none. */
    Attempt attempt(int number) {
        return number >= 0 && number < attempts.size() ? attempts.get(number) : null;
    }

    boolean tried(Host host) {
        for (Attempt attempt : attempts) {
            if (attempt.host == host) {
                return true;
            }
        }
        return false;
    }

    boolean provenNotRun() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveRun()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether an attempt may be sent to this node. A keyed request that may have run is sent again only within the group
     * that drops its repeats, and only within the window of time in which it does.
     */
    boolean mayBeSentTo(Host host, double nowMs) {
        Balancer.RequestClass spec = statistics.spec;
        if (spec.effect() != Balancer.Effect.KEYED) {
            return true;
        }
        for (Attempt attempt : attempts) {
            boolean sameGroup = switch (spec.group()) {
                case ALL -> true;
                case ZONE -> attempt.sentTo.zone() == host.listed.zone();
                case CELL -> attempt.sentTo.cell() == host.listed.cell();
            };
            // The window starts at the first attempt, even if another was sent
            // meanwhile and the first then proved not to have run.
            if (attempt.mayHaveRun() && (!sameGroup || nowMs - attempts.get(0).sentMs >= spec.windowMs())) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether the request may be refused; a refusal tells the client that a retry is safe. */
    boolean mayBeRefused() {
        return switch (statistics.spec.effect()) {
            case SAFE -> true;
            case KEYED -> statistics.spec.group() == Balancer.Group.ALL || provenNotRun();
            case UNSAFE -> provenNotRun();
        };
    }
}
