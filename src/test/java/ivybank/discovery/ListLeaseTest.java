package ivybank.discovery;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What may be sent by the list, in each order of a call, a failure of this machine and a silence of discovery. */
class ListLeaseTest {

    private static final double GRACE_MS = 500;
    /** Within the grace, and so long after the failure that it would be over. */
    private static final double SOON_MS = 100;

    private static final double LATER_MS = 100_000;

    private final ListLease pushed = ListLease.standard(false, GRACE_MS);
    private final ListLease asked = ListLease.standard(true, GRACE_MS);

    private static void stand(ListLease lease, double atMs) {
        lease.asked(atMs);
        lease.heard();
    }

    // ---- Where lists are pushed.

    @Test
    void aCallThatIsLeftUnansweredCoversHoweverLongDiscoveryIsSilent() {
        stand(pushed, 0);
        pushed.ended(1000, false);
        pushed.asked(1050);
        assertFalse(pushed.hasLapsed(LATER_MS));
        pushed.ended(1200, false);
        pushed.asked(1250);
        assertFalse(pushed.hasLapsed(LATER_MS), "that is discovery's doing");
    }

    @Test
    void whatCameOnACallThatCouldNotBeReadIsNotMissedOnceItIsReadOut() {
        stand(pushed, 0);
        pushed.ended(1000, false);
        pushed.asked(1050);
        pushed.unreadable(1060);
        assertFalse(pushed.hasLapsed(1060 + SOON_MS));
        assertTrue(pushed.hasLapsed(1060 + GRACE_MS), "it may have been told a drain by now");
        pushed.readOut();
        assertFalse(pushed.hasLapsed(LATER_MS), "nothing stood there: discovery is silent");
    }

    @Test
    void aCallThatEndsUnreadMayHaveBroughtAChangeUntilTheNextAnswer() {
        stand(pushed, 0);
        pushed.ended(1000, false);
        pushed.asked(1050);
        pushed.unreadable(1060);
        pushed.ended(1160, false);
        pushed.asked(1200);
        assertFalse(pushed.hasLapsed(1060 + SOON_MS));
        assertTrue(pushed.hasLapsed(1060 + GRACE_MS), "asked and silent");
        pushed.heard();
        assertFalse(pushed.hasLapsed(LATER_MS));
    }

    @Test
    void whereNoCallCouldBeMadeForAWhileOnlyAnAnswerTellsWhatWasMissed() {
        stand(pushed, 0);
        pushed.ended(1000, false);
        pushed.ended(1050, true);
        pushed.ended(1100, true);
        assertTrue(pushed.hasLapsed(1000 + GRACE_MS), "not yet asked");
        pushed.asked(1150);
        assertTrue(pushed.hasLapsed(1000 + GRACE_MS), "asked and silent");
        pushed.ended(1300, false);
        pushed.asked(1350);
        assertTrue(pushed.hasLapsed(LATER_MS), "asked once more and silent");
        pushed.heard();
        assertFalse(pushed.hasLapsed(LATER_MS));
    }

    @Test
    void aWatchWhoseEndStoodUnreadTellsNothingSinceReadsFailed() {
        stand(pushed, 0);
        pushed.unreadable(1000);
        pushed.ended(1400, false);
        pushed.asked(1450);
        assertTrue(pushed.hasLapsed(1000 + GRACE_MS));
    }

    @Test
    void aWordThatIsReadBeforeTheEndBehindItDoesNotCoverWhatCameAfterIt() {
        stand(pushed, 0);
        pushed.unreadable(1000);
        pushed.heard();
        pushed.ended(1400, false);
        pushed.asked(1450);
        assertTrue(pushed.hasLapsed(1000 + GRACE_MS), "the end may have come long ago");
    }

    @Test
    void aListThatStoodUnreadIsAsOldAsItsCall() {
        pushed.asked(1000);
        pushed.unreadable(1010);
        pushed.heard();
        pushed.heardList(1000, true);
        pushed.asked(1400);
        assertTrue(pushed.hasLapsed(1000 + GRACE_MS), "the watch behind it is silent");
        pushed.heard();
        assertFalse(pushed.hasLapsed(LATER_MS));
        pushed.heardList(2000, false);
        pushed.asked(2100);
        assertFalse(pushed.hasLapsed(LATER_MS), "that list came when it was sent");
    }

    @Test
    void aRequestThatCouldNotBeWrittenWasNeverAsked() {
        stand(pushed, 0);
        pushed.ended(1000, false);
        pushed.ended(1200, false);
        pushed.asked(1250);
        assertTrue(pushed.hasLapsed(1000 + GRACE_MS));
    }

    @Test
    void aReadThatFailsBeforeTheRequestIsWrittenHidesNothingThatCameBefore() {
        stand(pushed, 0);
        pushed.ended(1000, true);
        pushed.unreadable(1100);
        pushed.asked(1300);
        pushed.readOut();
        assertTrue(pushed.hasLapsed(1000 + GRACE_MS), "what was missed before the call is not in its socket");
    }

    // ---- Where lists are asked for.

    @Test
    void whereListsAreAskedForAShortSpanWithoutACallHidesNothing() {
        stand(asked, 0);
        asked.ended(1000, true);
        asked.asked(1900);
        assertFalse(asked.hasLapsed(LATER_MS));
    }

    @Test
    void aProcessThatDidNotAskInTimeSendsNothingBeforeAnAnswer() {
        asked.startAt(1000);
        assertFalse(asked.hasLapsed(1000 + Timing.TOLD_AFTER_FAILED_CALL_MS - GRACE_MS));
        assertTrue(asked.hasLapsed(1000 + Timing.TOLD_AFTER_FAILED_CALL_MS));
        asked.asked(1000 + Timing.TOLD_AFTER_FAILED_CALL_MS);
        assertTrue(asked.hasLapsed(LATER_MS), "asked and silent");
        asked.heard();
        assertFalse(asked.hasLapsed(LATER_MS));
    }

    @Test
    void aProcessThatAskedInTimeGoesByTheListOfItsStart() {
        asked.startAt(1000);
        asked.asked(1500);
        assertFalse(asked.hasLapsed(LATER_MS), "discovery is silent since then");
    }
}
