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
 * Lifeguard. No I/O and no clock: what comes is told with its time, what is to be sent goes to {@link Out} during the call.
 * Used by one thread at a time.
 *
 * <p>No consensus: views differ while something changes, and two sides of a partition each give the other up. What holds
 * always: no member's life falls, and who was given up comes back with a higher life alone.
 */
public final class FleetView {

    /** What a view has done. */
    public interface Out {
        /** Sends a message to the address of a seat. It may be lost. */
        void send(int seat, Message message);

        /** Tells of a change. */
        void changed(Change change);
    }

    /** Members that look at a suspect themselves when they hear of it, of all, if none has just heard it. */
    private static final double LOOKERS = 4;

    private static final double RECENT_PERIODS = 2;
    /** Times that a rumour is told, for each doubling of the fleet. */
    private static final int TOLD = 2;

    private static final double PUSHES_A_SECOND = 25;
    private static final double PUSHES_AT_ONCE = 32;
    private static final double ANSWERS_A_SECOND = 40; // to what proves nothing
    /** Peers in a row whose views are like this one, after which it has nothing to tell. */
    private static final int ENOUGH_MATCHES = 3;

    private static final double QUIET_MS = 2000; // without a change
    private static final int PAGES = 12; // of an answer to SYNC
    private static final double LONGEST_SYNC_MS = 8000;
    private static final double FAST_SEEK_MS = 100;
    private static final double FAST_SEEK_FOR_MS = 3000;
    private static final double LONELY_SEEK_MS = 300;
    private static final double CORRECT_MS = 150;
    private static final double FORGET_EVERY_MS = 10_000;
    private static final int FAREWELLS = 6;
    /** Lives from here on are not believed: who pushes another's there has the key and lies. */
    static final long HIGHEST_LIFE = 1L << 46;

    private final FleetTiming timing;
    private final Random random;
    private final Out out;
    private final Member[] members;
    private final Member self;
    private final long firstLife;
    private final List<Integer> alive = new ArrayList<>(); // without self
    private final Map<Integer, Member> suspects = new TreeMap<>();
    private final Map<Integer, Word> accusedHere = new HashMap<>(); // by seat, this sidecar's own last word
    private final Rumours rumours = new Rumours();
    private final Blame blame = new Blame();
    private final Health health = new Health();
    private final Prober prober;
    private final Pace pushes = new Pace(PUSHES_A_SECOND, PUSHES_AT_ONCE);
    private final Pace answers = new Pace(ANSWERS_A_SECOND, ANSWERS_A_SECOND);
    private final long[] sums = new long[MessageCodec.BUCKETS];
    private double lastTickMs = Double.NaN;
    private double nextSeekMs;
    private double fastSeekUntilMs;
    private double nextForgetMs;
    private double nextSyncMs;
    private double syncPauseMs;
    private boolean seekKnown;
    private int mismatches;
    private int matches;
    private double changedMs;
    private double mismatchMs;
    private boolean silent;
    private long sent;
    private long received;
    private long replayed;
    private long stale;
    private long unknown;
    private long forged;
    private long givenUp;
    private long returns;

    /**
     * @param seat this sidecar's number in the list of addresses
     * @param life higher than each that it had before, as far as it knows
     * @param seats how many the list has
     */
    public FleetView(
            int seat, String name, String zone, long life, int seats, FleetTiming timing, Random random, Out out) {
        this.timing = timing;
        this.random = random;
        this.out = out;
        this.firstLife = life;
        members = new Member[seats];
        for (int i = 0; i < seats; i++) {
            members[i] = new Member(i);
        }
        self = members[seat];
        syncPauseMs = timing.syncMs();
        prober = new Prober(timing, random, health, alive, members, new Prober.Out() {
            @Override
            public void send(int to, Kind kind, int probe, int subject) {
                FleetView.this.send(to, kind, probe, subject, null);
            }

            @Override
            public void failed(double nowMs, Member member) {
                Word word = Word.suspect(member.seat, member.life, member.turn, self.seat);
                accusedHere.put(member.seat, word);
                suspect(nowMs, member, member.turn, self.seat, false, false, word);
            }
        });
        put(self, life, 0, Standing.JOINING, name, zone, 0);
    }

    // ---- What comes.

