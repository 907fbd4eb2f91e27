package ivybank.fleet;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The wire format of messages; docs/design/fleet-view.md has the layout. The header and each update carry their
 * lengths, so that a later minor version may add to their ends what this one skips. Another major version is not
 * decoded.
 */
public final class MessageCodec {

    /** Version of the layout that is encoded and decoded. */
    public static final int LAYOUT_VERSION = 1;
    /** Length of the longest datagram, with its signature. */
    public static final int MAX_DATAGRAM_BYTES = 256;
    /** Length of the signature at the end of a datagram. */
    public static final int SIGNATURE_BYTES = 16;

    public static final int MAX_NAME_LENGTH = 24;
    public static final int MAX_ZONE_LENGTH = 12;
    public static final int DIGEST_BUCKETS = 16;
    static final long MAX_INCARNATION = (1L << 48) - 1;
    static final int MAX_VERSION = 0xffff;

    private static final int HEADER_BYTES = 32; // before the sender's announcement
    private static final int UPDATE_HEADER_BYTES =
            1 + 1 + 2 + 6 + 2; // length, kind and state, member, incarnation, version
    private static final int KINDS = Message.Kind.values().length;

    private MessageCodec() {}

    /** Says why bytes can't be decoded. */
    public static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1;
        private final boolean otherVersion;

        MalformedException(String what, boolean otherVersion) {
            super(what, null, false, false);
            this.otherVersion = otherVersion;
        }

