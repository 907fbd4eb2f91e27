package ivybank.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests since when the last byte of a request may have been in its sockets. */
class LastByteTimeTest {

    private static final double STARTED_MS = 1000;
    private static final long MIB = 1 << 20;
    private static final long CAPACITY = LastByteTime.MAX_BYTES_IN_SOCKETS;

    private final LastByteTime lastByte = new LastByteTime(STARTED_MS);

    // Guards against a request whose time begins when its last byte is read, and not when the reading stopped.
    @Test
    void fromThePauseOnWhereTheSocketWasEmptyBefore() {
        lastByte.bodyStarted(LastByteTime.UNKNOWN_LENGTH);
        lastByte.looked(2000, true, true);
        assertEquals(2500, lastByte.earliestMs(2500), "what arrives is noticed at once");
        lastByte.unwatched(3000);
        lastByte.unwatched(3500);
        lastByte.received(4000, MIB);
        lastByte.looked(4000, false, true);
        assertEquals(3000, lastByte.earliestMs(9000));
        lastByte.looked(9500, true, true);
        assertEquals(9900, lastByte.earliestMs(9900));
    }

    // Guards against a refusal of a body of which more is missing than the sockets hold.
    @Test
    void notWhileMoreIsMissingThanTheSocketsHold() {
        lastByte.bodyStarted(CAPACITY + 2 * MIB);
        lastByte.looked(1100, false, true);
        lastByte.received(2000, MIB);
        assertEquals(8000, lastByte.earliestMs(8000));
        lastByte.received(9000, 2 * MIB);
        assertEquals(9000, lastByte.earliestMs(12_000));
    }

    // Guards against a refusal of a body without a length that is longer than what the sockets hold and is being passed
    // on.
    @Test
    void notBeforeSoMuchWasReadThatTheRestMayBeInTheSockets() {
        lastByte.bodyStarted(LastByteTime.UNKNOWN_LENGTH);
        lastByte.looked(1100, false, true);
        for (int second = 2; second <= 20; second++) {
            lastByte.received(second * 1000.0, second * MIB);
        }
        double passedMs = 1000.0 * CAPACITY / MIB;
        assertEquals(20_000 - passedMs, lastByte.earliestMs(20_000), 1000);
    }

    // Guards against a bound of one body that holds for the next one.
    @Test
    void aNewBodyBeginsAnew() {
        lastByte.bodyStarted(CAPACITY + MIB);
        lastByte.bodyEnded();
        assertEquals(STARTED_MS, lastByte.earliestMs(8000));
    }
}
