package ivybank.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.upstream.ConnectionReusePolicy.Choice;
import ivybank.upstream.ConnectionReusePolicy.Limits;
import ivybank.upstream.ConnectionReusePolicy.NodeState;
import org.junit.jupiter.api.Test;

/**
 * Tests when an idle connection is used again, waited for, or supplemented by a spare one. Times are simulated, in ms.
 */
class ConnectionReusePolicyTest {

    private static final double REST_MS = 30;
    private static final double COLD_MS = 2000;
    private static final double REFUSAL_BACKOFF_MS = 10_000;
    private static final double INFINITE_AGE_MS = Double.POSITIVE_INFINITY;
    private static final NodeState WARM = new NodeState("a", INFINITE_AGE_MS, 0);

    private final ConnectionReusePolicy policy =
            new ConnectionReusePolicy(new Limits(REST_MS, 0.25, 2, REFUSAL_BACKOFF_MS, COLD_MS));

    private Choice choose(NodeState node, double restLeftMs, double nowMs) {
        return policy.choose(node, restLeftMs, true, nowMs);
    }

    private void startAttempts(int count) {
        for (int i = 0; i < count; i++) {
            policy.attemptStarted();
        }
    }

    @Test
    void aConnectionRestsAfterAnAnswerAndNotBeforeItsFirst() {
        assertEquals(10, policy.restLeftMs(100, 120));
        assertEquals(0, policy.restLeftMs(100, 130));
        assertTrue(policy.restLeftMs(Double.NEGATIVE_INFINITY, 0) < 0);
    }

    @Test
    void withoutAnIdleConnectionOneIsOpenedAndARestedOneIsAlwaysUsed() {
        assertEquals(Choice.OPEN, policy.choose(WARM, Double.POSITIVE_INFINITY, false, 0));
        assertEquals(Choice.REUSE, policy.choose(WARM, 0, false, 0));
        assertEquals(Choice.REUSE, policy.choose(WARM, -5, false, 0));
    }

    @Test
    void spareConnectionsArePaidForByAttempts() {
        assertEquals(Choice.WAIT, choose(WARM, 20, 0), "no spare connection has been saved");
        startAttempts(3);
        assertEquals(Choice.WAIT, choose(WARM, 20, 0));
        startAttempts(1);
        assertEquals(Choice.OPEN_AND_WAIT, choose(WARM, 20, 0));
        assertEquals(Choice.WAIT, choose(WARM, 20, 0), "the saved one has been used");
    }

    @Test
    void aRestThatIsShortComparedWithTheAnswerTimeIsWaitedFor() {
        startAttempts(100);
        policy.answered("a", 80, 0);
        assertEquals(Choice.OPEN_AND_WAIT, choose(WARM, 25, 0));
        assertEquals(Choice.WAIT, choose(WARM, 23, 0), "the limit is three tenths of 80 ms");
        assertEquals(Choice.OPEN_AND_WAIT, choose(new NodeState("b", INFINITE_AGE_MS, 0), 23, 0), "another node");
        for (int i = 0; i < 50; i++) {
            policy.answered("a", 1, i);
        }
        assertEquals(Choice.OPEN_AND_WAIT, choose(WARM, 24, 50), "the node now answers quickly");
    }

    @Test
    void theAnswerTimeOfANodeExpires() {
        startAttempts(100);
        policy.answered("a", 5000, 0);
        policy.sweep(60_000);
        assertEquals(Choice.WAIT, choose(WARM, 20, 60_000));
        policy.sweep(60_001);
        assertEquals(Choice.OPEN_AND_WAIT, choose(WARM, 20, 60_001));
    }

    @Test
    void savedSpareConnectionsAreBounded() {
        startAttempts(10_000);
        int opened = 0;
        while (choose(WARM, 20, 0) == Choice.OPEN_AND_WAIT) {
            opened++;
        }
        assertEquals(10, opened);
    }

    @Test
    void aRestShorterThanTheConnectTimeIsWaitedFor() {
        startAttempts(100);
        assertEquals(Choice.WAIT, choose(WARM, 0.9, 0));
        assertEquals(Choice.OPEN_AND_WAIT, choose(WARM, 5, 0));
        for (int i = 0; i < 50; i++) {
            policy.connectionEstablished(12);
        }
        assertEquals(Choice.WAIT, choose(WARM, 11, 0));
        assertEquals(Choice.OPEN_AND_WAIT, choose(WARM, 13, 0));
    }

    @Test
    void spareConnectionsOfANodeAreBoundedAndAColdNodeHasNone() {
        startAttempts(100);
        assertEquals(Choice.OPEN_AND_WAIT, choose(new NodeState("a", INFINITE_AGE_MS, 1), 20, 0));
        assertEquals(Choice.WAIT, choose(new NodeState("a", INFINITE_AGE_MS, 2), 20, 0));
        assertEquals(Choice.WAIT, choose(new NodeState("a", COLD_MS - 1, 0), 20, 0));
        assertEquals(Choice.OPEN_AND_WAIT, choose(new NodeState("a", COLD_MS, 0), 20, 0));
    }

    @Test
    void aNodeThatRefusedHasNoSpareConnectionsForAWhile() {
        startAttempts(100);
        policy.refused("a", 1000);
        assertEquals(Choice.WAIT, choose(WARM, 20, 1000 + REFUSAL_BACKOFF_MS - 1));
        assertEquals(Choice.OPEN_AND_WAIT, choose(new NodeState("b", INFINITE_AGE_MS, 0), 20, 1000));
        policy.sweep(1000 + REFUSAL_BACKOFF_MS);
        assertEquals(Choice.OPEN_AND_WAIT, choose(WARM, 20, 1000 + REFUSAL_BACKOFF_MS));
    }

    @Test
    void withoutCapacityNoSpareConnectionIsOpened() {
        startAttempts(100);
        assertEquals(Choice.WAIT, policy.choose(WARM, 20, false, 0));
    }
}
