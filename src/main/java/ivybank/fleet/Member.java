package ivybank.fleet;

import java.util.HashSet;
import java.util.Set;

/** What is known of one seat. Kept as long as the process runs, so that no life falls. */
final class Member {

    final int index;
    String name = "";
    String zone = "";
    long incarnation; // 0: nobody was ever known here
    int version;
    MemberState state = MemberState.DEAD;
    Suspicion suspicion;
    /** The life up to which it has been given up or has left. */
    long deadIncarnation;

    double deadSinceMs = Double.NEGATIVE_INFINITY;
    double lastHeardMs = Double.NEGATIVE_INFINITY; // by a datagram of its own
    double lastCorrectionMs = Double.NEGATIVE_INFINITY;
    /** Who brought the last news of it: the way to it where the direct one is cut. */
    int by = -1;

    int sent; // datagrams to it
    final ReplayWindow replayWindow = new ReplayWindow();
    /** Who has accused it itself, in this turn: to be blamed if it lives. */
    final Set<Integer> directAccusers = new HashSet<>();

    Member(int index) {
        this.index = index;
    }

    boolean isAlive() {
        return incarnation > 0 && state.isAlive();
    }

    /** What it says of itself, as far as it is known here. */
    MembershipUpdate announcement() {
        return new MembershipUpdate(
                MembershipUpdate.Kind.ANNOUNCEMENT, index, incarnation, version, state, name, zone, -1);
    }
}
