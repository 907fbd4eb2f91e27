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
 * Probes one live member a period, in a shuffled order: a ping, a second one, then pings by way of other members. A
 * probe fails when the period ends without a sign of the member. Also probes members on behalf of others.
 */
final class FailureDetector {

    /** Takes note of probes that failed. */
    interface FailureListener {
        /** A live member gave no sign by any way. */
        void probeFailed(double nowMs, Member member);
    }

    private static final int RELAYS_PER_PROBE = 3;
    private static final int MAX_RELAY_DRAWS = 12;
    private static final int MAX_PROBES = 8;
    private static final int MAX_RELAYED_PROBES = 64;
    private static final int NO_SUBJECT = -1;
    private static final int NO_MEMBER = -1;

    private enum Stage {
        PINGED,
        PINGED_AGAIN,
        RELAYED
    }

    private static final class Probe {
        private final int number;
        private final Member target;
        private final long incarnation;
        private final double sentMs;
        private final boolean discovery; // of an address where nobody is known to be alive
        private Stage stage = Stage.PINGED;
        private int missingNacks; // relays that have not answered at all

        private Probe(int number, Member target, double sentMs, boolean discovery) {
            this.number = number;
            this.target = target;
            this.incarnation = target.incarnation;
            this.sentMs = sentMs;
            this.discovery = discovery;
        }

        /** Whether the target has been heard meanwhile, or is no longer the member that was probed. */
        private boolean isObsolete() {
            boolean heard = target.lastHeardMs > sentMs;
            return heard || !discovery && (!target.isAlive() || target.incarnation != incarnation);
        }
    }

    /** A probe of {@code subject} on behalf of a member, by that member's number of it. */
    private record RelayedProbe(int requester, int requesterProbe, int subject, double deadlineMs) {}

    private final FleetTiming timing;
    private final Random random;
    private final LocalHealth health;
    private final MemberTable members;
    private final MessageSender sender;
    private FailureListener listener = (nowMs, member) -> {};
    private final List<Integer> probeOrder = new ArrayList<>();
    private final Map<Integer, Probe> probes = new TreeMap<>();
    private final Map<Integer, RelayedProbe> relayedProbes = new TreeMap<>();
    private int lastNumber;
    private double nextProbeMs;

    FailureDetector(ViewState view, MessageSender sender) {
        this.timing = view.timing;
        this.random = view.random;
        this.health = view.health;
        this.members = view.members;
        this.sender = sender;
    }

    void onFailure(FailureListener to) {
        listener = to;
    }

    /** Begins no period before then. */
    void postpone(double untilMs) {
        nextProbeMs = untilMs;
    }

    /** Drops all open probes without a result. */
    void abandonAll() {
        probes.clear();
        relayedProbes.clear();
    }

    /**
     * Puts a member at a random place of the present round, so that a fleet does not probe a new member all at once.
     */
    void memberJoined(Member member) {
        probeOrder.add(random.nextInt(probeOrder.size() + 1), member.index);
    }

    void tick(double nowMs) {
        advanceProbes(nowMs);
        expireRelayedProbes(nowMs);
        if (nowMs >= nextProbeMs) {
            nextProbeMs = nowMs + timing.probePeriodMs() * health.multiplier();
            int target = nextInOrder();
            if (target != NO_MEMBER) {
                probe(nowMs, target, false);
            }
        }
    }

    private int nextInOrder() {
        while (!probeOrder.isEmpty()) {
            int index = probeOrder.remove(probeOrder.size() - 1);
            if (members.get(index).isAlive()) {
                return index;
            }
        }
        probeOrder.addAll(members.alive());
        Collections.shuffle(probeOrder, random);
        return probeOrder.isEmpty() ? NO_MEMBER : probeOrder.remove(probeOrder.size() - 1);
    }

    /**
     * Probes a member, unless that is being done.
     *
     * @param discovery whether nobody is known to be alive there, so that silence is no failure
     */
    void probe(double nowMs, int target, boolean discovery) {
        if (probes.size() < MAX_PROBES && probes.values().stream().noneMatch(probe -> probe.target.index == target)) {
            Probe probe = new Probe(++lastNumber, members.get(target), nowMs, discovery);
            probes.put(probe.number, probe);
            sender.send(target, Kind.PING, probe.number, NO_SUBJECT);
        }
    }

