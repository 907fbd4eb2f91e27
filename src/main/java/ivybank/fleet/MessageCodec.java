package ivybank.fleet;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Messages as bytes; docs/design/fleet-view.md has the layout. Header and words carry their lengths, so that a later minor
 * version may add to their ends what this one passes over; a layout of another major version is not read.
 */
public final class MessageCodec {

    /** The layout that is written and read. */
    public static final int LAYOUT_VERSION = 1;
    /** What a datagram holds at most, with its signature. */
    public static final int MAX_DATAGRAM_BYTES = 256;
    /** Bytes that a signature takes at the end. */
    public static final int SIGNATURE_BYTES = 16;

    public static final int MAX_NAME_LENGTH = 24;
    public static final int MAX_ZONE_LENGTH = 12;
    public static final int DIGEST_BUCKETS = 16;
    static final long MAX_INCARNATION = (1L << 48) - 1;
    static final int MAX_VERSION = 0xffff;

    private static final int HEADER_BYTES = 32; // before the sender's word
    private static final int UPDATE_HEADER_BYTES = 1 + 1 + 2 + 6 + 2; // length, kind and standing, seat, life, turn
    private static final int KINDS = Message.Kind.values().length;

    private MessageCodec() {}

    /** What can't be read. */
    public static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1;
        private final boolean otherVersion;

        MalformedException(String what, boolean otherVersion) {
            super(what, null, false, false);
            this.otherVersion = otherVersion;
        }

        /** Whether it is of a version that this program does not know. */
        public boolean otherVersion() {
            return otherVersion;
        }
    }

    /** Whether a text of so many signs at most can be a name or a zone: signs that are seen, since it goes into logs. */
    public static boolean isPrintable(String text, int most) {
        return text.length() <= most && text.chars().allMatch(sign -> sign > ' ' && sign <= '~');
    }

    /** Bytes that a word takes. */
    static int encodedSize(MembershipUpdate update) {
        return UPDATE_HEADER_BYTES
                + (update.isAccusation()
                        ? 2
                        : 2 + update.name().length() + update.zone().length());
    }

    /** Bytes left for words beside what a message of this kind has in any case. */
    static int availableBytes(MembershipUpdate self, boolean buckets) {
        return MAX_DATAGRAM_BYTES
                - SIGNATURE_BYTES
                - HEADER_BYTES
                - encodedSize(self)
                - (buckets ? 4 * DIGEST_BUCKETS : 0);
    }

    /** Writes a message but for its signature. {@code key} tells which key the sender prefers. */
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

    /** The name of the fleet, as its datagrams carry it. */
    public static int fleetHash(String name) {
        int hash = 0x811c9dc5; // FNV-1a: tells fleets apart, protects nothing
        for (byte each : name.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ each & 0xff) * 0x01000193;
        }
        return hash;
    }

    /** Which key the sender of these bytes prefers; they need not be whole. */
    public static int preferredKeyOf(byte[] bytes) {
        return bytes.length > 2 ? bytes[2] & 0xff : 0;
    }

    /** Whose fleet these bytes belong to; 0 if they are too few to tell. */
    public static int fleetHashOf(byte[] bytes) {
        return bytes.length >= HEADER_BYTES ? ByteBuffer.wrap(bytes).getInt(4) : 0;
    }

    /** Reads a message without its signature. */
    public static Message decode(byte[] bytes) throws MalformedException {
        if (bytes.length < 4) {
            throw new MalformedException("cut off", false);
        }
        if (bytes[0] != LAYOUT_VERSION) {
            throw new MalformedException("version " + (bytes[0] & 0xff), true);
        }
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
            MembershipUpdate self = getUpdate(in);
            if (self == null || self.isAccusation()) {
                throw new MalformedException("no sender", false);
            }
            int[] sums = new int[buckets];
            for (int i = 0; i < buckets; i++) {
                sums[i] = in.getInt();
            }
            List<MembershipUpdate> read = new ArrayList<>(updates);
            for (int i = 0; i < updates; i++) {
                MembershipUpdate update = getUpdate(in);
                if (update != null) {
                    read.add(update);
                }
            }
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
                    read);
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            throw new MalformedException("cut off", false);
        }
    }

    private static long getIncarnation(ByteBuffer in) {
        return (in.getShort() & 0xffffL) << 32 | in.getInt() & 0xffffffffL;
    }

    /** Null for one of a kind that this version does not know. */
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
