package ivybank.discovery;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests when the list expires, for the possible orders of calls, local failures and silence of discovery. */
class ListLeaseTest {

    private static final double GRACE_MS = 500;
    /** Within the grace of a drain. */
    private static final double SOON_MS = 100;

    /** Long after any grace. */
    private static final double LATER_MS = 100_000;

    private final ListLease pushed = ListLease.standard(false, GRACE_MS);
    private final ListLease polled = ListLease.standard(true, GRACE_MS);

    private static void startWatch(ListLease lease, double atMs) {
        lease.requestSent(atMs);
        lease.dataReceived();
    }

    @Test
    void anUnansweredCallKeepsTheListValidHoweverLongDiscoveryIsSilent() {
        startWatch(pushed, 0);
        pushed.callEnded(1000, false);
        pushed.requestSent(1050);
        assertFalse(pushed.hasExpired(LATER_MS));
        pushed.callEnded(1200, false);
        pushed.requestSent(1250);
        assertFalse(pushed.hasExpired(LATER_MS), "discovery alone is the reason");
    }

    @Test
    void inputOfAnUnreadableCallIsNotMissedOnceItHasBeenRead() {
        startWatch(pushed, 0);
        pushed.callEnded(1000, false);
        pushed.requestSent(1050);
        pushed.readFailed(1060);
        assertFalse(pushed.hasExpired(1060 + SOON_MS));
        assertTrue(pushed.hasExpired(1060 + GRACE_MS), "a drain may have been reported by now");
        pushed.readRecovered();
        assertFalse(pushed.hasExpired(LATER_MS), "nothing was buffered: discovery is silent");
    }

    @Test
    void aCallThatEndsUnreadMayHaveCarriedAChangeUntilTheNextAnswer() {
        startWatch(pushed, 0);
        pushed.callEnded(1000, false);
        pushed.requestSent(1050);
        pushed.readFailed(1060);
        pushed.callEnded(1160, false);
        pushed.requestSent(1200);
        assertFalse(pushed.hasExpired(1060 + SOON_MS));
        assertTrue(pushed.hasExpired(1060 + GRACE_MS), "requested and silent");
        pushed.dataReceived();
        assertFalse(pushed.hasExpired(LATER_MS));
    }

    @Test
    void afterASpanWithoutPossibleCallsOnlyAnAnswerRevealsMissedChanges() {
        startWatch(pushed, 0);
        pushed.callEnded(1000, false);
        pushed.callEnded(1050, true);
        pushed.callEnded(1100, true);
        assertTrue(pushed.hasExpired(1000 + GRACE_MS), "no request sent yet");
        pushed.requestSent(1150);
        assertTrue(pushed.hasExpired(1000 + GRACE_MS), "requested and silent");
        pushed.callEnded(1300, false);
        pushed.requestSent(1350);
        assertTrue(pushed.hasExpired(LATER_MS), "requested once more and silent");
        pushed.dataReceived();
        assertFalse(pushed.hasExpired(LATER_MS));
    }

    @Test
    void aWatchWhoseEndWasUnreadCoversNothingSinceReadsFailed() {
        startWatch(pushed, 0);
        pushed.readFailed(1000);
        pushed.callEnded(1400, false);
        pushed.requestSent(1450);
        assertTrue(pushed.hasExpired(1000 + GRACE_MS));
    }

    @Test
    void dataReadBeforeAnUnreadEndDoesNotCoverWhatFollowedIt() {
        startWatch(pushed, 0);
        pushed.readFailed(1000);
        pushed.dataReceived();
        pushed.callEnded(1400, false);
        pushed.requestSent(1450);
        assertTrue(pushed.hasExpired(1000 + GRACE_MS), "the end may have come long ago");
    }

    @Test
    void aListThatWasBufferedUnreadIsAsOldAsItsCall() {
        pushed.requestSent(1000);
        pushed.readFailed(1010);
        pushed.dataReceived();
        pushed.listReceived(1000, true);
        pushed.requestSent(1400);
        assertTrue(pushed.hasExpired(1000 + GRACE_MS), "the watch after it is silent");
        pushed.dataReceived();
        assertFalse(pushed.hasExpired(LATER_MS));
        pushed.listReceived(2000, false);
        pushed.requestSent(2100);
        assertFalse(pushed.hasExpired(LATER_MS), "that list was read when it was sent");
    }

    @Test
    void aRequestThatCouldNotBeWrittenDoesNotCount() {
        startWatch(pushed, 0);
        pushed.callEnded(1000, false);
        pushed.callEnded(1200, false);
        pushed.requestSent(1250);
        assertTrue(pushed.hasExpired(1000 + GRACE_MS));
    }

    @Test
    void aReadFailureBeforeTheRequestDoesNotHideAnEarlierGap() {
        startWatch(pushed, 0);
        pushed.callEnded(1000, true);
        pushed.readFailed(1100);
        pushed.requestSent(1300);
        pushed.readRecovered();
        assertTrue(pushed.hasExpired(1000 + GRACE_MS), "the socket of the call doesn't hold what was missed before it");
    }

    @Test
    void withASharedServiceAShortSpanWithoutACallHidesNothing() {
        startWatch(polled, 0);
        polled.callEnded(1000, true);
        polled.requestSent(1900);
        assertFalse(polled.hasExpired(LATER_MS));
    }

    @Test
    void aProcessThatDidNotCallInTimeSendsNothingBeforeAnAnswer() {
        polled.startAt(1000);
        assertFalse(polled.hasExpired(1000 + Timing.FAILURE_REPORT_LIMIT_MS - GRACE_MS));
        assertTrue(polled.hasExpired(1000 + Timing.FAILURE_REPORT_LIMIT_MS));
        polled.requestSent(1000 + Timing.FAILURE_REPORT_LIMIT_MS);
        assertTrue(polled.hasExpired(LATER_MS), "requested and silent");
        polled.dataReceived();
        assertFalse(polled.hasExpired(LATER_MS));
    }

    @Test
    void aProcessThatCalledInTimeUsesTheListOfItsStart() {
        polled.startAt(1000);
        polled.requestSent(1500);
        assertFalse(polled.hasExpired(LATER_MS), "discovery has been silent since then");
    }
}
