package ivybank.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;

/** All members of the address list, which of them are alive, and the digest over those. */
final class MemberTable {

    private final Member[] members;
    private final Member self;
    private final List<Integer> alive = new ArrayList<>();
    private final ViewDigest digest = new ViewDigest();
    private Consumer<Member> joinListener = member -> {};
    private double lastChangeMs;

    /**
     * @param size length of the address list
     * @param self index of the member that owns this view
     */
    MemberTable(int size, int self) {
        members = new Member[size];
        Arrays.setAll(members, Member::new);
        this.self = members[self];
    }

    /** Names who is told of each other member that becomes alive. */
    void onJoin(Consumer<Member> listener) {
        joinListener = listener;
    }

    int size() {
        return members.length;
    }

    boolean contains(int index) {
        return index >= 0 && index < members.length;
    }

    Member get(int index) {
        return members[index];
    }

    /** The member that owns this view. */
    Member self() {
        return self;
    }

    List<Member> all() {
        return Collections.unmodifiableList(Arrays.asList(members));
    }

    /** Indexes of the other members that are alive, in the order in which they became so. */
    List<Integer> alive() {
        return Collections.unmodifiableList(alive);
    }

    /** How many other members are alive. */
    int aliveCount() {
        return alive.size();
    }

    ViewDigest digest() {
        return digest;
    }

    /** When a member's announced state changed last. */
    double lastChangeMs() {
        return lastChangeMs;
    }

    /** Counts the time without a change from now on. */
    void restartChangeTimer(double nowMs) {
        lastChangeMs = nowMs;
    }

    /** Takes over what a member announces of itself. */
    void update(
            Member member, long incarnation, int version, MemberState state, String name, String zone, double nowMs) {
        boolean wasAlive = member.isAlive();
        digest.remove(member);
        member.incarnation = incarnation;
        member.version = version;
        member.state = state;
        member.name = name;
        member.zone = zone;
        digest.add(member);
        lastChangeMs = nowMs;
        if (member != self && member.isAlive() != wasAlive) {
            aliveChanged(member);
        }
    }

    /** Takes over the state of a member alone. */
    void updateState(Member member, MemberState state, double nowMs) {
        update(member, member.incarnation, member.version, state, member.name, member.zone, nowMs);
    }

    private void aliveChanged(Member member) {
        if (member.isAlive()) {
            alive.add(member.index);
            joinListener.accept(member);
        } else {
            alive.remove((Integer) member.index);
        }
    }
}
