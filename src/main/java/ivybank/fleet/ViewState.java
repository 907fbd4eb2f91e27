package ivybank.fleet;

import java.util.Random;
import java.util.function.Consumer;

/** The state of one view that its parts share, and the events that they report. */
final class ViewState {

    final FleetTiming timing;
    final Random random;
    final MemberTable members;
    final GossipQueue gossip = new GossipQueue();
    final LocalHealth health = new LocalHealth();
    final ViewCounters counters = new ViewCounters();
    private final AccusationCounters accusations = new AccusationCounters();
    private final Consumer<MembershipEvent> events;

    ViewState(FleetTiming timing, Random random, MemberTable members, Consumer<MembershipEvent> events) {
        this.timing = timing;
        this.random = random;
        this.members = members;
        this.events = events;
    }

    Member self() {
        return members.self();
    }

    /** Reports an event that concerns a member. */
    void report(Member member, MembershipEvent.Kind kind, String description) {
        events.accept(new MembershipEvent(kind, member.index, member.name, member.incarnation, description));
    }

    /** Whether accusations by the member of this index count. */
    boolean isTrusted(int accuser, double nowMs) {
        return accuser == self().index || accusations.isTrusted(accuser, nowMs, members.aliveCount());
    }

    /** Counts a false accusation against the member that made it, and reports when that costs it its trust. */
    void recordFalseAccusation(Member accuser, double nowMs, String what) {
        if (accuser != self() && accusations.recordRefuted(accuser.index, nowMs, members.aliveCount())) {
            report(
                    accuser,
                    MembershipEvent.Kind.DISTRUSTED,
                    what + ": its word against others isn't taken for a while");
        }
    }

    /** Changes what this sidecar announces of itself, and spreads it. */
    void announceSelf(double nowMs, long incarnation, int version, MemberState state) {
        Member self = self();
        members.update(self, incarnation, version, state, self.name, self.zone, nowMs);
        gossip.add(self.announcement());
    }
}
