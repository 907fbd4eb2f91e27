package ivybank.fleet;

import java.util.HashSet;
import java.util.Set;

/**
 * What one view knows of the member at one index of the address list. Kept for as long as the process runs, also while
 * nobody is there, so that the incarnation known of an index never falls.
 */
final class Member {

    final int index;
    String name = "";
    String zone = "";
    /** 0 while no member was ever known at this index. */
    long incarnation;

    int version;
    MemberState state = MemberState.DEAD;
    /** Null while nobody suspects the member. */
    Suspicion suspicion;
    /** The incarnation up to which the member was declared dead or has left. */
    long deadIncarnation;

    double deadSinceMs = Double.NEGATIVE_INFINITY;
    /** When a datagram of the member itself came last. */
    double lastHeardMs = Double.NEGATIVE_INFINITY;
    /** When somebody with an outdated incarnation of this member was last corrected. */
    double lastCorrectionMs = Double.NEGATIVE_INFINITY;
    /** Index of the member that relayed the last news of this one: the first relay to try; -1 for none. */
    int lastRelay = -1;
    /** Counter of the datagrams sent to the member. */
    int sentDatagrams;

    final ReplayWindow replayWindow = new ReplayWindow();
    /** Members whose own datagrams accused this one in its present incarnation and version. */
    final Set<Integer> directAccusers = new HashSet<>();

    Member(int index) {
        this.index = index;
    }

    boolean isAlive() {
        return incarnation > 0 && state.isAlive();
    }

    /** What the member announces of itself, as far as this view knows it. */
    MembershipUpdate announcement() {
        return MembershipUpdate.announcement(index, incarnation, version, state, name, zone);
    }

    /** The declaration that the member's last known incarnation is dead, with the given member as its accuser. */
    MembershipUpdate deathDeclaration(int accuser) {
        return MembershipUpdate.declaredDead(index, deadIncarnation, version, state, accuser);
    }
}
