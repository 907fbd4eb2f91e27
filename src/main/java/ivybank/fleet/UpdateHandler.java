package ivybank.fleet;

import ivybank.fleet.MembershipUpdate.Kind;
import java.util.Locale;

/**
 * Applies what members announce of themselves and what they say of one another, and refutes what is said of this
 * sidecar.
 */
final class UpdateHandler {

    /** Incarnations from here on are not believed: who pushes a member's that far has the key and lies. */
    static final long INCARNATION_LIMIT = 1L << 46;
    /** Between two corrections of those who hold an outdated incarnation of one member. */
    private static final double CORRECTION_INTERVAL_MS = 150;

    private final ViewState view;
    private final SuspicionTracker suspicions;

    UpdateHandler(ViewState view, SuspicionTracker suspicions) {
        this.view = view;
        this.suspicions = suspicions;
    }

    static boolean isPlausible(MembershipUpdate update) {
        return update.incarnation() > 0 && update.incarnation() < INCARNATION_LIMIT;
    }

    /** Whether somebody may be corrected on a member now; if so, the next one has to wait. */
    static boolean takeCorrection(Member member, double nowMs) {
        if (nowMs - member.lastCorrectionMs < CORRECTION_INTERVAL_MS) {
            return false;
        }
        member.lastCorrectionMs = nowMs;
        return true;
    }

    /** Applies one of the updates that came with a message of the member at {@code from}. */
    void apply(double nowMs, MembershipUpdate update, int from) {
        if (!view.members.contains(update.memberIndex()) || !isPlausible(update)) {
            view.counters.unknown++;
        } else if (update.memberIndex() == view.self().index) {
            refute(nowMs, update, from);
        } else if (update.isAccusation()) {
            applyAccusation(nowMs, update, from);
        } else if (update.memberIndex() != from) {
            applyAnnouncement(nowMs, update, from);
        }
    }

    /** Applies what the sender of a message announces of itself. */
    void applySender(double nowMs, Member sender, MembershipUpdate announcement) {
        if (announcement.state() == MemberState.LEFT) {
            applyLeave(nowMs, sender, announcement);
        } else {
            applyAnnouncement(nowMs, announcement, sender.index);
        }
    }

    private void applyAnnouncement(double nowMs, MembershipUpdate update, int from) {
        Member member = view.members.get(update.memberIndex());
        if (!update.state().isAlive()) {
            // That a member ended is believed from itself alone; passed on, it is as good as an accusation.
            applyAccusation(nowMs, update.asDeclaredDead(from), from);
        } else if (update.incarnation() <= member.deadIncarnation
                || !update.supersedes(member.incarnation, member.version)) {
            correctOutdated(nowMs, member, update);
        } else {
            takeOver(nowMs, member, update, from);
        }
    }

    /** Tells of a member's end again where somebody has missed it, perhaps the member itself. */
    private void correctOutdated(double nowMs, Member member, MembershipUpdate update) {
        if (update.incarnation() == member.deadIncarnation && !member.isAlive() && takeCorrection(member, nowMs)) {
            view.gossip.add(member.deathDeclaration(view.self().index));
        }
    }

    private void takeOver(double nowMs, Member member, MembershipUpdate update, int from) {
        boolean wasAlive = member.isAlive();
        boolean wasKnown = member.incarnation > 0;
        boolean newIncarnation = update.incarnation() > member.incarnation;
        MemberState before = member.state;
        if (newIncarnation) {
            suspicions.clear(member); // who suspected the incarnation before was right
        } else if (member.suspicion != null && member.suspicion.isRefutedBy(update)) {
            suspicions.refuted(nowMs, member);
        }
        if (newIncarnation && from != member.index) {
            member.replayWindow.clear();
        }
        view.members.update(
                member, update.incarnation(), update.version(), update.state(), update.name(), update.zone(), nowMs);
        if (from != member.index) {
            member.lastRelay = from;
        }
        view.gossip.add(member.announcement());
        if (newIncarnation) {
            reportNewIncarnation(member, wasKnown, wasAlive);
        } else if (before != member.state) {
            view.report(
                    member,
                    MembershipEvent.Kind.STATE_CHANGED,
                    "is " + member.state.name().toLowerCase(Locale.ROOT));
        }
    }

