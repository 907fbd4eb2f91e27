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
    public static final int VERSION = 1;
    /** What a datagram holds at most, with its signature. */
    public static final int LONGEST = 256;
    /** Bytes that a signature takes at the end. */
    public static final int SIGNATURE = 16;

    public static final int LONGEST_NAME = 24;
    public static final int LONGEST_ZONE = 12;
    public static final int BUCKETS = 16;
    static final long MOST_LIFE = (1L << 48) - 1;
    static final int MOST_TURN = 0xffff;

    private static final int FIXED = 32; // before the sender's word
    private static final int WORD_FIXED = 1 + 1 + 2 + 6 + 2; // length, kind and standing, seat, life, turn
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
    public static boolean carries(String text, int most) {
        return text.length() <= most && text.chars().allMatch(sign -> sign > ' ' && sign <= '~');
    }

    /** Bytes that a word takes. */
    static int size(Word word) {
        return WORD_FIXED
                + (word.accuses() ? 2 : 2 + word.name().length() + word.zone().length());
    }

    /** Bytes left for words beside what a message of this kind has in any case. */
    static int room(Word self, boolean buckets) {
        return LONGEST - SIGNATURE - FIXED - size(self) - (buckets ? 4 * BUCKETS : 0);
    }

    /** Writes a message but for its signature. {@code key} tells which key the sender prefers. */
    public static byte[] write(Message message, int fleet, int key) {
        ByteBuffer out = ByteBuffer.allocate(LONGEST - SIGNATURE);
        out.put((byte) VERSION).put((byte) message.kind().ordinal()).put((byte) key);
        out.put((byte) FIXED).putInt(fleet).putShort((short) message.to());
        life(out, message.toLife());
        out.putInt(message.counter())
                .putInt(message.digest())
                .putInt(message.probe())
                .putShort((short) message.subject());
        out.put((byte) (message.buckets().length)).put((byte) message.words().size());
        word(out, message.self());
        for (int sum : message.buckets()) {
            out.putInt(sum);
        }
        message.words().forEach(each -> word(out, each));
        byte[] bytes = new byte[out.position()];
        out.flip().get(bytes);
        return bytes;
    }

    private static void life(ByteBuffer out, long life) {
        out.putShort((short) (life >>> 32)).putInt((int) life);
    }

    private static void word(ByteBuffer out, Word word) {
        out.put((byte) size(word))
                .put((byte) (word.kind().ordinal() << 4 | word.standing().ordinal()))
                .putShort((short) word.seat());
        life(out, word.life());
        out.putShort((short) word.turn());
        if (word.accuses()) {
            out.putShort((short) word.accuser());
            return;
        }
        byte[] name = word.name().getBytes(StandardCharsets.US_ASCII);
        byte[] zone = word.zone().getBytes(StandardCharsets.US_ASCII);
        out.put((byte) name.length).put(name).put((byte) zone.length).put(zone);
    }

    /** The name of the fleet, as its datagrams carry it. */
    public static int fleet(String name) {
        int hash = 0x811c9dc5; // FNV-1a: tells fleets apart, protects nothing
        for (byte each : name.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ each & 0xff) * 0x01000193;
        }
        return hash;
    }

    /** Which key the sender of these bytes prefers; they need not be whole. */
    public static int key(byte[] bytes) {
        return bytes.length > 2 ? bytes[2] & 0xff : 0;
    }

    /** Whose fleet these bytes belong to; 0 if they are too few to tell. */
    public static int fleetOf(byte[] bytes) {
        return bytes.length >= FIXED ? ByteBuffer.wrap(bytes).getInt(4) : 0;
    }

    /** Reads a message without its signature. */
    public static Message read(byte[] bytes) throws MalformedException {
        if (bytes.length < 4) {
            throw new MalformedException("cut off", false);
        }
        if (bytes[0] != VERSION) {
            throw new MalformedException("version " + (bytes[0] & 0xff), true);
        }
        try {
            ByteBuffer in = ByteBuffer.wrap(bytes);
            int kind = in.get(1) & 0xff;
            int header = in.get(3) & 0xff;
            if (header < FIXED || kind >= KINDS) {
                throw new MalformedException(
                        kind >= KINDS ? "kind " + kind : "a header of " + header + " bytes", kind >= KINDS);
            }
            in.position(8);
            int to = in.getShort() & 0xffff;
            long toLife = life(in);
            int counter = in.getInt();
            int digest = in.getInt();
            int probe = in.getInt();
            int subject = in.getShort();
            int buckets = in.get() & 0xff;
            int words = in.get() & 0xff;
            if (buckets != 0 && buckets != BUCKETS) {
                throw new MalformedException(buckets + " sums", false);
            }
            in.position(header);
            Word self = word(in);
            if (self == null || self.accuses()) {
                throw new MalformedException("no sender", false);
            }
            int[] sums = new int[buckets];
            for (int i = 0; i < buckets; i++) {
                sums[i] = in.getInt();
            }
            List<Word> read = new ArrayList<>(words);
            for (int i = 0; i < words; i++) {
                Word word = word(in);
                if (word != null) {
                    read.add(word);
                }
            }
            return new Message(
                    Message.Kind.values()[kind], self, to, toLife, counter, digest, probe, subject, sums, read);
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            throw new MalformedException("cut off", false);
        }
    }

    private static long life(ByteBuffer in) {
        return (in.getShort() & 0xffffL) << 32 | in.getInt() & 0xffffffffL;
    }

    /** Null for one of a kind that this version does not know. */
    private static Word word(ByteBuffer in) throws MalformedException {
        int from = in.position();
        int length = in.get() & 0xff;
        if (length < WORD_FIXED) {
            throw new MalformedException("a word of " + length + " bytes", false);
        }
        int what = in.get() & 0xff;
        int seat = in.getShort() & 0xffff;
        long life = life(in);
        int turn = in.getShort() & 0xffff;
        Word word = null;
        if (what >> 4 < Word.Kind.values().length && (what & 15) < Standing.values().length) {
            Word.Kind kind = Word.Kind.values()[what >> 4];
            Standing standing = Standing.values()[what & 15];
            word = kind == Word.Kind.STATEMENT
                    ? new Word(kind, seat, life, turn, standing, text(in, LONGEST_NAME), text(in, LONGEST_ZONE), -1)
                    : new Word(kind, seat, life, turn, standing, "", "", in.getShort() & 0xffff);
        }
        if (in.position() - from > length) {
            throw new MalformedException("a word longer than it says", false);
        }
        in.position(from + length);
        return word;
    }

    private static String text(ByteBuffer in, int most) throws MalformedException {
        int length = in.get() & 0xff;
        if (length > most) {
            throw new MalformedException("a text of " + length + " bytes", false);
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        String text = new String(bytes, StandardCharsets.ISO_8859_1); // a sign for each byte
        if (!carries(text, most)) {
            throw new MalformedException("a text with other signs than letters and figures", false);
        }
        return text;
    }
}
