package ivybank.fleet;

import java.util.List;

/**
 * One datagram's content.
 *
 * @param self what the sender says of itself
 * @param to the seat that it is for
 * @param toLife the life in which the receiver was last known; 0 for none. Guards against replays: what was meant for an
 *        earlier process changes nothing
 * @param counter of the sender's datagrams to this seat
 * @param digest of the sender's view
 * @param probe which probe it belongs to, or 0
 * @param subject the seat that is to be looked at, or was, for {@link Kind#ASK}, {@link Kind#NO_ANSWER} and an
 *        {@link Kind#ACK} by another; -1 otherwise
 * @param buckets sums of the sender's view, for {@link Kind#SYNC}; empty otherwise
 */
public record Message(
        Kind kind,
        Word self,
        int to,
        long toLife,
        int counter,
        int digest,
        int probe,
        int subject,
        int[] buckets,
        List<Word> words) {

    /** What it is. The order is that of the layout on the wire. */
    public enum Kind {
        /** Are you there? */
        PING,
        /** I am, or {@code subject} is. */
        ACK,
        /** Look at {@code subject} for me. */
        ASK,
        /** I am here, but {@code subject} has not answered me. */
        NO_ANSWER,
        /** Words alone. */
        WORDS,
        /** Tell me where your view differs from these sums. */
        SYNC
    }

    public Message {
        words = List.copyOf(words);
    }
}