    /** Begins to look for others. */
    public void start(double nowMs) {
        lastTickMs = nowMs;
        prober.pause(nowMs + random.nextDouble() * timing.periodMs());
        nextSeekMs = nowMs + random.nextDouble() * FAST_SEEK_MS;
        fastSeekUntilMs = nowMs + FAST_SEEK_FOR_MS;
        nextForgetMs = nowMs + FORGET_EVERY_MS;
        changedMs = nowMs;
        mismatchMs = nowMs;
        rumours.tell(self.statement());
    }

    /** What this sidecar is from now on. */
    public void stand(double nowMs, Standing standing) {
        if (self.standing != standing && self.standing != Standing.LEFT) {
            restate(nowMs, self.life, self.turn + 1, standing);
        }
    }

    /** Says good-bye and nothing more. */
    public void leave(double nowMs) {
        stand(nowMs, Standing.LEFT);
        List<Integer> some = new ArrayList<>(alive);
        Collections.shuffle(some, random);
        some.stream().limit(FAREWELLS).forEach(seat -> send(seat, Kind.WORDS, 0, -1, null));
        silent = true;
    }

    /** Says nothing, or goes on: where another process of this sidecar speaks for it, and when that has ended. */
    public void hush(double nowMs, boolean hushed) {
        if (silent && !hushed && self.standing != Standing.LEFT) {
            prober.forget();
            lastTickMs = nowMs;
            fastSeekUntilMs = nowMs + FAST_SEEK_FOR_MS;
            restate(nowMs, self.life + 1, 0, self.standing);
        }
        silent = hushed;
    }

    /** To be called every {@link FleetTiming#tickMs}. */
    public void tick(double nowMs) {
        if (silent) {
            lastTickMs = nowMs;
            return;
        }
        awake(nowMs);
        prober.tick(nowMs);
        endSuspicions(nowMs);
        seek(nowMs);
        if (!rumours.isEmpty() && !alive.isEmpty() && pushes.take(nowMs)) {
            send(alive.get(random.nextInt(alive.size())), Kind.WORDS, 0, -1, null);
        }
        if (nowMs >= nextForgetMs) {
            nextForgetMs = nowMs + FORGET_EVERY_MS;
            for (Member member : members) {
                if (!member.lives() && nowMs - member.endedMs > timing.forgetMs()) {
                    member.name = "";
                    member.zone = "";
                    member.by = -1;
                }
            }
        }
    }

    /** A message has come from the address of a seat. */
    public void heard(double nowMs, int from, Message message) {
        if (silent) {
            return;
        }
        awake(nowMs);
        received++;
        Word it = message.self();
        if (from < 0 || from >= members.length || from == self.seat || it.life() <= 0 || it.life() >= HIGHEST_LIFE) {
            unknown++;
            return;
        }
        Member member = members[from];
        if (it.seat() != from) {
            unknown++;
            blame(member, nowMs, "speaks as seat " + it.seat());
            return;
        }
        if (message.to() != self.seat || message.toLife() < firstLife || message.toLife() > self.life) {
            // Not for this process, or by one that does not know of it: it is told, and nothing is believed.
            stale++;
            if (message.to() == self.seat && answers.take(nowMs)) {
                answer(member, message, null);
            }
            return;
        }
        if (it.life() < member.life || it.life() <= member.endedLife) {
            stale++;
            message.words().stream()
                    .filter(word -> word.seat() == self.seat)
                    .forEach(word -> aboutSelf(nowMs, word, from));
            if (nowMs - member.correctedMs >= CORRECT_MS) {
                member.correctedMs = nowMs;
                answer(member, message, member.lives() ? member.statement() : null);
            }
            return;
        }
        if (it.life() > member.life) {
            member.window.clear();
        }
        if (!member.window.take(message.counter())) {
            replayed++;
            return;
        }
        member.heardMs = nowMs;
        if (it.standing() == Standing.LEFT) {
            statedEnd(nowMs, member, it);
        } else {
            stated(nowMs, it, from);
        }
        for (Word word : message.words()) {
            if (word.seat() >= members.length || word.life() <= 0 || word.life() >= HIGHEST_LIFE) {
                unknown++;
            } else if (word.seat() == self.seat) {
                aboutSelf(nowMs, word, from);
            } else if (word.accuses()) {
                accused(nowMs, word, from);
            } else if (word.seat() != from) {
                stated(nowMs, word, from);
            }
        }
        act(nowMs, member, message);
        compare(nowMs, from, message.digest());
    }

