package ivybank.fleet;

import ivybank.fleet.Message.Kind;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * One sidecar's view of the others: who is here, by what they say of themselves, by probes and by rumours, after SWIM with
 * Lifeguard. No I/O and no clock: what comes is told with its time, what is to be sent goes to {@link Output} during the call.
 * Used by one thread at a time.
 *
 * <p>No consensus: views differ while something changes, and two sides of a partition each give the other up. What holds
 * always: no member's life falls, and who was given up comes back with a higher life alone.
 */
public final class FleetView {

    /** What a view has done. */
    public interface Output {
        /** Sends a message to the address of a seat. It may be lost. */
        void send(int memberIndex, Message message);

        /** Tells of a change. */
        void changed(MembershipEvent change);
    }

    /** Members that look at a suspect themselves when they hear of it, of all, if none has just heard it. */
    private static final double EXPECTED_CONFIRMING_PROBES = 4;

    private static final double RECENTLY_HEARD_PERIODS = 2;
    /** Times that a rumour is told, for each doubling of the fleet. */
    private static final int RETRANSMIT_MULTIPLIER = 2;

    private static final double GOSSIP_PER_SECOND = 25;
    private static final double GOSSIP_BURST = 32;
    private static final double UNVERIFIED_REPLIES_PER_SECOND = 40; // to what proves nothing
    /** Peers in a row whose views are like this one, after which it has nothing to tell. */
    private static final int MATCHES_UNTIL_CONVERGED = 3;

    private static final double CONVERGED_AFTER_MS = 2000; // without a change
    private static final int MAX_SYNC_DATAGRAMS = 12; // of an answer to SYNC
    private static final double MAX_SYNC_INTERVAL_MS = 8000;
    private static final double FAST_DISCOVERY_MS = 100;
    private static final double FAST_DISCOVERY_DURATION_MS = 3000;
    private static final double ISOLATED_DISCOVERY_MS = 300;
    private static final double CORRECTION_INTERVAL_MS = 150;
    private static final double EXPIRY_INTERVAL_MS = 10_000;
    private static final int LEAVE_ANNOUNCEMENTS = 6;
    /** Lives from here on are not believed: who pushes another's there has the key and lies. */
    static final long INCARNATION_LIMIT = 1L << 46;

    private final FleetTiming timing;
    private final Random random;
    private final Output out;
    private final Member[] members;
    private final Member self;
    private final long firstIncarnation;
    private final List<Integer> alive = new ArrayList<>(); // without self
    private final Map<Integer, Member> suspects = new TreeMap<>();
    private final Map<Integer, MembershipUpdate> ownAccusations =
            new HashMap<>(); // by seat, this sidecar's own last word
    private final GossipQueue gossip = new GossipQueue();
    private final AccusationCounters accusations = new AccusationCounters();
    private final LocalHealth health = new LocalHealth();
    private final FailureDetector detector;
    private final TokenBucket gossipRate = new TokenBucket(GOSSIP_PER_SECOND, GOSSIP_BURST);
    private final TokenBucket unverifiedReplies =
            new TokenBucket(UNVERIFIED_REPLIES_PER_SECOND, UNVERIFIED_REPLIES_PER_SECOND);
    private final long[] sums = new long[MessageCodec.DIGEST_BUCKETS];
    private double lastTickMs = Double.NaN;
    private double nextDiscoveryMs;
    private double fastDiscoveryUntilMs;
    private double nextForgetMs;
    private double nextSyncMs;
    private double syncPauseMs;
    private boolean discoverKnown;
    private int mismatches;
    private int matches;
    private double changedMs;
    private double mismatchMs;
    private boolean standby;
    private long sent;
    private long received;
    private long replayed;
    private long stale;
    private long unknown;
    private long forged;
    private long declaredDead;
    private long rejoins;

