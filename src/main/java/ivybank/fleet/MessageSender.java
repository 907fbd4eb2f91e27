package ivybank.fleet;

import ivybank.fleet.Message.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ObjIntConsumer;

/** Composes messages to other members and fills the room that is left in each datagram with gossip. */
final class MessageSender {

    /** Times that an update is sent, for each doubling of the fleet. */
    private static final int RETRANSMIT_MULTIPLIER = 2;

    private static final int NO_SUBJECT = -1;
    private static final int[] NO_SUMS = {};

    private final ViewState view;
    private final ObjIntConsumer<Message> transport;

    /** @param transport takes each message with the index of the member that it is for */
    MessageSender(ViewState view, ObjIntConsumer<Message> transport) {
        this.view = view;
        this.transport = transport;
    }

    /** Sends gossip alone. */
    void sendGossip(int to) {
        send(to, Kind.GOSSIP, 0, NO_SUBJECT);
    }

    /** Sends a message of a probe. {@code subject}: the member that is looked at on behalf of another, or -1. */
    void send(int to, Kind kind, int probe, int subject) {
        sendWithGossip(to, incarnationOf(to), kind, probe, subject, NO_SUMS, null);
    }

    /** Asks a member for the differences to the sums of this view. */
    void sendSyncRequest(int to, int[] shortSums) {
        sendWithGossip(to, incarnationOf(to), Kind.SYNC, 0, NO_SUBJECT, shortSums, null);
    }

    /**
     * Replies to a message in the incarnation that its sender announces: acknowledges a ping, and sends gossip
     * otherwise.
     *
     * @param first update to tell before all others; null for none
     */
    void reply(Member to, Message message, MembershipUpdate first) {
        boolean ping = message.kind() == Kind.PING;
        sendWithGossip(
                to.index,
                message.self().incarnation(),
                ping ? Kind.ACK : Kind.GOSSIP,
                ping ? message.probe() : 0,
                NO_SUBJECT,
                NO_SUMS,
                first);
    }

    /** Sends just these updates. */
    void sendUpdates(int to, List<MembershipUpdate> updates) {
        transmit(to, incarnationOf(to), Kind.GOSSIP, 0, NO_SUBJECT, NO_SUMS, updates);
    }

    private long incarnationOf(int index) {
        return view.members.get(index).incarnation;
    }

    private void sendWithGossip(
            int to,
            long receiverIncarnation,
            Kind kind,
            int probe,
            int subject,
            int[] shortSums,
            MembershipUpdate first) {
        List<MembershipUpdate> updates = new ArrayList<>();
        MembershipUpdate leading = first != null ? first : accusationOf(view.members.get(to));
        if (leading != null) {
            updates.add(leading);
        }
        int availableBytes = MessageCodec.availableBytes(view.self().announcement(), shortSums.length > 0)
                - updates.stream().mapToInt(MessageCodec::encodedSize).sum();
        view.gossip.take(availableBytes, maxTransmissions(), updates);
        transmit(to, receiverIncarnation, kind, probe, subject, shortSums, updates);
    }

    /** What a member has to refute, which is told to it before all else; null for nothing. */
    private MembershipUpdate accusationOf(Member member) {
        Suspicion suspicion = member.suspicion;
        if (suspicion != null && !suspicion.accusers().isEmpty()) {
            int accuser = suspicion.accusers().get(0);
            return suspicion.isShortened()
                    ? MembershipUpdate.declaredDead(
                            member.index, member.incarnation, suspicion.version, MemberState.DEAD, accuser)
                    : MembershipUpdate.suspect(member.index, member.incarnation, suspicion.version, accuser);
        }
        if (!member.isAlive() && member.deadIncarnation > 0) {
            return member.deathDeclaration(view.self().index);
        }
        return null;
    }

    private int maxTransmissions() {
        int bitsOfFleetSize = Integer.SIZE - Integer.numberOfLeadingZeros(view.members.aliveCount() + 1);
        return RETRANSMIT_MULTIPLIER * (bitsOfFleetSize + 1);
    }

    private void transmit(
            int to,
            long receiverIncarnation,
            Kind kind,
            int probe,
            int subject,
            int[] shortSums,
            List<MembershipUpdate> updates) {
        view.counters.sent++;
        Message message = new Message(
                kind,
                view.self().announcement(),
                to,
                receiverIncarnation,
                ++view.members.get(to).sentDatagrams,
                view.members.digest().shortValue(),
                probe,
                subject,
                shortSums,
                updates);
        transport.accept(message, to);
    }
}