    private void act(double nowMs, Member from, Message message) {
        switch (message.kind()) {
            case PING -> answer(from, message, null);
            case ACK -> prober.acknowledged(from.seat, message.probe(), message.subject());
            case ASK -> {
                int subject = message.subject();
                if (subject >= 0 && subject < members.length && subject != self.seat) {
                    prober.lookFor(nowMs, from.seat, message.probe(), subject);
                }
            }
            case NO_ANSWER -> prober.noAnswer(message.probe());
            case SYNC -> tellDifferences(from.seat, message.buckets());
            case WORDS -> {
                // They have been heard.
            }
        }
    }

    private void answer(Member to, Message message, Word first) {
        boolean ping = message.kind() == Kind.PING;
        sendTo(
                to.seat,
                message.self().life(),
                ping ? Kind.ACK : Kind.WORDS,
                ping ? message.probe() : 0,
                -1,
                null,
                first);
    }

    // ---- Words.

    /** What a member says of itself, from it or passed on. */
    private void stated(double nowMs, Word word, int from) {
        Member member = members[word.seat()];
        if (!word.standing().lives()) {
            accused(nowMs, Word.gaveUp(word.seat(), word.life(), word.turn(), word.standing(), from), from);
            return;
        }
        if (word.life() <= member.endedLife || !word.after(member.life, member.turn)) {
            if (word.life() == member.endedLife && !member.lives() && nowMs - member.correctedMs >= CORRECT_MS) {
                member.correctedMs = nowMs; // somebody has missed that it was given up, perhaps itself
                rumours.tell(Word.gaveUp(member.seat, member.endedLife, member.turn, member.standing, self.seat));
            }
            return;
        }
        boolean lived = member.lives();
        boolean newLife = word.life() > member.life;
        boolean known = member.life > 0;
        Standing before = member.standing;
        if (newLife || member.suspicion != null && !member.suspicion.brief() && word.turn() > member.suspicion.turn) {
            acquit(nowMs, member, !newLife); // where it has started anew, who doubted the life before was right
        }
        if (newLife && from != member.seat) {
            member.window.clear();
        }
        put(member, word.life(), word.turn(), word.standing(), word.name(), word.zone(), nowMs);
        member.by = from == member.seat ? member.by : from;
        rumours.tell(member.statement());
        if (newLife && word.name().equals(self.name)) {
            tell(member, "has this sidecar's name: two processes of one name, or a list of addresses in another order");
        }
        if (newLife) {
            returns += known && !lived ? 1 : 0;
            tell(member, !known ? "is here" : lived ? "has a new life" : "is back");
        } else if (before != member.standing) {
            tell(member, "is " + member.standing.name().toLowerCase(java.util.Locale.ROOT));
        }
    }

    private void statedEnd(double nowMs, Member member, Word word) {
        if (word.after(member.life, member.turn) && (member.lives() || word.life() > member.life)) {
            put(member, word.life(), word.turn(), member.standing, word.name(), word.zone(), nowMs);
            end(nowMs, member, Standing.LEFT, "has left");
        }
    }

    private void accused(double nowMs, Word word, int from) {
        Member member = members[word.seat()];
        if (word.accuser() == self.seat) {
            Word own = accusedHere.get(word.seat());
            if (own == null || word.after(own.life(), own.turn())) {
                forged++;
                tell(members[from], "passes on that this sidecar accuses seat " + word.seat() + ", which it does not");
                return;
            }
        }
        if (word.seat() == word.accuser()
                || word.accuser() >= members.length
                || !heeded(word.accuser(), nowMs)
                || !heeded(from, nowMs)) {
            return;
        }
        boolean gaveUp = word.kind() == Word.Kind.GAVE_UP;
        if (!member.lives()) {
            if (gaveUp && word.life() > Math.max(member.life, member.endedLife)) {
                member.life = word.life();
                member.turn = word.turn();
                member.endedLife = word.life();
                member.endedMs = nowMs;
                member.standing = word.standing().lives() ? Standing.GONE : word.standing();
            }
            return;
        }
        // Who was given up needs a higher life for those who did so: no turn is an answer to that.
        if (word.life() < member.life || !gaveUp && (word.life() > member.life || word.turn() < member.turn)) {
            return; // of an earlier time, or of one that isn't known yet
        }
        if (from == word.accuser() && word.life() == member.life) {
            member.firstHand.add(from);
        }
        int turn = word.life() == member.life ? Math.max(word.turn(), member.turn) : member.turn;
        suspect(nowMs, member, turn, word.accuser(), gaveUp, word.standing() == Standing.LEFT, word);
    }

