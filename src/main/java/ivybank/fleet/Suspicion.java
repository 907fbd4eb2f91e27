package ivybank.fleet;

import java.util.ArrayList;
import java.util.List;

/** Doubt about one member in one life and turn. Its time falls with each independent accuser. */
final class Suspicion {

    private static final int MAX_ACCUSERS = 8;

    final int version;
    /** Whether it has said itself that it leaves, by word of others. */
    boolean left;

    private double sinceMs;
    private boolean isShortened;
    private final List<Integer> accusers = new ArrayList<>();

    Suspicion(int version, double sinceMs) {
        this.version = version;
        this.sinceMs = sinceMs;
    }

    /** Notes an accuser; false if it is known already. */
    boolean addAccuser(int memberIndex) {
        if (accusers.contains(memberIndex) || accusers.size() >= MAX_ACCUSERS) {
            return false;
        }
        accusers.add(memberIndex);
        return true;
    }

    List<Integer> accusers() {
        return List.copyOf(accusers);
    }

    /** Others have given it up already: the shortest time is left to it. */
    void shorten() {
        isShortened = true;
    }

    /** Whether others have given it up. */
    boolean isShortened() {
        return isShortened;
    }

    /** Time in which this process itself did not run does not count. */
    void shift(double byMs) {
        sinceMs += byMs;
    }

    /**
     * When it is to be given up.
     *
     * @param others members that could accuse it
     */
    double deadlineMs(FleetTiming timing, int others) {
        int wanted = Math.min(3, others - 1); // beside the first
        if (isShortened || wanted < 1) {
            return sinceMs + timing.minSuspicionMs();
        }
        double part = Math.min(1, Math.log(accusers.size()) / Math.log(wanted + 1));
        return sinceMs + timing.maxSuspicionMs() - (timing.maxSuspicionMs() - timing.minSuspicionMs()) * part;
    }
}
