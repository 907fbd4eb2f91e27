package ivybank.fleet;

/** Which of a sender's counted datagrams have come: each is taken once, and one that is far behind the latest never. */
final class ReplayWindow {

    private static final int WIDTH = 64;

    private int latest;
    private long seen; // bit i: latest - i has come

    /** Notes one; false if it has come before, or may have. */
    boolean take(int counter) {
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
