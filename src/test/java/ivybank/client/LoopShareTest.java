package ivybank.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests how much of the event loop's time one connection's input takes. */
class LoopShareTest {

    private final LoopShare share = new LoopShare();

    // Guards against one connection at full speed that takes the whole loop.
    @Test
    void aConnectionAtFullSpeedTakesHalfOfTheTime() {
        double nowMs = 0;
        double workedMs = 0;
        while (nowMs < 10_000) {
            nowMs += 3 + share.pauseAfter(nowMs + 3, 3);
            workedMs += 3;
        }
        assertTrue(workedMs <= 5100, workedMs + " ms of 10 s");
    }

    // Guards against a pause for a client that sends now and then.
    @Test
    void aConnectionWithLittleInputIsNotPaused() {
        for (int nowMs = 0; nowMs < 1000; nowMs += 10) {
            assertEquals(0, share.pauseAfter(nowMs, 1));
        }
    }

    // Guards against a long pause behind a process that was stopped while it worked.
    @Test
    void aPauseIsShort() {
        share.pauseAfter(0, 0);
        assertTrue(share.pauseAfter(1000, 1000) <= 40);
        assertTrue(share.pauseAfter(1040, 0) <= 40);
        assertEquals(0, share.pauseAfter(1100, 0.1));
    }
}
