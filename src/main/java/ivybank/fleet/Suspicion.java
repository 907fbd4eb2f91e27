package ivybank.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * The suspicion of one member in one incarnation and version. As in Lifeguard, its time falls with each independent
 * accuser, by the logarithm.
 */
final class Suspicion {

    private static final int MAX_ACCUSERS = 8;
    /** Accusers beside the first with whom the time is at its least. */
    private static final int ENOUGH_CONFIRMATIONS = 3;

    final int version;
    /** Whether others say that the member has left by its own word. */
    boolean left;

    private double sinceMs;
    private boolean shortened;
    private final List<Integer> accusers = new ArrayList<>();

    Suspicion(int version, double sinceMs) {
        this.version = version;
        this.sinceMs = sinceMs;
    }

    /** Adds an accuser; false if it is known already, or too many are. */
    boolean addAccuser(int accuser) {
        if (accusers.contains(accuser) || accusers.size() >= MAX_ACCUSERS) {
            return false;
        }
        accusers.add(accuser);
        return true;
    }

    /** Indexes of the accusers, the first one first. */
    List<Integer> accusers() {
        return List.copyOf(accusers);
    }

    /** Cuts the time down to its least: others have declared the member dead. */
    void shorten() {
        shortened = true;
    }

    boolean isShortened() {
        return shortened;
    }

    /** Whether an announcement of the suspected incarnation clears the member. */
    boolean isRefutedBy(MembershipUpdate announcement) {
        return !shortened && announcement.version() > version;
    }

    /** Adds time. */
    void extend(double byMs) {
        sinceMs += byMs;
    }

    /**
     * When the member is to be declared dead.
     *
     * @param others number of the other live members, each of which could accuse it
     */
    double deadlineMs(FleetTiming timing, int others) {
        int wantedConfirmations = Math.min(ENOUGH_CONFIRMATIONS, others - 1);
        if (shortened || wantedConfirmations < 1) {
            return sinceMs + timing.minSuspicionMs();
        }
        double part = Math.min(1, Math.log(accusers.size()) / Math.log(wantedConfirmations + 1));
        return sinceMs + timing.maxSuspicionMs() - (timing.maxSuspicionMs() - timing.minSuspicionMs()) * part;
    }
}