    /**
     * @param memberIndex this sidecar's number in the list of addresses
     * @param incarnation higher than each that it had before, as far as it knows
     * @param addressCount how many the list has
     */
    public FleetView(
            int memberIndex,
            String name,
            String zone,
            long incarnation,
            int addressCount,
            FleetTiming timing,
            Random random,
            Output out) {
        this.timing = timing;
        this.random = random;
        this.out = out;
        this.firstIncarnation = incarnation;
        members = new Member[addressCount];
        for (int i = 0; i < addressCount; i++) {
            members[i] = new Member(i);
        }
        self = members[memberIndex];
        syncPauseMs = timing.syncMs();
        detector = new FailureDetector(timing, random, health, alive, members, new FailureDetector.Output() {
            @Override
            public void send(int to, Kind kind, int probe, int subject) {
                FleetView.this.send(to, kind, probe, subject, null);
            }

            @Override
            public void failed(double nowMs, Member member) {
                MembershipUpdate update =
                        MembershipUpdate.suspect(member.index, member.incarnation, member.version, self.index);
                ownAccusations.put(member.index, update);
                suspect(nowMs, member, member.version, self.index, false, false, update);
            }
        });
        put(self, incarnation, 0, MemberState.JOINING, name, zone, 0);
    }

    // ---- What comes.

    /** Begins to look for others. */
    public void start(double nowMs) {
        lastTickMs = nowMs;
        detector.postpone(nowMs + random.nextDouble() * timing.probePeriodMs());
        nextDiscoveryMs = nowMs + random.nextDouble() * FAST_DISCOVERY_MS;
        fastDiscoveryUntilMs = nowMs + FAST_DISCOVERY_DURATION_MS;
        nextForgetMs = nowMs + EXPIRY_INTERVAL_MS;
        changedMs = nowMs;
        mismatchMs = nowMs;
        gossip.notify(self.announcement());
    }

    /** What this sidecar is from now on. */
    public void announceState(double nowMs, MemberState state) {
        if (self.state != state && self.state != MemberState.LEFT) {
            announceSelf(nowMs, self.incarnation, self.version + 1, state);
        }
    }

    /** Says good-bye and nothing more. */
    public void leave(double nowMs) {
        announceState(nowMs, MemberState.LEFT);
        List<Integer> some = new ArrayList<>(alive);
        Collections.shuffle(some, random);
        some.stream().limit(LEAVE_ANNOUNCEMENTS).forEach(memberIndex -> send(memberIndex, Kind.GOSSIP, 0, -1, null));
        standby = true;
    }