    private void reportNewIncarnation(Member member, boolean wasKnown, boolean wasAlive) {
        if (member.name.equals(view.self().name)) {
            view.report(
                    member,
                    MembershipEvent.Kind.NAME_CONFLICT,
                    "has this sidecar's name: two processes of one name, or a list of addresses in another order");
        }
        if (!wasKnown) {
            view.report(member, MembershipEvent.Kind.JOINED, "is here");
        } else if (wasAlive) {
            view.report(member, MembershipEvent.Kind.RESTARTED, "has a new life");
        } else {
            view.counters.rejoins++;
            view.report(member, MembershipEvent.Kind.REJOINED, "is back");
        }
    }

    private void applyLeave(double nowMs, Member member, MembershipUpdate update) {
        if (update.supersedes(member.incarnation, member.version)
                && (member.isAlive() || update.incarnation() > member.incarnation)) {
            view.members.update(
                    member, update.incarnation(), update.version(), member.state, update.name(), update.zone(), nowMs);
            suspicions.declareEnd(nowMs, member, MemberState.LEFT, "has left");
        }
    }

    private void applyAccusation(double nowMs, MembershipUpdate update, int from) {
        Member member = view.members.get(update.memberIndex());
        if (suspicions.isForged(update)) {
            view.counters.forged++;
            view.report(
                    view.members.get(from),
                    MembershipEvent.Kind.FORGERY,
                    "passes on that this sidecar accuses seat " + update.memberIndex() + ", which it does not");
            return;
        }
        if (update.memberIndex() == update.accuser()
                || !view.members.contains(update.accuser())
                || !view.isTrusted(update.accuser(), nowMs)
                || !view.isTrusted(from, nowMs)) {
            return;
        }
        if (!member.isAlive()) {
            raiseDeadIncarnation(nowMs, member, update);
        } else if (concernsPresent(member, update)) {
            accuse(nowMs, member, update, from);
        }
    }

    /** Whether an accusation is neither of an earlier time nor of an incarnation or version that is not known yet. */
    private static boolean concernsPresent(Member member, MembershipUpdate update) {
        if (update.kind() == Kind.DECLARED_DEAD) {
            // Only a higher incarnation refutes it, so a higher version of the same one is no answer.
            return update.incarnation() >= member.incarnation;
        }
        return update.incarnation() == member.incarnation && update.version() >= member.version;
    }

    private void accuse(double nowMs, Member member, MembershipUpdate update, int from) {
        boolean sameIncarnation = update.incarnation() == member.incarnation;
        if (sameIncarnation && from == update.accuser()) {
            member.directAccusers.add(from);
        }
        int version = sameIncarnation ? Math.max(update.version(), member.version) : member.version;
        suspicions.suspect(nowMs, member, version, update);
    }

    private static void raiseDeadIncarnation(double nowMs, Member member, MembershipUpdate update) {
        if (update.kind() == Kind.DECLARED_DEAD
                && update.incarnation() > Math.max(member.incarnation, member.deadIncarnation)) {
            member.incarnation = update.incarnation();
            member.version = update.version();
            member.deadIncarnation = update.incarnation();
            member.deadSinceMs = nowMs;
            member.state = update.state().isAlive() ? MemberState.DEAD : update.state();
        }
    }

    /** Answers what is said of this sidecar and not by it, with a higher version or incarnation. */
    void refute(double nowMs, MembershipUpdate update, int from) {
        Member self = view.self();
        if (self.state == MemberState.LEFT || update.equals(self.announcement()) || isRefutedAlready(update)) {
            return;
        }
        if (update.isAccusation() && from == update.accuser()) {
            view.recordFalseAccusation(view.members.get(from), nowMs, "accuses members that live");
        }
        if (update.kind() == Kind.SUSPECT && view.isTrusted(update.accuser(), nowMs)) {
            view.health.degrade(1);
        }
        if (update.incarnation() > self.incarnation || update.kind() == Kind.DECLARED_DEAD) {
            view.counters.rejoins++;
            view.report(
                    self,
                    MembershipEvent.Kind.REFUTED,
                    "was given up, or taken for another, by word of seat " + from + " with life " + update.incarnation()
                            + "; goes on with life " + (update.incarnation() + 1));
            view.announceSelf(nowMs, update.incarnation() + 1, 0, self.state);
        } else if (update.version() >= MessageCodec.MAX_VERSION) {
            view.announceSelf(nowMs, self.incarnation + 1, 0, self.state);
        } else {
            view.announceSelf(nowMs, self.incarnation, update.version() + 1, self.state);
        }
    }

    private boolean isRefutedAlready(MembershipUpdate update) {
        Member self = view.self();
        if (update.incarnation() == self.incarnation) {
            return update.kind() != Kind.DECLARED_DEAD && update.version() < self.version;
        }
        return update.incarnation() < self.incarnation;
    }
}
