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
final class FailureDetector {

    /** What is to be done. */
    interface Output {
        void send(int to, Kind kind, int probe, int subject);

        /** A probe of a member that lives by the view has failed by every way. */
        void failed(double nowMs, Member member);
    }

    private static final int INDIRECT_PROBES = 3;
    private static final int MAX_OPEN_PROBES = 8;
    private static final int MAX_INDIRECT_PROBES = 64;
    private static final int RELAY_DRAWS = 12;

    private static final class Probe {
        private final int target;
        private final long incarnation;
        private final double sentMs;
        private final boolean discovery; // of a seat that nobody is known to have
        private int tries = 1;
        private int missingNacks; // relays that have said nothing

        private Probe(int target, long incarnation, double sentMs, boolean discovery) {
            this.target = target;
            this.incarnation = incarnation;
            this.sentMs = sentMs;
            this.discovery = discovery;
        }
    }

    private record IndirectProbe(int forSeat, int forProbe, int subject, double deadlineMs) {}

    private final FleetTiming timing;
    private final Random random;
    private final LocalHealth health;
    private final List<Integer> alive; // the view's
    private final Member[] members; // the view's
    private final Output out;
    private final List<Integer> order = new ArrayList<>();
    private final Map<Integer, Probe> probes = new TreeMap<>();
    private final Map<Integer, IndirectProbe> relayed = new TreeMap<>();
    private int numbers;
    private double nextMs;

    FailureDetector(
            FleetTiming timing, Random random, LocalHealth health, List<Integer> alive, Member[] members, Output out) {
        this.timing = timing;
        this.random = random;
        this.health = health;
        this.alive = alive;
        this.members = members;
        this.out = out;
    }

    /** Begins no round before then. */
    void postpone(double untilMs) {
        nextMs = untilMs;
    }

    /** What is open is void. */
    void abandonAll() {
        probes.clear();
        relayed.clear();
    }

    /** A member that lives now: it gets a place of its own in this round, so that not all probe it at once. */
    void memberJoined(int memberIndex) {
        order.add(random.nextInt(order.size() + 1), memberIndex);
    }

    void tick(double nowMs) {
        endProbes(nowMs);
        for (Iterator<IndirectProbe> i = relayed.values().iterator(); i.hasNext(); ) {
            IndirectProbe each = i.next();
            if (nowMs >= each.deadlineMs) {
                i.remove();
                out.send(each.forSeat, Kind.NACK, each.forProbe, each.subject);
            }
        }
        if (nowMs >= nextMs) {
            nextMs = nowMs + timing.probePeriodMs() * health.multiplier();
            int memberIndex = nextInOrder();
            if (memberIndex >= 0) {
                probe(nowMs, memberIndex, false);
            }
        }
    }

    private int nextInOrder() {
        while (!order.isEmpty()) {
            int memberIndex = order.remove(order.size() - 1);
            if (members[memberIndex].isAlive()) {
                return memberIndex;
            }
        }
        order.addAll(alive);
        Collections.shuffle(order, random);
        return order.isEmpty() ? -1 : order.remove(order.size() - 1);
    }

    /** Asks a seat whether it is there, unless that has been asked already. */
    void probe(double nowMs, int memberIndex, boolean discovery) {
        if (probes.size() < MAX_OPEN_PROBES
                && probes.values().stream().noneMatch(probe -> probe.target == memberIndex)) {
            int number = ++numbers;
            probes.put(number, new Probe(memberIndex, members[memberIndex].incarnation, nowMs, discovery));
            out.send(memberIndex, Kind.PING, number, -1);
        }
    }

    private void endProbes(double nowMs) {
        List<Probe> failed = new ArrayList<>();
        for (Iterator<Map.Entry<Integer, Probe>> i = probes.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Integer, Probe> entry = i.next();
            Probe probe = entry.getValue();
            Member member = members[probe.target];
            double waitedMs = (nowMs - probe.sentMs) / health.multiplier();
            if (member.lastHeardMs > probe.sentMs
                    || !probe.discovery && (!member.isAlive() || member.incarnation != probe.incarnation)) {
                i.remove();
            } else if (probe.discovery) {
                if (waitedMs >= timing.ackTimeoutMs()) {
                    i.remove();
                }
            } else if (waitedMs >= timing.probePeriodMs()) {
                i.remove();
                failed.add(probe);
            } else if (probe.tries < 2 && waitedMs >= timing.ackTimeoutMs()) {
                probe.tries = 2;
                out.send(probe.target, Kind.PING, entry.getKey(), -1); // a lost datagram is the likeliest cause
            } else if (probe.tries < 3 && waitedMs >= 2 * timing.ackTimeoutMs()) {
                probe.tries = 3;
                for (int relay : relays(probe.target)) {
                    probe.missingNacks++;
                    out.send(relay, Kind.PING_REQUEST, entry.getKey(), probe.target);
                }
            }
        }
        for (Probe probe : failed) {
            health.degrade(probe.missingNacks > 0 ? 1 : 0); // who was asked is not heard either
            out.failed(nowMs, members[probe.target]);
        }
    }

    /** By way of whom a member is asked: first the one that last brought news of it. */
    private List<Integer> relays(int memberIndex) {
        List<Integer> chosen = new ArrayList<>();
        int by = members[memberIndex].by;
        if (by >= 0 && by != memberIndex && members[by].isAlive()) {
            chosen.add(by);
        }
        for (int i = 0; i < RELAY_DRAWS && chosen.size() < INDIRECT_PROBES && !alive.isEmpty(); i++) {
            int other = alive.get(random.nextInt(alive.size()));
            if (other != memberIndex && !chosen.contains(other) && members[other].suspicion == null) {
                chosen.add(other);
            }
        }
        return chosen;
    }

    /** Asks a seat for another member, which has not heard it. */
    void probeFor(double nowMs, int forSeat, int forProbe, int subject) {
        if (relayed.size() < MAX_INDIRECT_PROBES) {
            int number = ++numbers;
            relayed.put(
                    number,
                    new IndirectProbe(forSeat, forProbe, subject, nowMs + timing.ackTimeoutMs() * health.multiplier()));
            out.send(subject, Kind.PING, number, -1);
        }
    }

    /** A relay is there, and has not heard the subject. */
    void nackReceived(int number) {
        Probe probe = probes.get(number);
        if (probe != null) {
            probe.missingNacks--;
        }
    }

    /** An answer has come, from the member itself or, with {@code subject}, by way of another. */
    void ackReceived(int from, int number, int subject) {
        IndirectProbe asked = relayed.get(number);
        if (asked != null && asked.subject == from) {
            relayed.remove(number);
            out.send(asked.forSeat, Kind.ACK, asked.forProbe, from);
            return;
        }
        Probe probe = probes.get(number);
        if (probe != null && subject < 0 && probe.target == from) {
            probes.remove(number);
            health.improve();
        } else if (probe != null && subject == probe.target) {
            probes.remove(number);
            members[probe.target].by = from;
        }
    }
}
