package ivybank.fleet;

import java.util.List;

/**
 * One datagram's content.
 *
 * @param self what the sender says of itself
 * @param to the seat that it is for
 * @param receiverIncarnation the life in which the receiver was last known; 0 for none. Guards against replays: what was meant for an
 *        earlier process changes nothing
 * @param counter of the sender's datagrams to this seat
 * @param digest of the sender's view
 * @param probe which probe it belongs to, or 0
 * @param subject the seat that is to be looked at, or was, for {@link Kind#PING_REQUEST}, {@link Kind#NACK} and an
 *        {@link Kind#ACK} by another; -1 otherwise
 * @param buckets sums of the sender's view, for {@link Kind#SYNC}; empty otherwise
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

    /** What it is. The order is that of the layout on the wire. */
    public enum Kind {
        /** Are you there? */
        PING,
        /** I am, or {@code subject} is. */
        ACK,
        /** Look at {@code subject} for me. */
        PING_REQUEST,
        /** I am here, but {@code subject} has not answered me. */
        NACK,
        /** Words alone. */
        GOSSIP,
        /** Tell me where your view differs from these sums. */
        SYNC
    }

    public Message {
        updates = List.copyOf(updates);
    }
}
