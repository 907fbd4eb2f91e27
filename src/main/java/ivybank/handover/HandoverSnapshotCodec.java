package ivybank.handover;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * A snapshot as bytes: a mark, the version of the form, the length of what follows, that, and the CRC-32C of all before it.
 * What is damaged, foreign or of another version is told as {@link Unreadable}, never taken in part.
 */
public final class HandoverSnapshotCodec {

    /** Bytes that hold no memory of this version; the message says why. */
    public static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1;

        Unreadable(String why) {
            super(why);
        }
    }

    private static final int MARK = 0x49564d59;
    private static final short VERSION = 2;
    private static final int HEAD_BYTES = 4 + 2 + 4;
    private static final int SUM_BYTES = 4;
    /** More than any fleet needs: some 60 bytes for each node. */
    public static final int MOST_BYTES = 1 << 20;

    private static final int MOST_NODES = 8192;
    private static final int LONGEST_ID = 512;

    private HandoverSnapshotCodec() {}

    /**
     * Writes it in the layout of the class comment.
     *
     * @param memory of which nodes beyond the most that fit are left out
     */
    public static byte[] write(HandoverSnapshot memory) {
        LearnedState<String> learned = memory.learned();
        List<Map.Entry<byte[], LearnedState.NodeState>> nodes = new ArrayList<>();
        int bytes = 0;
        for (Map.Entry<String, LearnedState.NodeState> node : learned.nodes().entrySet()) {
            byte[] id = node.getKey().getBytes(StandardCharsets.UTF_8);
            if (id.length <= LONGEST_ID && nodes.size() < MOST_NODES) {
                nodes.add(Map.entry(id, node.getValue()));
                bytes += id.length + 40;
            }
        }
        ByteBuffer out = ByteBuffer.allocate(HEAD_BYTES
                + SUM_BYTES
                + 64
                + bytes
                + 20 * learned.classes().size()
                + 12 * learned.maxRateByKind().size());
        out.putInt(MARK).putShort(VERSION).putInt(0);
        out.putDouble(memory.writtenMs()).putInt(memory.inHand()).putInt(memory.descriptors());
        out.putDouble(learned.admittedShare()).putDouble(learned.extraAttempts());
        out.putInt(learned.classes().size());
        learned.classes()
                .forEach(its ->
                        out.putDouble(its.typicalMs()).putDouble(its.quietMs()).putInt(its.answers()));
        out.putInt(learned.maxRateByKind().size());
        learned.maxRateByKind().forEach((kind, perMs) -> out.putInt(kind).putDouble(perMs));
        out.putInt(nodes.size());
        for (Map.Entry<byte[], LearnedState.NodeState> entry : nodes) {
            LearnedState.NodeState node = entry.getValue();
            out.putShort((short) entry.getKey().length).put(entry.getKey());
            out.putDouble(node.startedMs())
                    .putDouble(node.rank())
                    .putDouble(node.share())
                    .putFloat((float) node.window());
            out.putInt(node.inFlight()).put((byte) (node.aside() ? 1 : 0));
        }
        out.putInt(HEAD_BYTES - 4, out.position() - HEAD_BYTES);
        out.putInt((int) sum(out.array(), out.position()));
        byte[] written = new byte[out.position()];
        out.flip().get(written);
        return written;
    }

    public static HandoverSnapshot read(byte[] bytes) throws Unreadable {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (bytes.length < HEAD_BYTES + SUM_BYTES || in.getInt() != MARK) {
            throw new Unreadable(bytes.length == 0 ? "it is empty" : "it holds something else");
        }
        short version = in.getShort();
        if (version != VERSION) {
            throw new Unreadable("it is of version " + version + ", and this program reads " + VERSION);
        }
        int length = in.getInt();
        if (length != bytes.length - HEAD_BYTES - SUM_BYTES) {
            throw new Unreadable("it is cut off or too long");
        }
        if ((int) sum(bytes, HEAD_BYTES + length) != in.getInt(HEAD_BYTES + length)) {
            throw new Unreadable("its checksum is wrong");
        }
        try {
            return body(in);
        } catch (RuntimeException e) {
            throw new Unreadable("its figures make no sense");
        }
    }

    private static HandoverSnapshot body(ByteBuffer in) {
        double writtenMs = in.getDouble();
        int inHand = in.getInt();
        int descriptors = in.getInt();
        double admitted = in.getDouble();
        double extra = in.getDouble();
        List<LearnedState.ClassState> classes = new ArrayList<>();
        for (int left = in.getInt(); left > 0; left--) {
            classes.add(new LearnedState.ClassState(in.getDouble(), in.getDouble(), in.getInt()));
        }
        Map<Integer, Double> carried = new HashMap<>();
        for (int left = in.getInt(); left > 0; left--) {
            carried.put(in.getInt(), in.getDouble());
        }
        Map<String, LearnedState.NodeState> nodes = new HashMap<>();
        for (int left = in.getInt(); left > 0; left--) {
            byte[] id = new byte[in.getShort()];
            in.get(id);
            nodes.put(
                    new String(id, StandardCharsets.UTF_8),
                    new LearnedState.NodeState(
                            in.getDouble(), in.getDouble(), in.getDouble(), in.getFloat(), in.getInt(), in.get() != 0));
        }
        return new HandoverSnapshot(
                writtenMs, inHand, descriptors, new LearnedState<>(admitted, extra, classes, nodes, carried));
    }

    private static long sum(byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return sum.getValue();
    }
}