    private void suspect(double nowMs, Member member, int turn, int accuser, boolean gaveUp, boolean left, Word word) {
        boolean first = member.suspicion == null;
        if (first || turn > member.suspicion.turn && !member.suspicion.brief()) {
            member.suspicion = new Suspicion(turn, nowMs);
            suspects.put(member.seat, member);
        }
        boolean fresh = member.suspicion.accuse(accuser);
        if (gaveUp) {
            member.suspicion.shorten();
            member.suspicion.left |= left;
        }
        if (fresh) {
            rumours.tell(word);
        }
        if (first) {
            tell(member, "is doubted by seat " + accuser);
            boolean recent = nowMs - member.heardMs < RECENT_PERIODS * timing.periodMs();
            if (accuser != self.seat && (recent || random.nextDouble() < LOOKERS / (alive.size() + 1))) {
                prober.probe(nowMs, member.seat, false);
            }
        }
    }

    /** It lives; whoever has accused it itself without reason is noted. */
    private void acquit(double nowMs, Member member, boolean wrongly) {
        if (member.suspicion == null) {
            return;
        }
        if (wrongly) {
            member.firstHand.forEach(accuser -> blame(members[accuser], nowMs, "accuses members that live"));
        }
        undoubt(member);
    }

    private boolean heeded(int accuser, double nowMs) {
        return accuser == self.seat || blame.heeded(accuser, nowMs, alive.size());
    }

    private void blame(Member accuser, double nowMs, String what) {
        if (accuser != self && blame.refuted(accuser.seat, nowMs, alive.size())) {
            tell(accuser, what + ": its word against others isn't taken for a while");
        }
    }

    /** Somebody says something of this sidecar that it has not said: it goes beyond it. */
    private void aboutSelf(double nowMs, Word word, int from) {
        boolean gaveUp = word.kind() == Word.Kind.GAVE_UP; // to that no turn is an answer
        boolean past = word.life() < self.life || !gaveUp && word.life() == self.life && word.turn() < self.turn;
        if (past || word.equals(self.statement()) || self.standing == Standing.LEFT) {
            return;
        }
        if (word.accuses() && from == word.accuser()) {
            blame(members[from], nowMs, "accuses members that live");
        }
        if (word.kind() == Word.Kind.SUSPECT && heeded(word.accuser(), nowMs)) {
            health.worse(1);
        }
        if (word.life() > self.life || gaveUp) {
            returns++;
            tell(
                    self,
                    "was given up, or taken for another, by word of seat " + from + " with life " + word.life()
                            + "; goes on with life " + (word.life() + 1));
            restate(nowMs, word.life() + 1, 0, self.standing);
        } else if (word.turn() >= MessageCodec.MOST_TURN) {
            restate(nowMs, self.life + 1, 0, self.standing);
        } else {
            restate(nowMs, self.life, word.turn() + 1, self.standing);
        }
    }

    private void restate(double nowMs, long life, int turn, Standing standing) {
        put(self, life, turn, standing, self.name, self.zone, nowMs);
        rumours.tell(self.statement());
    }

    // ---- The state of a member.

    private void put(Member member, long life, int turn, Standing standing, String name, String zone, double nowMs) {
        boolean lived = member.lives();
        sums[member.seat % sums.length] -= hash(member);
        member.life = life;
        member.turn = turn;
        member.standing = standing;
        member.name = name;
        member.zone = zone;
        sums[member.seat % sums.length] += hash(member);
        changedMs = nowMs;
        if (member != self && member.lives() != lived) {
            if (lived) {
                alive.remove((Integer) member.seat);
            } else {
                alive.add(member.seat);
                prober.joined(member.seat);
            }
        }
    }

    /** There is no doubt about it any more, for the one reason or the other. */
    private void undoubt(Member member) {
        if (member.suspicion != null) {
            rumours.acquit(member.seat, member.suspicion.accusers());
        }
        member.suspicion = null;
        member.firstHand.clear();
        suspects.remove(member.seat);
    }

