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

    private static final Word SELF =
            new Word(Word.Kind.STATEMENT, 7, 1_700_000_000_123L, 65_535, Standing.READY, "n7", "sanjuan", -1);
    private static final Message FULL = new Message(
            Message.Kind.ASK,
            SELF,
            65_000,
            FleetView.HIGHEST_LIFE - 1,
            77,
            -3,
            5,
            12,
            new int[0],
            List.of(
                    Word.suspect(3, 9, 1, 7),
                    Word.gaveUp(4, 10, 2, Standing.LEFT, 6),
                    new Word(Word.Kind.STATEMENT, 5, 11, 0, Standing.DRAINING, "n5", "", -1)));

    private static void assertSame(Message wanted, Message read) {
        assertArrayEquals(wanted.buckets(), read.buckets());
        assertEquals(wanted.words(), read.words());
        assertEquals(wanted.self(), read.self());
        assertEquals(
                List.of(
                        wanted.kind(),
                        wanted.to(),
                        wanted.toLife(),
                        wanted.counter(),
                        wanted.digest(),
                        wanted.probe(),
                        wanted.subject()),
                List.of(
                        read.kind(),
                        read.to(),
                        read.toLife(),
                        read.counter(),
                        read.digest(),
                        read.probe(),
                        read.subject()));
    }

    @Test
    void whatIsWrittenIsRead() throws Exception {
        byte[] bytes = MessageCodec.write(FULL, MessageCodec.fleet("cuyo"), 9);
        assertSame(FULL, MessageCodec.read(bytes));
        assertEquals(9, MessageCodec.key(bytes));
        assertEquals(MessageCodec.fleet("cuyo"), MessageCodec.fleetOf(bytes));
        Message sync =
                new Message(Message.Kind.SYNC, SELF, 1, 2, 3, 4, 0, -1, new int[MessageCodec.BUCKETS], List.of());
        assertSame(sync, MessageCodec.read(MessageCodec.write(sync, 1, 0)));
    }

    @Test
    void theFullestDatagramWithTheLongestNamesFits() {
        Word longest = new Word(
                Word.Kind.STATEMENT,
                1,
                2,
                3,
                Standing.READY,
                "x".repeat(MessageCodec.LONGEST_NAME),
                "y".repeat(MessageCodec.LONGEST_ZONE),
                -1);
        Rumours rumours = new Rumours();
        for (int i = 0; i < 40; i++) {
            rumours.tell(Word.suspect(i, 1, 1, 2));
            rumours.tell(new Word(Word.Kind.STATEMENT, i, 2, 3, Standing.READY, longest.name(), longest.zone(), -1));
        }
        for (boolean sync : new boolean[] {false, true}) {
            List<Word> words = new java.util.ArrayList<>();
            rumours.take(MessageCodec.room(longest, sync), 8, words);
            assertTrue(!words.isEmpty());
            byte[] bytes = MessageCodec.write(
                    new Message(
                            Message.Kind.SYNC,
                            longest,
                            1,
                            2,
                            3,
                            4,
                            0,
                            -1,
                            new int[sync ? MessageCodec.BUCKETS : 0],
                            words),
                    1,
                    0);
            assertTrue(bytes.length + MessageCodec.SIGNATURE <= MessageCodec.LONGEST, bytes.length + " bytes");
        }
    }

    @Test
    void whatALaterMinorVersionAddsIsPassedOver() throws Exception {
        byte[] bytes = MessageCodec.write(FULL, 1, 0);
        int header = bytes[3];
        byte[] longer = new byte[bytes.length + 5];
        System.arraycopy(bytes, 0, longer, 0, header);
        longer[3] = (byte) (header + 3); // three more bytes of header
        System.arraycopy(bytes, header, longer, header + 3, bytes.length - header);
        int self = header + 3;
        int length = longer[self];
        System.arraycopy(longer, self + length, longer, self + length + 2, longer.length - 2 - self - length);
        longer[self] = (byte) (longer[self] + 2); // and two more of the sender's word
        assertSame(FULL, MessageCodec.read(longer));
        bytes[header + MessageCodec.size(SELF) + 1] = (byte) 0xf0; // a kind of word that nobody knows yet
        assertEquals(FULL.words().subList(1, 3), MessageCodec.read(bytes).words());
    }

    @Test
    void anotherMajorVersionIsSaidToBeOne() {
        byte[] bytes = MessageCodec.write(FULL, 1, 0);
        bytes[0] = 2;
        assertTrue(assertThrows(MessageCodec.MalformedException.class, () -> MessageCodec.read(bytes))
                .otherVersion());
    }

    @Test
    void cutAnywhereFlippedAnywhereOrMadeUpItIsReadOrRefusedAndNothingElse() {
        byte[] bytes = MessageCodec.write(FULL, 1, 0);
        for (int length = 0; length < bytes.length; length++) {
            byte[] part = Arrays.copyOf(bytes, length);
            assertThrows(MessageCodec.MalformedException.class, () -> MessageCodec.read(part));
        }
        int refused = 0;
        for (int bit = 0; bit < 8 * bytes.length; bit++) {
            byte[] flipped = bytes.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            refused += refused(flipped);
        }
        Random random = new Random(1);
        for (int i = 0; i < 100_000; i++) {
            byte[] any = new byte[random.nextInt(MessageCodec.LONGEST + 40)];
            random.nextBytes(any);
            if (any.length > 3) {
                any[0] = MessageCodec.VERSION;
                any[1] = (byte) random.nextInt(6);
                any[3] = 32;
            }
            refused += refused(any);
        }
        assertTrue(refused > 1000, refused + " refused");
    }

    private static int refused(byte[] bytes) {
        try {
            MessageCodec.read(bytes);
            return 0;
        } catch (MessageCodec.MalformedException e) {
            return 1;
        }
    }
}