        /** Whether they are of a version that this program does not know. */
        public boolean otherVersion() {
            return otherVersion;
        }
    }

    /**
     * Whether a text is short enough and of visible ASCII characters alone, so that it may go into datagrams and logs.
     */
    public static boolean isPrintable(String text, int most) {
        return text.length() <= most && text.chars().allMatch(sign -> sign > ' ' && sign <= '~');
    }

    /** Length of an encoded update. */
    static int encodedSize(MembershipUpdate update) {
        return UPDATE_HEADER_BYTES
                + (update.isAccusation()
                        ? 2
                        : 2 + update.name().length() + update.zone().length());
    }

    /** Bytes for updates beside the header, the sender's announcement and, where it has them, the sums of a message. */
    static int availableBytes(MembershipUpdate self, boolean buckets) {
        return MAX_DATAGRAM_BYTES
                - SIGNATURE_BYTES
                - HEADER_BYTES
                - encodedSize(self)
                - (buckets ? 4 * DIGEST_BUCKETS : 0);
    }

    /**
     * Encodes a message without its signature.
     *
     * @param fleet hash of the fleet's name
     * @param key mark of the key that the sender prefers
     */
    public static byte[] encode(Message message, int fleet, int key) {
        ByteBuffer out = ByteBuffer.allocate(MAX_DATAGRAM_BYTES - SIGNATURE_BYTES);
        out.put((byte) LAYOUT_VERSION).put((byte) message.kind().ordinal()).put((byte) key);
        out.put((byte) HEADER_BYTES).putInt(fleet).putShort((short) message.to());
        putIncarnation(out, message.receiverIncarnation());
        out.putInt(message.counter())
                .putInt(message.digest())
                .putInt(message.probe())
                .putShort((short) message.subject());
        out.put((byte) (message.buckets().length)).put((byte) message.updates().size());
        putUpdate(out, message.self());
        for (int sum : message.buckets()) {
            out.putInt(sum);
        }
        message.updates().forEach(each -> putUpdate(out, each));
        byte[] bytes = new byte[out.position()];
        out.flip().get(bytes);
        return bytes;
    }

    private static void putIncarnation(ByteBuffer out, long incarnation) {
        out.putShort((short) (incarnation >>> 32)).putInt((int) incarnation);
    }

    private static void putUpdate(ByteBuffer out, MembershipUpdate update) {
        out.put((byte) encodedSize(update))
                .put((byte) (update.kind().ordinal() << 4 | update.state().ordinal()))
                .putShort((short) update.memberIndex());
        putIncarnation(out, update.incarnation());
        out.putShort((short) update.version());
        if (update.isAccusation()) {
            out.putShort((short) update.accuser());
            return;
        }
        byte[] name = update.name().getBytes(StandardCharsets.US_ASCII);
        byte[] zone = update.zone().getBytes(StandardCharsets.US_ASCII);
        out.put((byte) name.length).put(name).put((byte) zone.length).put(zone);
    }

    /** The hash of a fleet's name that its datagrams carry. */
    public static int fleetHash(String name) {
        int hash = 0x811c9dc5; // FNV-1a: tells fleets apart, protects nothing
        for (byte each : name.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ each & 0xff) * 0x01000193;
        }
        return hash;
    }

    /** The mark of the key that the sender prefers; the bytes need not be a whole message. */
    public static int preferredKeyOf(byte[] bytes) {
        return bytes.length > 2 ? bytes[2] & 0xff : 0;
    }

    /** The hash of the fleet's name in a datagram; 0 if it is too short. */
    public static int fleetHashOf(byte[] bytes) {
        return bytes.length >= HEADER_BYTES ? ByteBuffer.wrap(bytes).getInt(4) : 0;
    }

    /** Decodes a message without its signature. */
    public static Message decode(byte[] bytes) throws MalformedException {
        checkVersion(bytes);
        try {
            ByteBuffer in = ByteBuffer.wrap(bytes);
            int kind = in.get(1) & 0xff;
            int header = in.get(3) & 0xff;
            if (header < HEADER_BYTES || kind >= KINDS) {
                throw new MalformedException(
                        kind >= KINDS ? "kind " + kind : "a header of " + header + " bytes", kind >= KINDS);
            }
            in.position(8);
            int to = in.getShort() & 0xffff;
            long receiverIncarnation = getIncarnation(in);
            int counter = in.getInt();
            int digest = in.getInt();
            int probe = in.getInt();
            int subject = in.getShort();
            int buckets = in.get() & 0xff;
            int updates = in.get() & 0xff;
            if (buckets != 0 && buckets != DIGEST_BUCKETS) {
                throw new MalformedException(buckets + " sums", false);
            }
            in.position(header);
            MembershipUpdate self = getSender(in);
            int[] sums = getSums(in, buckets);
            return new Message(
                    Message.Kind.values()[kind],
                    self,
                    to,
                    receiverIncarnation,
                    counter,
                    digest,
                    probe,
                    subject,
                    sums,
                    getUpdates(in, updates));
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            throw new MalformedException("cut off", false);
        }
    }

    private static void checkVersion(byte[] bytes) throws MalformedException {
        if (bytes.length < 4) {
            throw new MalformedException("cut off", false);
        }
        if (bytes[0] != LAYOUT_VERSION) {
            throw new MalformedException("version " + (bytes[0] & 0xff), true);
        }
    }

    private static MembershipUpdate getSender(ByteBuffer in) throws MalformedException {
        MembershipUpdate self = getUpdate(in);
        if (self == null || self.isAccusation()) {
            throw new MalformedException("no sender", false);
        }
        return self;
    }

    private static int[] getSums(ByteBuffer in, int count) {
        int[] sums = new int[count];
        for (int i = 0; i < count; i++) {
            sums[i] = in.getInt();
        }
        return sums;
    }

    private static List<MembershipUpdate> getUpdates(ByteBuffer in, int count) throws MalformedException {
        List<MembershipUpdate> updates = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            MembershipUpdate update = getUpdate(in);
            if (update != null) {
                updates.add(update);
            }
        }
        return updates;
    }

    private static long getIncarnation(ByteBuffer in) {
        return (in.getShort() & 0xffffL) << 32 | in.getInt() & 0xffffffffL;
    }

    /** Null for an update of a kind that this version does not know. */
    private static MembershipUpdate getUpdate(ByteBuffer in) throws MalformedException {
        int from = in.position();
        int length = in.get() & 0xff;
        if (length < UPDATE_HEADER_BYTES) {
            throw new MalformedException("a word of " + length + " bytes", false);
        }
        int what = in.get() & 0xff;
        int memberIndex = in.getShort() & 0xffff;
        long incarnation = getIncarnation(in);
        int version = in.getShort() & 0xffff;
        MembershipUpdate update = null;
        if (what >> 4 < MembershipUpdate.Kind.values().length && (what & 15) < MemberState.values().length) {
            MembershipUpdate.Kind kind = MembershipUpdate.Kind.values()[what >> 4];
            MemberState state = MemberState.values()[what & 15];
            update = kind == MembershipUpdate.Kind.ANNOUNCEMENT
                    ? new MembershipUpdate(
                            kind,
                            memberIndex,
                            incarnation,
                            version,
                            state,
                            text(in, MAX_NAME_LENGTH),
                            text(in, MAX_ZONE_LENGTH),
                            -1)
                    : new MembershipUpdate(
                            kind, memberIndex, incarnation, version, state, "", "", in.getShort() & 0xffff);
        }
        if (in.position() - from > length) {
            throw new MalformedException("a word longer than it says", false);
        }
        in.position(from + length);
        return update;
    }

    private static String text(ByteBuffer in, int most) throws MalformedException {
        int length = in.get() & 0xff;
        if (length > most) {
            throw new MalformedException("a text of " + length + " bytes", false);
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        String text = new String(bytes, StandardCharsets.ISO_8859_1); // a sign for each byte
        if (!isPrintable(text, most)) {
            throw new MalformedException("a text with other signs than letters and figures", false);
        }
        return text;
    }
}
