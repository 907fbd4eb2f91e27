package ivybank.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class MessageCodecTest {

    private static final MembershipUpdate SELF =
            MembershipUpdate.announcement(7, 1_700_000_000_123L, 65_535, MemberState.READY, "n7", "sanjuan");
    private static final Message FULL = new Message(
            Message.Kind.PING_REQUEST,
            SELF,
            65_000,
            UpdateHandler.INCARNATION_LIMIT - 1,
            77,
            -3,
            5,
            12,
            new int[0],
            List.of(
                    MembershipUpdate.suspect(3, 9, 1, 7),
                    MembershipUpdate.declaredDead(4, 10, 2, MemberState.LEFT, 6),
                    MembershipUpdate.announcement(5, 11, 0, MemberState.DRAINING, "n5", "")));

    private static void assertSame(Message wanted, Message read) {
        assertArrayEquals(wanted.buckets(), read.buckets());
        assertEquals(wanted.updates(), read.updates());
        assertEquals(wanted.self(), read.self());
        assertEquals(
                List.of(
                        wanted.kind(),
                        wanted.to(),
                        wanted.receiverIncarnation(),
                        wanted.counter(),
                        wanted.digest(),
                        wanted.probe(),
                        wanted.subject()),
                List.of(
                        read.kind(),
                        read.to(),
                        read.receiverIncarnation(),
                        read.counter(),
                        read.digest(),
                        read.probe(),
                        read.subject()));
    }

    @Test
    void whatIsWrittenIsRead() throws Exception {
        byte[] bytes = MessageCodec.encode(FULL, MessageCodec.fleetHash("cuyo"), 9);
        assertSame(FULL, MessageCodec.decode(bytes));
        assertEquals(9, MessageCodec.preferredKeyOf(bytes));
        assertEquals(MessageCodec.fleetHash("cuyo"), MessageCodec.fleetHashOf(bytes));
        Message sync = new Message(
                Message.Kind.SYNC, SELF, 1, 2, 3, 4, 0, -1, new int[MessageCodec.DIGEST_BUCKETS], List.of());
        assertSame(sync, MessageCodec.decode(MessageCodec.encode(sync, 1, 0)));
    }

    @Test
    void theFullestDatagramWithTheLongestNamesFits() {
        MembershipUpdate longest = MembershipUpdate.announcement(
                1,
                2,
                3,
                MemberState.READY,
                "x".repeat(MessageCodec.MAX_NAME_LENGTH),
                "y".repeat(MessageCodec.MAX_ZONE_LENGTH));
        GossipQueue gossip = new GossipQueue();
        for (int i = 0; i < 40; i++) {
            gossip.add(MembershipUpdate.suspect(i, 1, 1, 2));
            gossip.add(MembershipUpdate.announcement(i, 2, 3, MemberState.READY, longest.name(), longest.zone()));
        }
        for (boolean sync : new boolean[] {false, true}) {
            List<MembershipUpdate> updates = new java.util.ArrayList<>();
            gossip.take(MessageCodec.availableBytes(longest, sync), 8, updates);
            assertTrue(!updates.isEmpty());
            byte[] bytes = MessageCodec.encode(
                    new Message(
                            Message.Kind.SYNC,
                            longest,
                            1,
                            2,
                            3,
                            4,
                            0,
                            -1,
                            new int[sync ? MessageCodec.DIGEST_BUCKETS : 0],
                            updates),
                    1,
                    0);
            assertTrue(
                    bytes.length + MessageCodec.SIGNATURE_BYTES <= MessageCodec.MAX_DATAGRAM_BYTES,
                    bytes.length + " bytes");
        }
    }

    @Test
    void whatALaterMinorVersionAddsIsPassedOver() throws Exception {
        byte[] bytes = MessageCodec.encode(FULL, 1, 0);
        int header = bytes[3];
        byte[] longer = new byte[bytes.length + 5];
        System.arraycopy(bytes, 0, longer, 0, header);
        longer[3] = (byte) (header + 3); // three more bytes of header
        System.arraycopy(bytes, header, longer, header + 3, bytes.length - header);
        int self = header + 3;
        int length = longer[self];
        System.arraycopy(longer, self + length, longer, self + length + 2, longer.length - 2 - self - length);
        longer[self] = (byte) (longer[self] + 2); // and two more of the sender's word
        assertSame(FULL, MessageCodec.decode(longer));
        bytes[header + MessageCodec.encodedSize(SELF) + 1] = (byte) 0xf0; // a kind of word that nobody knows yet
        assertEquals(FULL.updates().subList(1, 3), MessageCodec.decode(bytes).updates());
    }

    @Test
    void anotherMajorVersionIsSaidToBeOne() {
        byte[] bytes = MessageCodec.encode(FULL, 1, 0);
        bytes[0] = 2;
        assertTrue(assertThrows(MessageCodec.MalformedException.class, () -> MessageCodec.decode(bytes))
                .otherVersion());
    }

    @Test
    void cutAnywhereFlippedAnywhereOrMadeUpItIsReadOrRefusedAndNothingElse() {
        byte[] bytes = MessageCodec.encode(FULL, 1, 0);
        for (int length = 0; length < bytes.length; length++) {
            byte[] part = Arrays.copyOf(bytes, length);
            assertThrows(MessageCodec.MalformedException.class, () -> MessageCodec.decode(part));
        }
        int refused = 0;
        for (int bit = 0; bit < 8 * bytes.length; bit++) {
            byte[] flipped = bytes.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            refused += refused(flipped);
        }
        Random random = new Random(1);
        for (int i = 0; i < 100_000; i++) {
            byte[] any = new byte[random.nextInt(MessageCodec.MAX_DATAGRAM_BYTES + 40)];
            random.nextBytes(any);
            if (any.length > 3) {
                any[0] = MessageCodec.LAYOUT_VERSION;
                any[1] = (byte) random.nextInt(6);
                any[3] = 32;
            }
            refused += refused(any);
        }
        assertTrue(refused > 1000, refused + " refused");
    }

    private static int refused(byte[] bytes) {
        try {
            MessageCodec.decode(bytes);
            return 0;
        } catch (MessageCodec.MalformedException e) {
            return 1;
        }
    }
}
