package ivybank.fleet;

/**
 * The counters of the datagrams of one sender that have come: each is accepted once, one far behind the latest never.
 */
final class ReplayWindow {

    private static final int WIDTH = 64;

    private int latest;
    private long seen; // bit i: latest - i has come

    /** Records a counter; false if it has come before, or may have. */
    boolean accept(int counter) {
        int ahead = counter - latest;
        if (ahead > 0) {
            seen = ahead >= WIDTH ? 1 : seen << ahead | 1;
            latest = counter;
            return true;
        }
        if (-ahead >= WIDTH || counter <= 0) {
            return false;
        }
        long bit = 1L << -ahead;
        boolean fresh = (seen & bit) == 0;
        seen |= bit;
        return fresh;
    }

    void clear() {
        latest = 0;
        seen = 0;
    }
}
