package ivybank.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ivybank.policy.Balancer.Status;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests start times of nodes by the clock of this process, which may have been stepped before it was read. */
class StartTimesTest {

    /** The actual time, by discovery's clock, in Unix milliseconds. */
    private static final double TRUE_NOW_MS = 1_790_000_000_000.0;

    private static final double HOUR_MS = 3_600_000;

    private final StartTimes times = new StartTimes();

    private static NodeListUpdate.Entry entry(double ageMs) {
        double startedMs = ageMs < 0 ? 0 : TRUE_NOW_MS - ageMs;
        return new NodeListUpdate.Entry(
                "s", new InetSocketAddress("127.0.0.1", 7070), Status.READY, startedMs, "a", "k", 0, 1);
    }

    private static List<NodeListUpdate.Entry> entries(double... agesMs) {
        List<NodeListUpdate.Entry> entries = new ArrayList<>();
        for (double ageMs : agesMs) {
            entries.add(entry(ageMs));
        }
        return entries;
    }

    /** Returns the age by the local clock of a node that is actually this old. */
    private double localAgeMs(double ageMs, double nowMs) {
        return nowMs - times.startedMs(TRUE_NOW_MS - ageMs, nowMs);
    }

    @Test
    void aClockThatNothingContradictsIsTrusted() {
        times.observe(entries(-1, 5000, 20_000, 200_000), false, TRUE_NOW_MS);
        assertEquals(5000, localAgeMs(5000, TRUE_NOW_MS));
        assertEquals(200_000, localAgeMs(200_000, TRUE_NOW_MS));
        assertEquals(0, times.startedMs(0, TRUE_NOW_MS), "long ago");
    }

    @ParameterizedTest
    @ValueSource(doubles = {HOUR_MS, -HOUR_MS, 3 * HOUR_MS, -600_000})
    void aStartReportedAsAChangeIsRecent(double aheadMs) {
        double nowMs = TRUE_NOW_MS + aheadMs;
        times.observe(entries(-1, -1, -1), false, nowMs);
        times.observe(entries(1500), true, nowMs);
        assertEquals(0, localAgeMs(1500, nowMs));
        assertEquals(0, times.startedMs(0, nowMs), "long ago");
    }

    @ParameterizedTest
    @ValueSource(doubles = {HOUR_MS, -HOUR_MS})
    void theNewestNodesOfAWholeListCountAsJustStartedAndTheOthersRelativeToThem(double aheadMs) {
        double nowMs = TRUE_NOW_MS + aheadMs;
        times.observe(entries(-1, -1, -1, 4000, 9000, -1), false, nowMs);
        assertEquals(0, localAgeMs(4000, nowMs));
        assertEquals(5000, localAgeMs(9000, nowMs));
    }

    @Test
    void whereAllNodesStartedTogetherLongAgoTheClockIsTrusted() {
        times.observe(entries(HOUR_MS, HOUR_MS + 3000, HOUR_MS + 9000), false, TRUE_NOW_MS);
        assertEquals(HOUR_MS, localAgeMs(HOUR_MS, TRUE_NOW_MS));
    }

    @Test
    void aChangeThatFitsTheClockRevertsTheCorrectionOfAnOldList() {
        times.observe(entries(HOUR_MS, -1, -1, -1), false, TRUE_NOW_MS);
        assertEquals(0, localAgeMs(HOUR_MS, TRUE_NOW_MS), "it may have started just now, if the clock is ahead");
        times.observe(entries(2000), true, TRUE_NOW_MS);
        assertEquals(2000, localAgeMs(2000, TRUE_NOW_MS));
        assertEquals(HOUR_MS, localAgeMs(HOUR_MS, TRUE_NOW_MS));
    }

    @Test
    void noStartIsInTheFuture() {
        times.observe(entries(-1), false, TRUE_NOW_MS);
        assertEquals(TRUE_NOW_MS, times.startedMs(TRUE_NOW_MS + 700, TRUE_NOW_MS));
    }
}