    /** Says nothing, or goes on: where another process of this sidecar speaks for it, and when that has ended. */
    public void setStandby(double nowMs, boolean on) {
        if (standby && !on && self.state != MemberState.LEFT) {
            detector.abandonAll();
            lastTickMs = nowMs;
            fastDiscoveryUntilMs = nowMs + FAST_DISCOVERY_DURATION_MS;
            announceSelf(nowMs, self.incarnation + 1, 0, self.state);
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
        expireSuspicions(nowMs);
        discovery(nowMs);
        if (!gossip.isEmpty() && !alive.isEmpty() && gossipRate.take(nowMs)) {
            send(alive.get(random.nextInt(alive.size())), Kind.GOSSIP, 0, -1, null);
        }
        if (nowMs >= nextForgetMs) {
            nextForgetMs = nowMs + EXPIRY_INTERVAL_MS;
            for (Member member : members) {
                if (!member.isAlive() && nowMs - member.deadSinceMs > timing.forgetMs()) {
                    member.name = "";
                    member.zone = "";
                    member.by = -1;
                }
            }
        }
    }

    /** A message has come from the address of a seat. */
    public void receive(double nowMs, int from, Message message) {
        if (standby) {
            return;
        }
        compensateForStall(nowMs);
        received++;
        MembershipUpdate it = message.self();
        if (from < 0
                || from >= members.length
                || from == self.index
                || it.incarnation() <= 0
                || it.incarnation() >= INCARNATION_LIMIT) {
            unknown++;
            return;
        }
        Member member = members[from];
        if (it.memberIndex() != from) {
            unknown++;
            accusations(member, nowMs, "speaks as seat " + it.memberIndex());
            return;
        }
        if (message.to() != self.index
                || message.receiverIncarnation() < firstIncarnation
                || message.receiverIncarnation() > self.incarnation) {
            // Not for this process, or by one that does not know of it: it is told, and nothing is believed.
            stale++;
            if (message.to() == self.index && unverifiedReplies.take(nowMs)) {
                reply(member, message, null);
            }
            return;
        }
        if (it.incarnation() < member.incarnation || it.incarnation() <= member.deadIncarnation) {
            stale++;
            message.updates().stream()
                    .filter(update -> update.memberIndex() == self.index)
                    .forEach(update -> refute(nowMs, update, from));
            if (nowMs - member.lastCorrectionMs >= CORRECTION_INTERVAL_MS) {
                member.lastCorrectionMs = nowMs;
                reply(member, message, member.isAlive() ? member.announcement() : null);
            }
            return;
        }
        if (it.incarnation() > member.incarnation) {
            member.replayWindow.clear();
        }
        if (!member.replayWindow.take(message.counter())) {
            replayed++;
            return;
        }
        member.lastHeardMs = nowMs;
        if (it.state() == MemberState.LEFT) {
            applyLeave(nowMs, member, it);
        } else {
            applyAnnouncement(nowMs, it, from);
        }
        for (MembershipUpdate update : message.updates()) {
            if (update.memberIndex() >= members.length
                    || update.incarnation() <= 0
                    || update.incarnation() >= INCARNATION_LIMIT) {
                unknown++;
            } else if (update.memberIndex() == self.index) {
                refute(nowMs, update, from);
            } else if (update.isAccusation()) {
                applyAccusation(nowMs, update, from);
            } else if (update.memberIndex() != from) {
                applyAnnouncement(nowMs, update, from);
            }
        }
        handleKind(nowMs, member, message);
        compareDigest(nowMs, from, message.digest());
    }

    private void handleKind(double nowMs, Member from, Message message) {
        switch (message.kind()) {
            case PING -> reply(from, message, null);
            case ACK -> detector.ackReceived(from.index, message.probe(), message.subject());
            case PING_REQUEST -> {
                int subject = message.subject();
                if (subject >= 0 && subject < members.length && subject != self.index) {
                    detector.probeFor(nowMs, from.index, message.probe(), subject);
                }
            }
            case NACK -> detector.nackReceived(message.probe());
            case SYNC -> sendDifferences(from.index, message.buckets());
            case GOSSIP -> {
                // They have been heard.
            }
        }
    }

    private void reply(Member to, Message message, MembershipUpdate first) {
        boolean ping = message.kind() == Kind.PING;
        sendTo(
                to.index,
                message.self().incarnation(),
                ping ? Kind.ACK : Kind.GOSSIP,
                ping ? message.probe() : 0,
                -1,
                null,
                first);
    }

    // ---- Words.

    /** What a member says of itself, from it or passed on. */
    private void applyAnnouncement(double nowMs, MembershipUpdate update, int from) {
        Member member = members[update.memberIndex()];
        if (!update.state().isAlive()) {
            applyAccusation(
                    nowMs,
                    MembershipUpdate.declaredDead(
                            update.memberIndex(), update.incarnation(), update.version(), update.state(), from),
                    from);
            return;
        }
        if (update.incarnation() <= member.deadIncarnation || !update.supersedes(member.incarnation, member.version)) {
            if (update.incarnation() == member.deadIncarnation
                    && !member.isAlive()
                    && nowMs - member.lastCorrectionMs >= CORRECTION_INTERVAL_MS) {
                member.lastCorrectionMs = nowMs; // somebody has missed that it was given up, perhaps itself
                gossip.notify(MembershipUpdate.declaredDead(
                        member.index, member.deadIncarnation, member.version, member.state, self.index));
            }
            return;
        }
        boolean wasAlive = member.isAlive();
        boolean newIncarnation = update.incarnation() > member.incarnation;
        boolean known = member.incarnation > 0;
        MemberState before = member.state;
        if (newIncarnation
                || member.suspicion != null
                        && !member.suspicion.isShortened()
                        && update.version() > member.suspicion.version) {
            clearWithCause(
                    nowMs, member, !newIncarnation); // where it has started anew, who doubted the life before was right
        }
        if (newIncarnation && from != member.index) {
            member.replayWindow.clear();
        }
        put(member, update.incarnation(), update.version(), update.state(), update.name(), update.zone(), nowMs);
        member.by = from == member.index ? member.by : from;
        gossip.notify(member.announcement());
        if (newIncarnation && update.name().equals(self.name)) {
            notify(
                    member,
                    "has this sidecar's name: two processes of one name, or a list of addresses in another order");
        }
        if (newIncarnation) {
            rejoins += known && !wasAlive ? 1 : 0;
            notify(member, !known ? "is here" : wasAlive ? "has a new life" : "is back");
        } else if (before != member.state) {
            notify(member, "is " + member.state.name().toLowerCase(java.util.Locale.ROOT));
        }
    }

    private void applyLeave(double nowMs, Member member, MembershipUpdate update) {
        if (update.supersedes(member.incarnation, member.version)
                && (member.isAlive() || update.incarnation() > member.incarnation)) {
            put(member, update.incarnation(), update.version(), member.state, update.name(), update.zone(), nowMs);
            end(nowMs, member, MemberState.LEFT, "has left");
        }
    }

    private void applyAccusation(double nowMs, MembershipUpdate update, int from) {
        Member member = members[update.memberIndex()];
        if (update.accuser() == self.index) {
            MembershipUpdate own = ownAccusations.get(update.memberIndex());
            if (own == null || update.supersedes(own.incarnation(), own.version())) {
                forged++;
                notify(
                        members[from],
                        "passes on that this sidecar accuses seat " + update.memberIndex() + ", which it does not");
                return;
            }
        }
        if (update.memberIndex() == update.accuser()
                || update.accuser() >= members.length
                || !trusted(update.accuser(), nowMs)
                || !trusted(from, nowMs)) {
            return;
        }
        boolean declaredDead = update.kind() == MembershipUpdate.Kind.DECLARED_DEAD;
        if (!member.isAlive()) {
            if (declaredDead && update.incarnation() > Math.max(member.incarnation, member.deadIncarnation)) {
                member.incarnation = update.incarnation();
                member.version = update.version();
                member.deadIncarnation = update.incarnation();
                member.deadSinceMs = nowMs;
                member.state = update.state().isAlive() ? MemberState.DEAD : update.state();
            }
            return;
        }
        // Who was given up needs a higher life for those who did so: no turn is an answer to that.
        if (update.incarnation() < member.incarnation
                || !declaredDead && (update.incarnation() > member.incarnation || update.version() < member.version)) {
            return; // of an earlier time, or of one that isn't known yet
        }
        if (from == update.accuser() && update.incarnation() == member.incarnation) {
            member.directAccusers.add(from);
        }
        int version = update.incarnation() == member.incarnation
                ? Math.max(update.version(), member.version)
                : member.version;
        suspect(nowMs, member, version, update.accuser(), declaredDead, update.state() == MemberState.LEFT, update);
    }

    private void suspect(
            double nowMs,
            Member member,
            int version,
            int accuser,
            boolean declaredDead,
            boolean left,
            MembershipUpdate update) {
        boolean first = member.suspicion == null;
        if (first || version > member.suspicion.version && !member.suspicion.isShortened()) {
            member.suspicion = new Suspicion(version, nowMs);
            suspects.put(member.index, member);
        }
        boolean fresh = member.suspicion.addAccuser(accuser);
        if (declaredDead) {
            member.suspicion.shorten();
            member.suspicion.left |= left;
        }
        if (fresh) {
            gossip.notify(update);
        }
        if (first) {
            notify(member, "is doubted by seat " + accuser);
            boolean recent = nowMs - member.lastHeardMs < RECENTLY_HEARD_PERIODS * timing.probePeriodMs();
            if (accuser != self.index
                    && (recent || random.nextDouble() < EXPECTED_CONFIRMING_PROBES / (alive.size() + 1))) {
                detector.probe(nowMs, member.index, false);
            }
        }
    }

    /** It lives; whoever has accused it itself without reason is noted. */
    private void clearWithCause(double nowMs, Member member, boolean wrongly) {
        if (member.suspicion == null) {
            return;
        }
        if (wrongly) {
            member.directAccusers.forEach(accuser -> accusations(members[accuser], nowMs, "accuses members that live"));
        }
        clearSuspicion(member);
    }

    private boolean trusted(int accuser, double nowMs) {
        return accuser == self.index || accusations.trusted(accuser, nowMs, alive.size());
    }

    private void accusations(Member accuser, double nowMs, String what) {
        if (accuser != self && accusations.recordRefuted(accuser.index, nowMs, alive.size())) {
            notify(accuser, what + ": its word against others isn't taken for a while");
        }
    }

    /** Somebody says something of this sidecar that it has not said: it goes beyond it. */
    private void refute(double nowMs, MembershipUpdate update, int from) {
        boolean declaredDead = update.kind() == MembershipUpdate.Kind.DECLARED_DEAD; // to that no turn is an answer
        boolean past = update.incarnation() < self.incarnation
                || !declaredDead && update.incarnation() == self.incarnation && update.version() < self.version;
        if (past || update.equals(self.announcement()) || self.state == MemberState.LEFT) {
            return;
        }
        if (update.isAccusation() && from == update.accuser()) {
            accusations(members[from], nowMs, "accuses members that live");
        }
        if (update.kind() == MembershipUpdate.Kind.SUSPECT && trusted(update.accuser(), nowMs)) {
            health.degrade(1);
        }
        if (update.incarnation() > self.incarnation || declaredDead) {
            rejoins++;
            notify(
                    self,
                    "was given up, or taken for another, by word of seat " + from + " with life " + update.incarnation()
                            + "; goes on with life " + (update.incarnation() + 1));
            announceSelf(nowMs, update.incarnation() + 1, 0, self.state);
        } else if (update.version() >= MessageCodec.MAX_VERSION) {
            announceSelf(nowMs, self.incarnation + 1, 0, self.state);
        } else {
            announceSelf(nowMs, self.incarnation, update.version() + 1, self.state);
        }
    }

    private void announceSelf(double nowMs, long incarnation, int version, MemberState state) {
        put(self, incarnation, version, state, self.name, self.zone, nowMs);
        gossip.notify(self.announcement());
    }

    // ---- The state of a member.

    private void put(
            Member member, long incarnation, int version, MemberState state, String name, String zone, double nowMs) {
        boolean wasAlive = member.isAlive();
        sums[member.index % sums.length] -= hash(member);
        member.incarnation = incarnation;
        member.version = version;
        member.state = state;
        member.name = name;
        member.zone = zone;
        sums[member.index % sums.length] += hash(member);
        changedMs = nowMs;
        if (member != self && member.isAlive() != wasAlive) {
            if (wasAlive) {
                alive.remove((Integer) member.index);
            } else {
                alive.add(member.index);
                detector.memberJoined(member.index);
            }
        }
    }

    /** There is no doubt about it any more, for the one reason or the other. */
    private void clearSuspicion(Member member) {
        if (member.suspicion != null) {
            gossip.clearWithCause(member.index, member.suspicion.accusers());
        }
        member.suspicion = null;
        member.directAccusers.clear();
        suspects.remove(member.index);
    }

    private void end(double nowMs, Member member, MemberState state, String what) {
        clearSuspicion(member);
        member.deadIncarnation = member.incarnation;
        member.deadSinceMs = nowMs;
        put(member, member.incarnation, member.version, state, member.name, member.zone, nowMs);
        declaredDead += state == MemberState.DEAD ? 1 : 0;
        MembershipUpdate update =
                MembershipUpdate.declaredDead(member.index, member.incarnation, member.version, state, self.index);
        gossip.notify(update);
        ownAccusations.put(member.index, update);
        notify(member, what);
    }

    private static long hash(Member member) {
        if (!member.isAlive()) {
            return 0;
        }
        long mixed = member.incarnation * 0x9e3779b97f4a7c15L + member.index;
        mixed = (mixed ^ mixed >>> 32) * 0xbf58476d1ce4e5b9L + member.version * 31L + member.state.ordinal();
        mixed = (mixed ^ mixed >>> 29) * 0x94d049bb133111ebL + member.name.hashCode();
        return (mixed ^ mixed >>> 32) * 0xff51afd7ed558ccdL;
    }

    /** Equal where views are equal, in who lives, in which life and turn, and as what. */
    public long digest() {
        long digest = 0;
        for (long sum : sums) {
            digest += sum;
        }
        return digest;
    }

    private static int fold32(long sum) {
        return (int) (sum ^ sum >>> 32);
    }

    private void notify(Member member, String what) {
        out.changed(new MembershipEvent(member.index, member.name, member.incarnation, what));
    }

    // ---- What is not seen.

    /**
     * This process may have stood still: what it did not hear meanwhile nobody has failed to say. Guards against one that is
     * stopped for some seconds and then accuses all others.
     */
    private void compensateForStall(double nowMs) {
        double lateMs = nowMs - lastTickMs - timing.tickMs();
        if (lateMs > timing.ackTimeoutMs()) {
            detector.abandonAll();
            suspects.values().forEach(member -> member.suspicion.shift(lateMs));
            health.degrade(2);
            detector.postpone(nowMs + timing.probePeriodMs());
            fastDiscoveryUntilMs =
                    lateMs > timing.minSuspicionMs() ? nowMs + FAST_DISCOVERY_DURATION_MS : fastDiscoveryUntilMs;
        }
        lastTickMs = Math.max(lastTickMs, nowMs);
    }

    private void expireSuspicions(double nowMs) {
        for (Member member : List.copyOf(suspects.values())) {
            if (nowMs < member.suspicion.deadlineMs(timing, alive.size())) {
                continue;
            }
            if (nowMs - member.lastHeardMs < timing.minSuspicionMs()) {
                detector.probe(nowMs, member.index, false); // it speaks to this one: others' words are not enough
            } else {
                boolean left = member.suspicion.left;
                end(
                        nowMs,
                        member,
                        left ? MemberState.LEFT : MemberState.DEAD,
                        left
                                ? "has left, by word of others"
                                : "is given up, doubted by seats " + member.suspicion.accusers());
            }
        }
    }

    /** Looks at a seat where nobody is known to be, in turn at those that somebody had and at those that nobody ever had. */
    private void discovery(double nowMs) {
        if (nowMs < nextDiscoveryMs) {
            return;
        }
        double pauseMs = nowMs < fastDiscoveryUntilMs
                ? FAST_DISCOVERY_MS
                : alive.isEmpty() ? ISOLATED_DISCOVERY_MS : timing.discoveryMs();
        nextDiscoveryMs = nowMs + pauseMs * (0.75 + 0.5 * random.nextDouble());
        List<Integer> known = new ArrayList<>();
        List<Integer> never = new ArrayList<>();
        for (Member member : members) {
            if (member != self && !member.isAlive()) {
                (member.incarnation > 0 ? known : never).add(member.index);
            }
        }
        discoverKnown = !discoverKnown;
        List<Integer> from = discoverKnown && !known.isEmpty() || never.isEmpty() ? known : never;
        if (!from.isEmpty()) {
            detector.probe(nowMs, from.get(random.nextInt(from.size())), true);
        }
    }

    // ---- Comparing views.

    private void compareDigest(double nowMs, int from, int theirs) {
        if (theirs == fold32(digest())) {
            mismatches = 0;
            if (++matches >= MATCHES_UNTIL_CONVERGED && nowMs - changedMs > CONVERGED_AFTER_MS) {
                gossip.known(); // what the digest covers is no news
            }
            syncPauseMs = timing.syncMs();
            return;
        }
        mismatchMs = nowMs;
        matches = 0;
        mismatches++;
        if (mismatches >= 2 && nowMs >= nextSyncMs && gossipRate.take(nowMs)) {
            // What asking again and again does not mend is not worth the datagrams: it pauses for longer and longer.
            syncPauseMs = changedMs > nextSyncMs - syncPauseMs
                    ? timing.syncMs()
                    : Math.min(MAX_SYNC_INTERVAL_MS, 2 * syncPauseMs);
            nextSyncMs = nowMs + syncPauseMs * (0.75 + 0.5 * random.nextDouble());
            int[] buckets = new int[sums.length];
            for (int i = 0; i < buckets.length; i++) {
                buckets[i] = fold32(sums[i]);
            }
            send(from, Kind.SYNC, 0, -1, buckets);
        }
    }

    private void sendDifferences(int to, int[] theirs) {
        List<MembershipUpdate> updates = new ArrayList<>();
        int start = random.nextInt(members.length);
        for (int i = 0; i < members.length; i++) {
            Member member = members[(start + i) % members.length];
            int bucket = member.index % sums.length;
            if (member.index == to
                    || member == self
                    || bucket >= theirs.length
                    || theirs[bucket] == fold32(sums[bucket])) {
                continue;
            }
            if (member.isAlive()) {
                updates.add(member.announcement());
            } else if (member.deadIncarnation > 0 && !member.name.isEmpty()) {
                updates.add(MembershipUpdate.declaredDead(
                        member.index, member.deadIncarnation, member.version, member.state, self.index));
            }
        }
        int next = 0;
        for (int page = 0; page < MAX_SYNC_DATAGRAMS && next < updates.size(); page++) {
            List<MembershipUpdate> some = new ArrayList<>();
            int room = MessageCodec.availableBytes(self.announcement(), false);
            while (next < updates.size() && MessageCodec.encodedSize(updates.get(next)) <= room) {
                room -= MessageCodec.encodedSize(updates.get(next));
                some.add(updates.get(next++));
            }
            transmit(to, members[to].incarnation, Kind.GOSSIP, 0, -1, new int[0], some);
        }
    }

    // ---- Sending.

    private void send(int to, Kind kind, int probe, int subject, int[] buckets) {
        sendTo(to, members[to].incarnation, kind, probe, subject, buckets, null);
    }

    private void sendTo(
            int to,
            long receiverIncarnation,
            Kind kind,
            int probe,
            int subject,
            int[] buckets,
            MembershipUpdate first) {
        List<MembershipUpdate> updates = new ArrayList<>();
        Member member = members[to];
        if (first != null) {
            updates.add(first);
        } else if (member.suspicion != null && !member.suspicion.accusers().isEmpty()) {
            // Who is doubted is told first, and may answer for itself.
            int accuser = member.suspicion.accusers().get(0);
            updates.add(
                    member.suspicion.isShortened()
                            ? MembershipUpdate.declaredDead(
                                    to, member.incarnation, member.suspicion.version, MemberState.DEAD, accuser)
                            : MembershipUpdate.suspect(to, member.incarnation, member.suspicion.version, accuser));
        } else if (!member.isAlive() && member.deadIncarnation > 0) {
            updates.add(MembershipUpdate.declaredDead(
                    to, member.deadIncarnation, member.version, member.state, self.index));
        }
        int room = MessageCodec.availableBytes(self.announcement(), buckets != null)
                - updates.stream().mapToInt(MessageCodec::encodedSize).sum();
        gossip.take(room, RETRANSMIT_MULTIPLIER * (33 - Integer.numberOfLeadingZeros(alive.size() + 1)), updates);
        transmit(to, receiverIncarnation, kind, probe, subject, buckets == null ? new int[0] : buckets, updates);
    }

    private void transmit(
            int to,
            long receiverIncarnation,
            Kind kind,
            int probe,
            int subject,
            int[] buckets,
            List<MembershipUpdate> updates) {
        sent++;
        out.send(
                to,
                new Message(
                        kind,
                        self.announcement(),
                        to,
                        receiverIncarnation,
                        ++members[to].sent,
                        fold32(digest()),
                        probe,
                        subject,
                        buckets,
                        updates));
    }

    // ---- What is known.

    /** Others that live, by this view. */
    public int aliveOthers() {
        return alive.size();
    }

    /** Of all that live, this one among them, those that do not serve yet. */
    public int joiningMembers() {
        int count = self.state == MemberState.JOINING ? 1 : 0;
        for (int memberIndex : alive) {
            count += members[memberIndex].state == MemberState.JOINING ? 1 : 0;
        }
        return count;
    }

    /** Whether a seat's sidecar lives, by this view. */
    public boolean isAlive(int memberIndex) {
        return members[memberIndex].isAlive();
    }

    public long incarnation() {
        return self.incarnation;
    }

    /** All of it, for people. */
    public ViewSnapshot snapshot(double nowMs) {
        List<ViewSnapshot.MemberSnapshot> seen = new ArrayList<>();
        for (Member member : members) {
            if (member.incarnation > 0 && (member.isAlive() || nowMs - member.deadSinceMs <= timing.forgetMs())) {
                seen.add(new ViewSnapshot.MemberSnapshot(
                        member.index,
                        member.name,
                        member.incarnation,
                        member.version,
                        member.zone,
                        member.state,
                        member.suspicion == null ? List.of() : member.suspicion.accusers(),
                        trusted(member.index, nowMs)));
            }
        }
        return new ViewSnapshot(
                self.index,
                self.incarnation,
                digest(),
                Math.max(0, nowMs - Math.max(changedMs, mismatchMs)),
                alive.size(),
                members.length,
                health.score(),
                seen,
                new ViewSnapshot.Counts(sent, received, replayed, stale, unknown, forged, declaredDead, rejoins));
    }
}
