package ivybank.fleet;

import ivybank.fleet.Message.Kind;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Who is asked whether it is there, and when that has failed: one member a period in a shuffled order, repeated, then by way of
 * others; and what others ask this one to look at for them.
 */
final class Prober {

    /** What is to be done. */
    interface Out {
        void send(int to, Kind kind, int probe, int subject);

        /** A probe of a member that lives by the view has failed by every way. */
        void failed(double nowMs, Member member);
    }

    private static final int RELAYS = 3;
    private static final int MOST_PROBES = 8;
    private static final int MOST_RELAYED = 64;
    private static final int DRAWS = 12;

    private static final class Probe {
        private final int seat;
        private final long life;
        private final double sentMs;
        private final boolean seek; // of a seat that nobody is known to have
        private int tries = 1;
        private int awaited; // relays that have said nothing

        private Probe(int seat, long life, double sentMs, boolean seek) {
            this.seat = seat;
            this.life = life;
            this.sentMs = sentMs;
            this.seek = seek;
        }
    }

    private record Relayed(int forSeat, int forProbe, int subject, double dueMs) {}

    private final FleetTiming timing;
    private final Random random;
    private final Health health;
    private final List<Integer> alive; // the view's
    private final Member[] members; // the view's
    private final Out out;
    private final List<Integer> order = new ArrayList<>();
    private final Map<Integer, Probe> probes = new TreeMap<>();
    private final Map<Integer, Relayed> relayed = new TreeMap<>();
    private int numbers;
    private double nextMs;

    Prober(FleetTiming timing, Random random, Health health, List<Integer> alive, Member[] members, Out out) {
        this.timing = timing;
        this.random = random;
        this.health = health;
        this.alive = alive;
        this.members = members;
        this.out = out;
    }

    /** Begins no round before then. */
    void pause(double untilMs) {
        nextMs = untilMs;
    }

    /** What is open is void. */
    void forget() {
        probes.clear();
        relayed.clear();
    }

    /** A member that lives now: it gets a place of its own in this round, so that not all probe it at once. */
    void joined(int seat) {
        order.add(random.nextInt(order.size() + 1), seat);
    }

    void tick(double nowMs) {
        endProbes(nowMs);
        for (Iterator<Relayed> i = relayed.values().iterator(); i.hasNext(); ) {
            Relayed each = i.next();
            if (nowMs >= each.dueMs) {
                i.remove();
                out.send(each.forSeat, Kind.NO_ANSWER, each.forProbe, each.subject);
            }
        }
        if (nowMs >= nextMs) {
            nextMs = nowMs + timing.periodMs() * health.stretch();
            int seat = nextInOrder();
            if (seat >= 0) {
                probe(nowMs, seat, false);
            }
        }
    }

    private int nextInOrder() {
        while (!order.isEmpty()) {
            int seat = order.remove(order.size() - 1);
            if (members[seat].lives()) {
                return seat;
            }
        }
        order.addAll(alive);
        Collections.shuffle(order, random);
        return order.isEmpty() ? -1 : order.remove(order.size() - 1);
    }

    /** Asks a seat whether it is there, unless that has been asked already. */
    void probe(double nowMs, int seat, boolean seek) {
        if (probes.size() < MOST_PROBES && probes.values().stream().noneMatch(probe -> probe.seat == seat)) {
            int number = ++numbers;
            probes.put(number, new Probe(seat, members[seat].life, nowMs, seek));
            out.send(seat, Kind.PING, number, -1);
        }
    }

    private void endProbes(double nowMs) {
        List<Probe> failed = new ArrayList<>();
        for (Iterator<Map.Entry<Integer, Probe>> i = probes.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Integer, Probe> entry = i.next();
            Probe probe = entry.getValue();
            Member member = members[probe.seat];
            double waitedMs = (nowMs - probe.sentMs) / health.stretch();
            if (member.heardMs > probe.sentMs || !probe.seek && (!member.lives() || member.life != probe.life)) {
                i.remove();
            } else if (probe.seek) {
                if (waitedMs >= timing.answerMs()) {
                    i.remove();
                }
            } else if (waitedMs >= timing.periodMs()) {
                i.remove();
                failed.add(probe);
            } else if (probe.tries < 2 && waitedMs >= timing.answerMs()) {
                probe.tries = 2;
                out.send(probe.seat, Kind.PING, entry.getKey(), -1); // a lost datagram is the likeliest cause
            } else if (probe.tries < 3 && waitedMs >= 2 * timing.answerMs()) {
                probe.tries = 3;
                for (int relay : relays(probe.seat)) {
                    probe.awaited++;
                    out.send(relay, Kind.ASK, entry.getKey(), probe.seat);
                }
            }
        }
        for (Probe probe : failed) {
            health.worse(probe.awaited > 0 ? 1 : 0); // who was asked is not heard either
            out.failed(nowMs, members[probe.seat]);
        }
    }

    /** By way of whom a member is asked: first the one that last brought news of it. */
    private List<Integer> relays(int seat) {
        List<Integer> chosen = new ArrayList<>();
        int by = members[seat].by;
        if (by >= 0 && by != seat && members[by].lives()) {
            chosen.add(by);
        }
        for (int i = 0; i < DRAWS && chosen.size() < RELAYS && !alive.isEmpty(); i++) {
            int other = alive.get(random.nextInt(alive.size()));
            if (other != seat && !chosen.contains(other) && members[other].suspicion == null) {
                chosen.add(other);
            }
        }
        return chosen;
    }

    /** Asks a seat for another member, which has not heard it. */
    void lookFor(double nowMs, int forSeat, int forProbe, int subject) {
        if (relayed.size() < MOST_RELAYED) {
            int number = ++numbers;
            relayed.put(number, new Relayed(forSeat, forProbe, subject, nowMs + timing.answerMs() * health.stretch()));
            out.send(subject, Kind.PING, number, -1);
        }
    }

    /** A relay is there, and has not heard the subject. */
    void noAnswer(int number) {
        Probe probe = probes.get(number);
        if (probe != null) {
            probe.awaited--;
        }
    }

    /** An answer has come, from the member itself or, with {@code subject}, by way of another. */
    void acknowledged(int from, int number, int subject) {
        Relayed asked = relayed.get(number);
        if (asked != null && asked.subject == from) {
            relayed.remove(number);
            out.send(asked.forSeat, Kind.ACK, asked.forProbe, from);
            return;
        }
        Probe probe = probes.get(number);
        if (probe != null && subject < 0 && probe.seat == from) {
            probes.remove(number);
            health.better();
        } else if (probe != null && subject == probe.seat) {
            probes.remove(number);
            members[probe.seat].by = from;
        }
    }
}
