package ivybank.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * One sidecar's view of the fleet: which sidecars are alive, by their own announcements, probes and gossip, after SWIM
 * (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2018). No I/O and no clock: messages and ticks
 * come with their time in ms, messages to send go to {@link Output} during the call. Used by one thread at a time.
 *
 * <p>There is no consensus: views differ while something changes, and the two sides of a partition declare one another
 * dead. Two things always hold: no member's incarnation falls, and a member that was declared dead comes back with a
 * higher incarnation alone.
 */
public final class FleetView {

    /** What a view asks its owner to do. */
    public interface Output {
        /** Sends a message to the address of a member. It may be lost. */
        void send(int memberIndex, Message message);

        /** Takes note of a change. */
        void changed(MembershipEvent event);
    }

    private static final double GOSSIP_PER_SECOND = 25;
    private static final double GOSSIP_BURST = 32;
    /** Replies to messages that are not meant for this incarnation and so prove nothing. */
    private static final double UNVERIFIED_REPLIES_PER_SECOND = 40;

    private static final double EXPIRY_INTERVAL_MS = 10_000;
    private static final int LEAVE_ANNOUNCEMENTS = 6;
    private static final int STALL_HEALTH_POINTS = 2;

    private final ViewState view;
    private final Member self;
    private final long firstIncarnation;
    private final MessageSender sender;
    private final FailureDetector detector;
    private final SuspicionTracker suspicions;
    private final UpdateHandler updates;
    private final AntiEntropy antiEntropy;
    private final MemberDiscovery discovery;
    private final TokenBucket gossipRate = new TokenBucket(GOSSIP_PER_SECOND, GOSSIP_BURST);
    private final TokenBucket unverifiedReplies =
            new TokenBucket(UNVERIFIED_REPLIES_PER_SECOND, UNVERIFIED_REPLIES_PER_SECOND);
    private double lastTickMs = Double.NaN;
    private double nextExpiryMs;
    private boolean standby;

    /**
     * @param memberIndex this sidecar's index in the list of addresses, which all sidecars have in the same order
     * @param zone told to the others; empty for none
     * @param incarnation higher than each that this sidecar had before, as far as it knows
     * @param addressCount length of the list
     */
    public FleetView(
            int memberIndex,
            String name,
            String zone,
            long incarnation,
            int addressCount,
            FleetTiming timing,
            Random random,
            Output output) {
        firstIncarnation = incarnation;
        MemberTable members = new MemberTable(addressCount, memberIndex);
        view = new ViewState(timing, random, members, output::changed);
        self = members.self();
        sender = new MessageSender(view, (message, to) -> output.send(to, message));
        detector = new FailureDetector(view, sender);
        suspicions = new SuspicionTracker(view, detector);
        updates = new UpdateHandler(view, suspicions);
        antiEntropy = new AntiEntropy(view, sender, gossipRate);
        discovery = new MemberDiscovery(view, detector);
        detector.onFailure(suspicions::probeFailed);
        members.onJoin(detector::memberJoined);
        members.update(self, incarnation, 0, MemberState.JOINING, name, zone, 0);
    }

    /** Begins to look for the others. */
    public void start(double nowMs) {
        lastTickMs = nowMs;
        detector.postpone(nowMs + view.random.nextDouble() * view.timing.probePeriodMs());
        discovery.start(nowMs);
        nextExpiryMs = nowMs + EXPIRY_INTERVAL_MS;
        view.members.restartChangeTimer(nowMs);
        antiEntropy.start(nowMs);
        view.gossip.add(self.announcement());
    }

    /** Announces another state of this sidecar; none follows {@link MemberState#LEFT}. */
    public void announceState(double nowMs, MemberState state) {
        if (self.state != state && self.state != MemberState.LEFT) {
            view.announceSelf(nowMs, self.incarnation, self.version + 1, state);
        }
    }

