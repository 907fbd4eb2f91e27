package ivybank.fleet;

import java.util.ArrayList;
import java.util.List;

/** Doubt about one member in one life and turn. Its time falls with each independent accuser. */
final class Suspicion {

    private static final int MOST_ACCUSERS = 8;

    final int turn;
    /** Whether it has said itself that it leaves, by word of others. */
    boolean left;

    private double sinceMs;
    private boolean brief;
    private final List<Integer> accusers = new ArrayList<>();

    Suspicion(int turn, double sinceMs) {
        this.turn = turn;
        this.sinceMs = sinceMs;
    }

    /** Notes an accuser; false if it is known already. */
    boolean accuse(int seat) {
        if (accusers.contains(seat) || accusers.size() >= MOST_ACCUSERS) {
            return false;
        }
        accusers.add(seat);
        return true;
    }

    List<Integer> accusers() {
        return List.copyOf(accusers);
    }

    /** Others have given it up already: the shortest time is left to it. */
    void shorten() {
        brief = true;
    }

    /** Whether others have given it up. */
    boolean brief() {
        return brief;
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
    double dueMs(FleetTiming timing, int others) {
        int wanted = Math.min(3, others - 1); // beside the first
        if (brief || wanted < 1) {
            return sinceMs + timing.leastDoubtMs();
        }
        double part = Math.min(1, Math.log(accusers.size()) / Math.log(wanted + 1));
        return sinceMs + timing.mostDoubtMs() - (timing.mostDoubtMs() - timing.leastDoubtMs()) * part;
    }
}
