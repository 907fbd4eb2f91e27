package ivybank.fleet;

import java.util.List;

/**
 * The content of one datagram.
 *
 * @param self what the sender announces of itself
 * @param to index of the receiver
 * @param receiverIncarnation the receiver's incarnation as the sender knows it, 0 for none. A receiver that has not had
 *     this incarnation itself believes nothing of the message, so that recorded datagrams change nothing after a
 *     restart
 * @param counter of the sender's datagrams to this receiver
 * @param digest of the sender's view
 * @param probe number of the probe that the message belongs to, or 0
 * @param subject index of the member that a relay probes, for {@link Kind#PING_REQUEST}, {@link Kind#NACK} and an
 *     {@link Kind#ACK} by a relay; -1 otherwise
 * @param buckets the sums of the sender's digest, for {@link Kind#SYNC}; empty otherwise
 * @param updates on members, gossip among them
 */
public record Message(
        Kind kind,
        MembershipUpdate self,
        int to,
        long receiverIncarnation,
        int counter,
        int digest,
        int probe,
        int subject,
        int[] buckets,
        List<MembershipUpdate> updates) {

    /** The kinds of messages, in the order of the wire format. */
    public enum Kind {
        /** Asks the receiver for an acknowledgement. */
        PING,
        /** Acknowledges a ping; by a relay, on behalf of {@code subject}. */
        ACK,
        /** Asks a relay to ping {@code subject}. */
        PING_REQUEST,
        /** Tells by a relay that {@code subject} has not acknowledged its ping. */
        NACK,
        /** Carries updates alone. */
        GOSSIP,
        /** Asks for the members that differ from the sums of the digest. */
        SYNC
    }

    public Message {
        updates = List.copyOf(updates);
    }
}