    private void advanceProbes(double nowMs) {
        List<Probe> failed = new ArrayList<>();
        for (Iterator<Probe> i = probes.values().iterator(); i.hasNext(); ) {
            Probe probe = i.next();
            double waitedMs = (nowMs - probe.sentMs) / health.multiplier();
            double limitMs = probe.discovery ? timing.ackTimeoutMs() : timing.probePeriodMs();
            if (probe.isObsolete()) {
                i.remove();
            } else if (waitedMs >= limitMs) {
                i.remove();
                if (!probe.discovery) {
                    failed.add(probe);
                }
            } else if (!probe.discovery) {
                advance(probe, waitedMs);
            }
        }
        for (Probe probe : failed) {
            if (probe.missingNacks > 0) {
                health.degrade(1); // not even the relays are heard: the fault may be here
            }
            listener.probeFailed(nowMs, probe.target);
        }
    }

    private void advance(Probe probe, double waitedMs) {
        if (probe.stage == Stage.PINGED && waitedMs >= timing.ackTimeoutMs()) {
            probe.stage = Stage.PINGED_AGAIN; // a lost datagram is the likeliest cause
            sender.send(probe.target.index, Kind.PING, probe.number, NO_SUBJECT);
        } else if (probe.stage != Stage.RELAYED && waitedMs >= 2 * timing.ackTimeoutMs()) {
            probe.stage = Stage.RELAYED;
            for (int relay : relaysTo(probe.target)) {
                probe.missingNacks++;
                sender.send(relay, Kind.PING_REQUEST, probe.number, probe.target.index);
            }
        }
    }

    /** The member that last relayed news of the target comes first, then random ones. */
    private List<Integer> relaysTo(Member target) {
        List<Integer> relays = new ArrayList<>();
        int last = target.lastRelay;
        if (last >= 0 && last != target.index && members.get(last).isAlive()) {
            relays.add(last);
        }
        List<Integer> alive = members.alive();
        for (int i = 0; i < MAX_RELAY_DRAWS && relays.size() < RELAYS_PER_PROBE && !alive.isEmpty(); i++) {
            int other = alive.get(random.nextInt(alive.size()));
            if (other != target.index && !relays.contains(other) && members.get(other).suspicion == null) {
                relays.add(other);
            }
        }
        return relays;
    }

    /** Probes a member on behalf of another one that has not heard it. */
    void probeFor(double nowMs, int requester, int requesterProbe, int subject) {
        if (relayedProbes.size() < MAX_RELAYED_PROBES) {
            int number = ++lastNumber;
            double deadlineMs = nowMs + timing.ackTimeoutMs() * health.multiplier();
            relayedProbes.put(number, new RelayedProbe(requester, requesterProbe, subject, deadlineMs));
            sender.send(subject, Kind.PING, number, NO_SUBJECT);
        }
    }

    private void expireRelayedProbes(double nowMs) {
        for (Iterator<RelayedProbe> i = relayedProbes.values().iterator(); i.hasNext(); ) {
            RelayedProbe relayed = i.next();
            if (nowMs >= relayed.deadlineMs) {
                i.remove();
                sender.send(relayed.requester, Kind.NACK, relayed.requesterProbe, relayed.subject);
            }
        }
    }

    /** A relay is there, and has not heard the member that it was to probe. */
    void nackReceived(int number) {
        Probe probe = probes.get(number);
        if (probe != null) {
            probe.missingNacks--;
        }
    }

    /**
     * A ping was acknowledged.
     *
     * @param subject the probed member where the acknowledgement came by a relay; -1 where it came from that member
     *     itself
     */
    void ackReceived(int from, int number, int subject) {
        RelayedProbe relayed = relayedProbes.get(number);
        if (relayed != null && relayed.subject == from) {
            relayedProbes.remove(number);
            sender.send(relayed.requester, Kind.ACK, relayed.requesterProbe, from);
            return;
        }
        Probe probe = probes.get(number);
        if (probe != null && subject < 0 && probe.target.index == from) {
            probes.remove(number);
            health.improve();
        } else if (probe != null && subject == probe.target.index) {
            probes.remove(number);
            probe.target.lastRelay = from;
        }
    }
}
