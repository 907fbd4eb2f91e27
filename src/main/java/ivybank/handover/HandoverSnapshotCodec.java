package ivybank.handover;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * The binary form of a snapshot: a magic number, the format version, the length of the body, the body, and the CRC-32C of all
 * preceding bytes. Corrupt data, foreign data and other versions raise {@link UnreadableSnapshotException}; nothing is read in
 * part.
 */
public final class HandoverSnapshotCodec {

    /** Thrown for bytes that hold no snapshot of this version; the message gives the reason. */
    public static final class UnreadableSnapshotException extends Exception {
        private static final long serialVersionUID = 1;

        UnreadableSnapshotException(String reason) {
            super(reason);
        }
    }

    private static final int MAGIC = 0x49564d59;
    private static final short VERSION = 2;
    private static final int HEADER_BYTES = 4 + 2 + 4;
    private static final int CHECKSUM_BYTES = 4;
    /** More than any fleet needs, at about 60 bytes for each node. */
    public static final int MAX_BYTES = 1 << 20;

    private static final int MAX_NODES = 8192;
    private static final int MAX_ID_BYTES = 512;

    private HandoverSnapshotCodec() {}

    /**
     * Encodes a snapshot in the layout described above.
     *
     * @param snapshot the snapshot, whose nodes beyond the maximum are left out
     */
    public static byte[] write(HandoverSnapshot snapshot) {
        LearnedState<String> learned = snapshot.learned();
        List<Map.Entry<byte[], LearnedState.NodeState>> nodes = new ArrayList<>();
        int bytes = 0;
        for (Map.Entry<String, LearnedState.NodeState> node : learned.nodes().entrySet()) {
            byte[] id = node.getKey().getBytes(StandardCharsets.UTF_8);
            if (id.length <= MAX_ID_BYTES && nodes.size() < MAX_NODES) {
                nodes.add(Map.entry(id, node.getValue()));
                bytes += id.length + 40;
            }
        }
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES
                + CHECKSUM_BYTES
                + 64
                + bytes
                + 20 * learned.classes().size()
                + 12 * learned.maxRateByKind().size());
        out.putInt(MAGIC).putShort(VERSION).putInt(0);
        out.putDouble(snapshot.writtenMs())
                .putInt(snapshot.unansweredRequests())
                .putInt(snapshot.descriptors());
        out.putDouble(learned.admittedFraction()).putDouble(learned.retryBudget());
        out.putInt(learned.classes().size());
        learned.classes()
                .forEach(state -> out.putDouble(state.medianMs())
                        .putDouble(state.baselineMs())
                        .putInt(state.answers()));
        out.putInt(learned.maxRateByKind().size());
        learned.maxRateByKind().forEach((kind, perMs) -> out.putInt(kind).putDouble(perMs));
        out.putInt(nodes.size());
        for (Map.Entry<byte[], LearnedState.NodeState> entry : nodes) {
            LearnedState.NodeState node = entry.getValue();
            out.putShort((short) entry.getKey().length).put(entry.getKey());
            out.putDouble(node.startedMs())
                    .putDouble(node.rank())
                    .putDouble(node.share())
                    .putFloat((float) node.concurrencyLimit());
            out.putInt(node.inFlight()).put((byte) (node.aside() ? 1 : 0));
        }
        out.putInt(HEADER_BYTES - 4, out.position() - HEADER_BYTES);
        out.putInt((int) checksum(out.array(), out.position()));
        byte[] written = new byte[out.position()];
        out.flip().get(written);
        return written;
    }

    /** Decodes a snapshot. */
    public static HandoverSnapshot read(byte[] bytes) throws UnreadableSnapshotException {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (bytes.length < HEADER_BYTES + CHECKSUM_BYTES || in.getInt() != MAGIC) {
            throw new UnreadableSnapshotException(bytes.length == 0 ? "it is empty" : "it has another format");
        }
        short version = in.getShort();
        if (version != VERSION) {
            throw new UnreadableSnapshotException(
                    "it is of version " + version + ", and this program reads " + VERSION);
        }
        int length = in.getInt();
        if (length != bytes.length - HEADER_BYTES - CHECKSUM_BYTES) {
            throw new UnreadableSnapshotException("its length is wrong");
        }
        if ((int) checksum(bytes, HEADER_BYTES + length) != in.getInt(HEADER_BYTES + length)) {
            throw new UnreadableSnapshotException("its checksum is wrong");
        }
        try {
            return readBody(in);
        } catch (RuntimeException e) {
            throw new UnreadableSnapshotException("its values are invalid");
        }
    }

    private static HandoverSnapshot readBody(ByteBuffer in) {
        double writtenMs = in.getDouble();
        int unansweredRequests = in.getInt();
        int descriptors = in.getInt();
        double admittedFraction = in.getDouble();
        double retryBudget = in.getDouble();
        List<LearnedState.ClassState> classes = new ArrayList<>();
        for (int left = in.getInt(); left > 0; left--) {
            classes.add(new LearnedState.ClassState(in.getDouble(), in.getDouble(), in.getInt()));
        }
        Map<Integer, Double> maxRateByKind = new HashMap<>();
        for (int left = in.getInt(); left > 0; left--) {
            maxRateByKind.put(in.getInt(), in.getDouble());
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
                writtenMs,
                unansweredRequests,
                descriptors,
                new LearnedState<>(admittedFraction, retryBudget, classes, nodes, maxRateByKind));
    }

    private static long checksum(byte[] bytes, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, length);
        return checksum.getValue();
    }
}
