package ivybank.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The suspicions of a view: who is suspected, by whom, and when a suspected member is declared dead. A suspected member
 * is cleared by what it announces itself.
 */
final class SuspicionTracker {

    /** Members of the whole fleet that are expected to probe a suspect themselves when they hear of the suspicion. */
    private static final double EXPECTED_CONFIRMING_PROBES = 4;
    /** Who heard from the suspect within so many probe periods probes it in any case. */
    private static final double RECENTLY_HEARD_PERIODS = 2;

    private final ViewState view;
    private final FailureDetector detector;
    private final Map<Integer, Member> suspects = new TreeMap<>();
    /** By member index, the last accusation that this sidecar made itself. */
    private final Map<Integer, MembershipUpdate> ownAccusations = new HashMap<>();

    SuspicionTracker(ViewState view, FailureDetector detector) {
        this.view = view;
        this.detector = detector;
    }

    /** A probe of this sidecar's own has failed. */
    void probeFailed(double nowMs, Member member) {
        MembershipUpdate accusation =
                MembershipUpdate.suspect(member.index, member.incarnation, member.version, view.self().index);
        ownAccusations.put(member.index, accusation);
        suspect(nowMs, member, member.version, accusation);
    }

    /** Whether an accusation in this sidecar's name is one that it never made. */
    boolean isForged(MembershipUpdate accusation) {
        if (accusation.accuser() != view.self().index) {
            return false;
        }
        MembershipUpdate own = ownAccusations.get(accusation.memberIndex());
        return own == null || accusation.supersedes(own.incarnation(), own.version());
    }

    /**
     * Adds an accusation to the suspicion of a live member, and spreads it if its accuser is new.
     *
     * @param version of the member up to which the accusation counts
     */
    void suspect(double nowMs, Member member, int version, MembershipUpdate accusation) {
        boolean first = member.suspicion == null;
        if (first || version > member.suspicion.version && !member.suspicion.isShortened()) {
            member.suspicion = new Suspicion(version, nowMs);
            suspects.put(member.index, member);
        }
        boolean newAccuser = member.suspicion.addAccuser(accusation.accuser());
        if (accusation.kind() == MembershipUpdate.Kind.DECLARED_DEAD) {
            member.suspicion.shorten();
            member.suspicion.left |= accusation.state() == MemberState.LEFT;
        }
        if (newAccuser) {
            view.gossip.add(accusation);
        }
        if (first) {
            view.report(member, MembershipEvent.Kind.SUSPECTED, "is doubted by seat " + accusation.accuser());
            maybeProbe(nowMs, member, accusation.accuser());
        }
    }

    private void maybeProbe(double nowMs, Member suspect, int accuser) {
        if (accuser == view.self().index) {
            return;
        }
        boolean recentlyHeard = nowMs - suspect.lastHeardMs < RECENTLY_HEARD_PERIODS * view.timing.probePeriodMs();
        if (recentlyHeard || view.random.nextDouble() < EXPECTED_CONFIRMING_PROBES / (view.members.aliveCount() + 1)) {
            detector.probe(nowMs, suspect.index, false);
        }
    }

    /** The member lives: counts a false accusation against each member that accused it with a datagram of its own. */
    void refuted(double nowMs, Member member) {
        if (member.suspicion != null) {
            member.directAccusers.forEach(accuser ->
                    view.recordFalseAccusation(view.members.get(accuser), nowMs, "accuses members that live"));
            clear(member);
        }
    }

    /** Ends the suspicion of a member without a judgement on its accusers. */
    void clear(Member member) {
        if (member.suspicion != null) {
            view.gossip.removeAccusations(member.index, member.suspicion.accusers());
        }
        member.suspicion = null;
        member.directAccusers.clear();
        suspects.remove(member.index);
    }

    /** Moves all deadlines on, by time in which this process did not run. */
    void extendAll(double byMs) {
        suspects.values().forEach(member -> member.suspicion.extend(byMs));
    }

    /** Declares the members dead whose suspicion has run out. */
    void expire(double nowMs) {
        for (Member member : List.copyOf(suspects.values())) {
            Suspicion suspicion = member.suspicion;
            if (nowMs < suspicion.deadlineMs(view.timing, view.members.aliveCount())) {
                continue;
            }
            if (nowMs - member.lastHeardMs < view.timing.minSuspicionMs()) {
                // This sidecar hears the member itself: accusations by others alone are not enough.
                detector.probe(nowMs, member.index, false);
            } else if (suspicion.left) {
                declareEnd(nowMs, member, MemberState.LEFT, "has left, by word of others");
            } else {
                String accusers = suspicion.accusers().toString();
                declareEnd(nowMs, member, MemberState.DEAD, "is given up, doubted by seats " + accusers);
            }
        }
    }

    /** Ends a member's present incarnation, by {@link MemberState#LEFT} or {@link MemberState#DEAD}, and spreads it. */
    void declareEnd(double nowMs, Member member, MemberState state, String what) {
        clear(member);
        member.deadIncarnation = member.incarnation;
        member.deadSinceMs = nowMs;
        view.members.updateState(member, state, nowMs);
        if (state == MemberState.DEAD) {
            view.counters.declaredDead++;
        }
        MembershipUpdate declaration = member.deathDeclaration(view.self().index);
        view.gossip.add(declaration);
        ownAccusations.put(member.index, declaration);
        MembershipEvent.Kind kind =
                state == MemberState.LEFT ? MembershipEvent.Kind.LEFT : MembershipEvent.Kind.DECLARED_DEAD;
        view.report(member, kind, what);
    }
}