    /** Announces that this sidecar leaves, to some members directly, and sends nothing more. */
    public void leave(double nowMs) {
        announceState(nowMs, MemberState.LEFT);
        List<Integer> receivers = new ArrayList<>(view.members.alive());
        Collections.shuffle(receivers, view.random);
        receivers.stream().limit(LEAVE_ANNOUNCEMENTS).forEach(sender::sendGossip);
        standby = true;
    }

    /**
     * Sends and hears nothing while another process of this sidecar speaks for it; after that goes on with a higher
     * incarnation.
     */
    public void setStandby(double nowMs, boolean on) {
        if (standby && !on && self.state != MemberState.LEFT) {
            detector.abandonAll();
            lastTickMs = nowMs;
            discovery.speedUp(nowMs);
            view.announceSelf(nowMs, self.incarnation + 1, 0, self.state);
        }
        standby = on;
    }

    /** To be called every {@link FleetTiming#tickMs}. */
    public void tick(double nowMs) {
        if (standby) {
            lastTickMs = nowMs;
            return;
        }
        compensateForStall(nowMs);
        detector.tick(nowMs);
        suspicions.expire(nowMs);
        discovery.tick(nowMs);
        sendGossip(nowMs);
        if (nowMs >= nextExpiryMs) {
            nextExpiryMs = nowMs + EXPIRY_INTERVAL_MS;
            expireDeadMembers(nowMs);
        }
    }

    private void sendGossip(double nowMs) {
        List<Integer> alive = view.members.alive();
        if (!view.gossip.isEmpty() && !alive.isEmpty() && gossipRate.tryTake(nowMs)) {
            sender.sendGossip(alive.get(view.random.nextInt(alive.size())));
        }
    }

    private void expireDeadMembers(double nowMs) {
        for (Member member : view.members.all()) {
            if (!member.isAlive() && nowMs - member.deadSinceMs > view.timing.forgetMs()) {
                member.name = "";
                member.zone = "";
                member.lastRelay = -1;
            }
        }
    }

    /**
     * Where this process did not run for a while, what it did not hear meanwhile is nobody's fault: open probes are
     * void and suspicions get the time added, so that a process that was stopped for seconds does not accuse all
     * others.
     */
    private void compensateForStall(double nowMs) {
        double stalledMs = nowMs - lastTickMs - view.timing.tickMs();
        if (stalledMs > view.timing.ackTimeoutMs()) {
            detector.abandonAll();
            suspicions.extendAll(stalledMs);
            view.health.degrade(STALL_HEALTH_POINTS);
            detector.postpone(nowMs + view.timing.probePeriodMs());
            if (stalledMs > view.timing.minSuspicionMs()) {
                discovery.speedUp(nowMs);
            }
        }
        lastTickMs = Math.max(lastTickMs, nowMs);
    }

    /** Takes a message that came from the address of the member at {@code from}. */
    public void receive(double nowMs, int from, Message message) {
        if (standby) {
            return;
        }
        compensateForStall(nowMs);
        view.counters.received++;
        if (!view.members.contains(from) || from == self.index || !UpdateHandler.isPlausible(message.self())) {
            view.counters.unknown++;
            return;
        }
        Member origin = view.members.get(from);
        if (isAccepted(nowMs, origin, message)) {
            origin.lastHeardMs = nowMs;
            updates.applySender(nowMs, origin, message.self());
            message.updates().forEach(update -> updates.apply(nowMs, update, from));
            dispatch(nowMs, origin, message);
            antiEntropy.compare(nowMs, from, message.digest());
        }
    }

