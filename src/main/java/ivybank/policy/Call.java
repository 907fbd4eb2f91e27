package ivybank.policy;

import java.util.ArrayList;
import java.util.List;

/** What {@link LoadShiftingBalancer} remembers of one request in hand. */
final class Call {

    final int id;
    final ClassStatistics statistics;
    /** The queue in which it waits when all is full. */
    final int queue;
    /** Whether the client has tried before. */
    final boolean clientRetry;

    double usefulUntilMs;
    /** Whether its last byte is still to come. */
    boolean arriving;

    final List<Attempt> attempts = new ArrayList<>(2);
    /** The servers asked what they hold, in the order in which they were drawn, and when. */
    final List<Host> probedHosts = new ArrayList<>(0);

    double probedAtMs;
    /** Since when it waits for room; far off until it does. */
    double waitingSinceMs = Double.MAX_VALUE;

    int attemptsInFlight;
    boolean completed;
    /** Whether it had its one chance to go to a cold server. */
    boolean coldDrawMade;

    boolean streaming;

    Call(int id, ClassStatistics statistics, int queue, boolean clientRetry, double usefulUntilMs) {
        this.id = id;
        this.statistics = statistics;
        this.queue = queue;
        this.clientRetry = clientRetry;
        this.usefulUntilMs = usefulUntilMs;
    }

    /** The attempt of this number, or null if there is none. */
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

    /** A keyed request that may have run goes only to the group that drops its repeats, within the window. */
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
            // The window counts from the first attempt, also where a later one was sent while that was out and
            // it then proved not to have run.
            if (attempt.mayHaveRun() && (!sameGroup || nowMs - attempts.get(0).sentMs >= spec.windowMs())) {
                return false;
            }
        }
        return true;
    }

    /** A refusal says that coming again is harmless. */
    boolean mayBeRefused() {
        return switch (statistics.spec.effect()) {
            case SAFE -> true;
            case KEYED -> statistics.spec.group() == Balancer.Group.ALL || provenNotRun();
            case UNSAFE -> provenNotRun();
        };
    }
}
