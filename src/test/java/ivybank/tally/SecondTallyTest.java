package ivybank.tally;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SecondTallyTest {

    private final SecondTally tally = new SecondTally();

    @Test
    void aLineSaysWhatHappenedAndIsReadBackAsItWas() {
        tally.requestTaken();
        tally.requestTaken();
        tally.requestCompleted();
        tally.requestServed();
        tally.discoveryCalled();
        tally.discoveryCallFailed("503");
        tally.listUpdated(41);
        tally.connectionStarted("s-1");
        tally.connectionsHeld("s-1", 1);
        tally.attemptSent("s-1", Tally.Age.JUST_BACK);
        tally.attemptSent("s-2", Tally.Age.of(3000, 15_000));
        tally.attemptSent("s-2", Tally.Age.of(Double.POSITIVE_INFINITY, 15_000));
        tally.attemptRejected("s-2");
        tally.attemptTimedOut("s-2");
        tally.connectionFailed("s-3");
        SecondCounts second = tally.endSecond(1_800_000_000_500.0, 7);
        assertEquals(
                new SecondCounts.NodeCounts(1, 1, 0, 0, 1, 0, 0, 0, 0),
                second.nodes().get("s-1"));
        assertEquals(
                new SecondCounts.NodeCounts(0, 0, 0, 0, 0, 1, 1, 1, 1),
                second.nodes().get("s-2"));
        assertEquals(second, SecondCounts.parse(second.line()), second.line());
        assertEquals(
                second,
                SecondCounts.parse("13.655 " + second.line()),
                "behind what a collector of logs puts before it");
    }

    @Test
    void theTimesOfStagesAreReadBackAndBeginAnew() {
        tally.requestTaken();
        for (int i = 0; i < 99; i++) {
            tally.stageCompleted(Stage.REUSE, 0.05);
        }
        tally.stageCompleted(Stage.REUSE, 30);
        tally.stageCompleted(Stage.REST, Double.MAX_VALUE);
        tally.stageCompleted(Stage.REST, -1);
        SecondCounts second = tally.endSecond(1000, 0);
        assertEquals(second, SecondCounts.parse(second.line()), second.line());
        StageTimes times = new StageTimes();
        times.add(SecondCounts.parse(second.line()).stages());
        assertEquals(100, times.count(Stage.REUSE));
        assertEquals(0.05, times.percentileMs(Stage.REUSE, 50), 0.005);
        assertEquals(30, times.percentileMs(Stage.REUSE, 100), 3);
        assertEquals(60_000, times.percentileMs(Stage.REST, 100), 6000);
        assertEquals(0, times.percentileMs(Stage.REST, 1));
        tally.requestTaken();
        assertTrue(tally.endSecond(2000, 0).stages().isEmpty());
    }

    @Test
    void aLineHasABoundHoweverManyDifferentTimesThereAre() {
        for (int micros = 0; micros < 1_000_000; micros++) {
            tally.stageCompleted(Stage.FIRST_BYTE, micros / 1000.0);
        }
        tally.requestTaken();
        SecondCounts second = tally.endSecond(1000, 0);
        assertTrue(second.stages().get(Stage.FIRST_BYTE).size() <= 8 * 20, second.line());
        assertEquals(
                1_000_000,
                second.stages().get(Stage.FIRST_BYTE).values().stream()
                        .mapToLong(count -> count)
                        .sum());
    }

    @Test
    void aLineOfAnEarlierVersionIsReadAndAStageOfALaterOnePassedOver() {
        String before = "tally at=1000 late=0 list=41 taken=2 served=1 not=0 calls=0";
        assertEquals(2, SecondCounts.parse(before).taken());
        assertTrue(SecondCounts.parse(before).stages().isEmpty());
        assertTrue(
                SecondCounts.parse(before + " stage:of-tomorrow=5*1").stages().isEmpty());
        for (String damaged : new String[] {"5", "5*", "*1", "5*0", "-5*1", "5*1,", "x*1"}) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> SecondCounts.parse(before + " stage:rest=" + damaged),
                    damaged);
        }
    }

    @Test
    void whatIsHeldGoesOnAndCountsBeginAnew() {
        tally.connectionStarted("s-1");
        tally.connectionsHeld("s-1", 1);
        tally.endSecond(1000, 0);
        assertEquals(
                new SecondCounts.NodeCounts(0, 1, 0, 0, 0, 0, 0, 0, 0),
                tally.endSecond(2000, 0).nodes().get("s-1"));
        tally.connectionsHeld("s-1", -1);
        assertNull(tally.endSecond(3000, 0), "nothing left, nothing said");
    }

    @Test
    void aLineHasABoundHoweverManyNodesThereAreAndTheSumIsKept() {
        for (int node = 0; node < 5000; node++) {
            tally.attemptSent("node-" + node, Tally.Age.WARM);
        }
        tally.attemptSent("node-4999", Tally.Age.WARM);
        SecondCounts second = tally.endSecond(1000, 0);
        assertEquals(SecondTally.MOST_NODES, second.nodes().size());
        assertEquals(
                5001,
                second.nodes().values().stream()
                        .mapToInt(SecondCounts.NodeCounts::sent)
                        .sum());
        assertEquals(2, second.nodes().get("node-4999").sent(), "the busiest have a place of their own");
        for (int node = 0; node < 5000; node++) {
            tally.attemptSent("other-" + node, Tally.Age.WARM);
            tally.endSecond(2000 + node, 0);
        }
        assertNull(tally.endSecond(9000, 0), "nodes that have gone are not kept");
    }

    @Test
    void namesFromOutsideCanNotBreakTheLine() {
        String name = "a b=c,d/e\n* " + "x".repeat(500);
        tally.attemptSent(name, Tally.Age.WARM);
        SecondCounts second = tally.endSecond(1000, 0);
        assertEquals(1, second.line().lines().count());
        assertEquals(second, SecondCounts.parse(second.line()));
    }

    @Test
    void waysToFailThatDiscoveryMakesUpAreBounded() {
        for (int status = 0; status < 900; status++) {
            tally.discoveryCallFailed(Integer.toString(status));
        }
        SecondCounts second = tally.endSecond(1000, 0);
        assertTrue(second.callsFailed().size() <= 9, second.callsFailed().toString());
        assertEquals(
                900,
                second.callsFailed().values().stream().mapToInt(count -> count).sum());
    }

    @Test
    void aLineThatWasCutIsTold() {
        tally.attemptSent("s-1", Tally.Age.WARM);
        String line = tally.endSecond(1000, 0).line();
        assertNull(SecondCounts.parse("discovery answers again"));
        assertThrows(IllegalArgumentException.class, () -> SecondCounts.parse(line.substring(0, line.length() - 4)));
        assertThrows(IllegalArgumentException.class, () -> SecondCounts.parse(line.replace("taken=0", "taken=no")));
        assertThrows(IllegalArgumentException.class, () -> SecondCounts.parse("tally at=5"));
    }
}