    /**
     * Checks who sent a message and for whom; replies to those that can't be accepted where that helps their senders.
     */
    private boolean isAccepted(double nowMs, Member from, Message message) {
        MembershipUpdate announced = message.self();
        if (announced.memberIndex() != from.index) {
            view.counters.unknown++;
            view.recordFalseAccusation(from, nowMs, "speaks as seat " + announced.memberIndex());
            return false;
        }
        if (!isForThisProcess(message)) {
            view.counters.stale++;
            if (message.to() == self.index && unverifiedReplies.tryTake(nowMs)) {
                sender.reply(from, message, null); // tells the present incarnation
            }
            return false;
        }
        if (announced.incarnation() < from.incarnation || announced.incarnation() <= from.deadIncarnation) {
            view.counters.stale++;
            correctSender(nowMs, from, message);
            return false;
        }
        if (announced.incarnation() > from.incarnation) {
            from.replayWindow.clear();
        }
        if (!from.replayWindow.accept(message.counter())) {
            view.counters.replayed++;
            return false;
        }
        return true;
    }

    /** Whether the receiver that a message names is an incarnation that this process has had itself. */
    private boolean isForThisProcess(Message message) {
        return message.to() == self.index
                && message.receiverIncarnation() >= firstIncarnation
                && message.receiverIncarnation() <= self.incarnation;
    }

    private void correctSender(double nowMs, Member from, Message message) {
        message.updates().stream()
                .filter(update -> update.memberIndex() == self.index)
                .forEach(update -> updates.refute(nowMs, update, from.index));
        if (UpdateHandler.takeCorrection(from, nowMs)) {
            sender.reply(from, message, from.isAlive() ? from.announcement() : null);
        }
    }

    private void dispatch(double nowMs, Member from, Message message) {
        switch (message.kind()) {
            case PING -> sender.reply(from, message, null);
            case ACK -> detector.ackReceived(from.index, message.probe(), message.subject());
            case PING_REQUEST -> {
                int subject = message.subject();
                if (view.members.contains(subject) && subject != self.index) {
                    detector.probeFor(nowMs, from.index, message.probe(), subject);
                }
            }
            case NACK -> detector.nackReceived(message.probe());
            case SYNC -> antiEntropy.sendDifferences(from.index, message.buckets());
            case GOSSIP -> {
                // The updates have been applied.
            }
        }
    }

    /** How many other members are alive, by this view. */
    public int aliveOthers() {
        return view.members.aliveCount();
    }

    /** How many of the live members, this one among them, do not serve yet. */
    public int joiningMembers() {
        int count = self.state == MemberState.JOINING ? 1 : 0;
        for (int index : view.members.alive()) {
            count += view.members.get(index).state == MemberState.JOINING ? 1 : 0;
        }
        return count;
    }

    /** Whether a member is alive, by this view. */
    public boolean isAlive(int memberIndex) {
        return view.members.get(memberIndex).isAlive();
    }

    /** This sidecar's own incarnation. */
    public long incarnation() {
        return self.incarnation;
    }

    /** Equal where two views hold the same members for alive, in the same incarnations, versions and states. */
    public long digest() {
        return view.members.digest().value();
    }

    /** The whole view, for operators and tests. */
    public ViewSnapshot snapshot(double nowMs) {
        List<ViewSnapshot.MemberSnapshot> listed = new ArrayList<>();
        for (Member member : view.members.all()) {
            boolean recent = nowMs - member.deadSinceMs <= view.timing.forgetMs();
            if (member.incarnation > 0 && (member.isAlive() || recent)) {
                listed.add(snapshot(member, nowMs));
            }
        }
        double settledSinceMs = Math.max(view.members.lastChangeMs(), antiEntropy.lastMismatchMs());
        return new ViewSnapshot(
                self.index,
                self.incarnation,
                digest(),
                Math.max(0, nowMs - settledSinceMs),
                view.members.aliveCount(),
                view.members.size(),
                view.health.score(),
                listed,
                view.counters.snapshot());
    }

    private ViewSnapshot.MemberSnapshot snapshot(Member member, double nowMs) {
        return new ViewSnapshot.MemberSnapshot(
                member.index,
                member.name,
                member.incarnation,
                member.version,
                member.zone,
                member.state,
                member.suspicion == null ? List.of() : member.suspicion.accusers(),
                view.isTrusted(member.index, nowMs));
    }
}
