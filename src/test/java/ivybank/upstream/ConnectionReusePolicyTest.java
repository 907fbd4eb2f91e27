package ivybank.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.upstream.ConnectionReusePolicy.Choice;
import ivybank.upstream.ConnectionReusePolicy.Limits;
import ivybank.upstream.ConnectionReusePolicy.NodeState;
import org.junit.jupiter.api.Test;

/** When an idle connection is used again, waited for, or passed by for a spare one; times in ms, the clock is handed in. */
class ConnectionReusePolicyTest {

    private static final double REST_MS = 30;
    private static final double COLD_MS = 2000;
    private static final double REFUSED_MS = 10_000;
    private static final double LONG_AGO = Double.POSITIVE_INFINITY;
    private static final NodeState WARM = new NodeState("a", LONG_AGO, 0);

    private final ConnectionReusePolicy policy =
            new ConnectionReusePolicy(new Limits(REST_MS, 0.25, 2, REFUSED_MS, COLD_MS));

    private Choice choose(NodeState node, double restLeftMs, double nowMs) {
        return policy.choose(node, restLeftMs, true, nowMs);
    }

    private void attempts(int count) {
        for (int i = 0; i < count; i++) {
            policy.attemptBegan();
        }
    }

    @Test
    void aConnectionRestsForItsTimeAfterAnAnswerAndOneThatNeverAnsweredNotAtAll() {
        assertEquals(10, policy.restLeftMs(100, 120));
        assertEquals(0, policy.restLeftMs(100, 130));
        assertTrue(policy.restLeftMs(Double.NEGATIVE_INFINITY, 0) < 0);
    }

    @Test
    void withNoIdleConnectionOneIsOpenedAndOneThatHasRestedIsUsedWhateverElseHolds() {
        assertEquals(Choice.OPEN, policy.choose(WARM, Double.POSITIVE_INFINITY, false, 0));
        assertEquals(Choice.REUSE, policy.choose(WARM, 0, false, 0));
        assertEquals(Choice.REUSE, policy.choose(WARM, -5, false, 0));
    }

    @Test
    void spareConnectionsArePaidForByAttempts() {
        assertEquals(Choice.WAIT, choose(WARM, 20, 0), "nothing has been saved");
        attempts(3);
        assertEquals(Choice.WAIT, choose(WARM, 20, 0));
        attempts(1);
        assertEquals(Choice.OPEN_AND_WAIT, choose(WARM, 20, 0));
        assertEquals(Choice.WAIT, choose(WARM, 20, 0), "it is spent");
    }

    @Test
    void aRestThatIsShortBesideTheNodesAnswersIsWaitedFor() {
        attempts(100);
        policy.answered("a", 80, 0);
        assertEquals(Choice.OPEN_AND_WAIT, choose(WARM, 25, 0));
        assertEquals(Choice.WAIT, choose(WARM, 23, 0), "three tenths of 80 ms are 24");
        assertEquals(Choice.OPEN_AND_WAIT, choose(new NodeState("b", LONG_AGO, 0), 23, 0), "another node");
        for (int i = 0; i < 50; i++) {
            policy.answered("a", 1, i);
        }
        assertEquals(Choice.OPEN_AND_WAIT, choose(WARM, 24, 50), "it has become quick");
    }

    @Test
    void aNodeThatHasNotAnsweredForLongIsForgotten() {
        attempts(100);
        policy.answered("a", 5000, 0);
        policy.sweep(60_000);
        assertEquals(Choice.WAIT, choose(WARM, 20, 60_000));
        policy.sweep(60_001);
        assertEquals(Choice.OPEN_AND_WAIT, choose(WARM, 20, 60_001));
    }

    @Test
    void whatIsSavedIsBounded() {
        attempts(10_000);
        int opened = 0;
        while (choose(WARM, 20, 0) == Choice.OPEN_AND_WAIT) {
            opened++;
        }
        assertEquals(10, opened);
    }

    @Test
    void aRestThatEndsBeforeAConnectionWouldBeUpIsWaitedFor() {
        attempts(100);
        assertEquals(Choice.WAIT, choose(WARM, 0.9, 0));
        assertEquals(Choice.OPEN_AND_WAIT, choose(WARM, 5, 0));
        for (int i = 0; i < 50; i++) {
            policy.cameUp(12);
        }
        assertEquals(Choice.WAIT, choose(WARM, 11, 0));
        assertEquals(Choice.OPEN_AND_WAIT, choose(WARM, 13, 0));
    }

    @Test
    void aNodeHasABoundedNumberAndOneThatIsColdHasNone() {
        attempts(100);
        assertEquals(Choice.OPEN_AND_WAIT, choose(new NodeState("a", LONG_AGO, 1), 20, 0));
        assertEquals(Choice.WAIT, choose(new NodeState("a", LONG_AGO, 2), 20, 0));
        assertEquals(Choice.WAIT, choose(new NodeState("a", COLD_MS - 1, 0), 20, 0));
        assertEquals(Choice.OPEN_AND_WAIT, choose(new NodeState("a", COLD_MS, 0), 20, 0));
    }

    @Test
    void aNodeThatRefusedSomethingHasNoneForAWhileAndTheOthersHave() {
        attempts(100);
        policy.refused("a", 1000);
        assertEquals(Choice.WAIT, choose(WARM, 20, 1000 + REFUSED_MS - 1));
        assertEquals(Choice.OPEN_AND_WAIT, choose(new NodeState("b", LONG_AGO, 0), 20, 1000));
        policy.sweep(1000 + REFUSED_MS);
        assertEquals(Choice.OPEN_AND_WAIT, choose(WARM, 20, 1000 + REFUSED_MS));
    }

    @Test
    void withoutRoomNoneIsOpened() {
        attempts(100);
        assertEquals(Choice.WAIT, policy.choose(WARM, 20, false, 0));
    }
}