    private void end(double nowMs, Member member, Standing standing, String what) {
        undoubt(member);
        member.endedLife = member.life;
        member.endedMs = nowMs;
        put(member, member.life, member.turn, standing, member.name, member.zone, nowMs);
        givenUp += standing == Standing.GONE ? 1 : 0;
        Word word = Word.gaveUp(member.seat, member.life, member.turn, standing, self.seat);
        rumours.tell(word);
        accusedHere.put(member.seat, word);
        tell(member, what);
    }

    private static long hash(Member member) {
        if (!member.lives()) {
            return 0;
        }
        long mixed = member.life * 0x9e3779b97f4a7c15L + member.seat;
        mixed = (mixed ^ mixed >>> 32) * 0xbf58476d1ce4e5b9L + member.turn * 31L + member.standing.ordinal();
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

    private static int fold(long sum) {
        return (int) (sum ^ sum >>> 32);
    }

    private void tell(Member member, String what) {
        out.changed(new Change(member.seat, member.name, member.life, what));
    }

    // ---- What is not seen.

    /**
     * This process may have stood still: what it did not hear meanwhile nobody has failed to say. Guards against one that is
     * stopped for some seconds and then accuses all others.
     */
    private void awake(double nowMs) {
        double lateMs = nowMs - lastTickMs - timing.tickMs();
        if (lateMs > timing.answerMs()) {
            prober.forget();
            suspects.values().forEach(member -> member.suspicion.shift(lateMs));
            health.worse(2);
            prober.pause(nowMs + timing.periodMs());
            fastSeekUntilMs = lateMs > timing.leastDoubtMs() ? nowMs + FAST_SEEK_FOR_MS : fastSeekUntilMs;
        }
        lastTickMs = Math.max(lastTickMs, nowMs);
    }

    private void endSuspicions(double nowMs) {
        for (Member member : List.copyOf(suspects.values())) {
            if (nowMs < member.suspicion.dueMs(timing, alive.size())) {
                continue;
            }
            if (nowMs - member.heardMs < timing.leastDoubtMs()) {
                prober.probe(nowMs, member.seat, false); // it speaks to this one: others' words are not enough
            } else {
                boolean left = member.suspicion.left;
                end(
                        nowMs,
                        member,
                        left ? Standing.LEFT : Standing.GONE,
                        left
                                ? "has left, by word of others"
                                : "is given up, doubted by seats " + member.suspicion.accusers());
            }
        }
    }

    /** Looks at a seat where nobody is known to be, in turn at those that somebody had and at those that nobody ever had. */
    private void seek(double nowMs) {
        if (nowMs < nextSeekMs) {
            return;
        }
        double pauseMs = nowMs < fastSeekUntilMs ? FAST_SEEK_MS : alive.isEmpty() ? LONELY_SEEK_MS : timing.seekMs();
        nextSeekMs = nowMs + pauseMs * (0.75 + 0.5 * random.nextDouble());
        List<Integer> known = new ArrayList<>();
        List<Integer> never = new ArrayList<>();
        for (Member member : members) {
            if (member != self && !member.lives()) {
                (member.life > 0 ? known : never).add(member.seat);
            }
        }
        seekKnown = !seekKnown;
        List<Integer> from = seekKnown && !known.isEmpty() || never.isEmpty() ? known : never;
        if (!from.isEmpty()) {
            prober.probe(nowMs, from.get(random.nextInt(from.size())), true);
        }
    }

    // ---- Comparing views.

    private void compare(double nowMs, int from, int theirs) {
        if (theirs == fold(digest())) {
            mismatches = 0;
            if (++matches >= ENOUGH_MATCHES && nowMs - changedMs > QUIET_MS) {
                rumours.known(); // what the digest covers is no news
            }
            syncPauseMs = timing.syncMs();
            return;
        }
        mismatchMs = nowMs;
        matches = 0;
        mismatches++;
        if (mismatches >= 2 && nowMs >= nextSyncMs && pushes.take(nowMs)) {
            // What asking again and again does not mend is not worth the datagrams: it pauses for longer and longer.
            syncPauseMs =
                    changedMs > nextSyncMs - syncPauseMs ? timing.syncMs() : Math.min(LONGEST_SYNC_MS, 2 * syncPauseMs);
            nextSyncMs = nowMs + syncPauseMs * (0.75 + 0.5 * random.nextDouble());
            int[] buckets = new int[sums.length];
            for (int i = 0; i < buckets.length; i++) {
                buckets[i] = fold(sums[i]);
            }
            send(from, Kind.SYNC, 0, -1, buckets);
        }
    }

    private void tellDifferences(int to, int[] theirs) {
        List<Word> words = new ArrayList<>();
        int start = random.nextInt(members.length);
        for (int i = 0; i < members.length; i++) {
            Member member = members[(start + i) % members.length];
            int bucket = member.seat % sums.length;
            if (member.seat == to
                    || member == self
                    || bucket >= theirs.length
                    || theirs[bucket] == fold(sums[bucket])) {
                continue;
            }
            if (member.lives()) {
                words.add(member.statement());
            } else if (member.endedLife > 0 && !member.name.isEmpty()) {
                words.add(Word.gaveUp(member.seat, member.endedLife, member.turn, member.standing, self.seat));
            }
        }
        int next = 0;
        for (int page = 0; page < PAGES && next < words.size(); page++) {
            List<Word> some = new ArrayList<>();
            int room = MessageCodec.room(self.statement(), false);
            while (next < words.size() && MessageCodec.size(words.get(next)) <= room) {
                room -= MessageCodec.size(words.get(next));
                some.add(words.get(next++));
            }
            transmit(to, members[to].life, Kind.WORDS, 0, -1, new int[0], some);
        }
    }

    // ---- Sending.

    private void send(int to, Kind kind, int probe, int subject, int[] buckets) {
        sendTo(to, members[to].life, kind, probe, subject, buckets, null);
    }

    private void sendTo(int to, long toLife, Kind kind, int probe, int subject, int[] buckets, Word first) {
        List<Word> words = new ArrayList<>();
        Member member = members[to];
        if (first != null) {
            words.add(first);
        } else if (member.suspicion != null && !member.suspicion.accusers().isEmpty()) {
            // Who is doubted is told first, and may answer for itself.
            int accuser = member.suspicion.accusers().get(0);
            words.add(
                    member.suspicion.brief()
                            ? Word.gaveUp(to, member.life, member.suspicion.turn, Standing.GONE, accuser)
                            : Word.suspect(to, member.life, member.suspicion.turn, accuser));
        } else if (!member.lives() && member.endedLife > 0) {
            words.add(Word.gaveUp(to, member.endedLife, member.turn, member.standing, self.seat));
        }
        int room = MessageCodec.room(self.statement(), buckets != null)
                - words.stream().mapToInt(MessageCodec::size).sum();
        rumours.take(room, TOLD * (33 - Integer.numberOfLeadingZeros(alive.size() + 1)), words);
        transmit(to, toLife, kind, probe, subject, buckets == null ? new int[0] : buckets, words);
    }

    private void transmit(int to, long toLife, Kind kind, int probe, int subject, int[] buckets, List<Word> words) {
        sent++;
        out.send(
                to,
                new Message(
                        kind,
                        self.statement(),
                        to,
                        toLife,
                        ++members[to].sent,
                        fold(digest()),
                        probe,
                        subject,
                        buckets,
                        words));
    }

    // ---- What is known.

    /** Others that live, by this view. */
    public int peers() {
        return alive.size();
    }

    /** Of all that live, this one among them, those that do not serve yet. */
    public int starting() {
        int count = self.standing == Standing.JOINING ? 1 : 0;
        for (int seat : alive) {
            count += members[seat].standing == Standing.JOINING ? 1 : 0;
        }
        return count;
    }

    /** Whether a seat's sidecar lives, by this view. */
    public boolean sees(int seat) {
        return members[seat].lives();
    }

    public long life() {
        return self.life;
    }

    /** All of it, for people. */
    public ViewSnapshot snapshot(double nowMs) {
        List<ViewSnapshot.Seen> seen = new ArrayList<>();
        for (Member member : members) {
            if (member.life > 0 && (member.lives() || nowMs - member.endedMs <= timing.forgetMs())) {
                seen.add(new ViewSnapshot.Seen(
                        member.seat,
                        member.name,
                        member.life,
                        member.turn,
                        member.zone,
                        member.standing,
                        member.suspicion == null ? List.of() : member.suspicion.accusers(),
                        heeded(member.seat, nowMs)));
            }
        }
        return new ViewSnapshot(
                self.seat,
                self.life,
                digest(),
                Math.max(0, nowMs - Math.max(changedMs, mismatchMs)),
                alive.size(),
                members.length,
                health.points(),
                seen,
                new ViewSnapshot.Counts(sent, received, replayed, stale, unknown, forged, givenUp, returns));
    }
}
