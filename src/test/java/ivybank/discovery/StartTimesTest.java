package ivybank.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ivybank.policy.Balancer.Status;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When nodes started by this process's clock, which may have been stepped before it was read. */
class StartTimesTest {

    /** Unix time as discovery has it, in milliseconds. */
    private static final double TRUE_NOW_MS = 1_790_000_000_000.0;

    private static final double HOUR_MS = 3_600_000;

    private final StartTimes times = new StartTimes();

    private static HostUpdate.Entry entry(double ageMs) {
        double bornMs = ageMs < 0 ? 0 : TRUE_NOW_MS - ageMs;
        return new HostUpdate.Entry(
                "s", new InetSocketAddress("127.0.0.1", 7070), Status.READY, bornMs, "a", "k", 0, 1);
    }

    private static List<HostUpdate.Entry> entries(double... agesMs) {
        List<HostUpdate.Entry> entries = new ArrayList<>();
        for (double ageMs : agesMs) {
            entries.add(entry(ageMs));
        }
        return entries;
    }

    /** The age that a node has here which is that old. */
    private double ageHereMs(double ageMs, double nowMs) {
        return nowMs - times.startedMs(TRUE_NOW_MS - ageMs, nowMs);
    }

    @Test
    void aClockThatNothingContradictsIsBelieved() {
        times.observe(entries(-1, 5000, 20_000, 200_000), false, TRUE_NOW_MS);
        assertEquals(5000, ageHereMs(5000, TRUE_NOW_MS));
        assertEquals(200_000, ageHereMs(200_000, TRUE_NOW_MS));
        assertEquals(0, times.startedMs(0, TRUE_NOW_MS), "long ago");
    }

    @ParameterizedTest
    @ValueSource(doubles = {HOUR_MS, -HOUR_MS, 3 * HOUR_MS, -600_000})
    void aStartThatIsToldAsAChangeHasJustBeen(double aheadMs) {
        double nowMs = TRUE_NOW_MS + aheadMs;
        times.observe(entries(-1, -1, -1), false, nowMs);
        times.observe(entries(1500), true, nowMs);
        assertEquals(0, ageHereMs(1500, nowMs));
        assertEquals(0, times.startedMs(0, nowMs), "long ago");
    }

    @ParameterizedTest
    @ValueSource(doubles = {HOUR_MS, -HOUR_MS})
    void theNewestOfAWholeListCountAsJustStartedAndTheOthersByWhatLiesBetween(double aheadMs) {
        double nowMs = TRUE_NOW_MS + aheadMs;
        times.observe(entries(-1, -1, -1, 4000, 9000, -1), false, nowMs);
        assertEquals(0, ageHereMs(4000, nowMs));
        assertEquals(5000, ageHereMs(9000, nowMs));
    }

    @Test
    void whereAllStartedTogetherLongAgoTheClockIsBelieved() {
        times.observe(entries(HOUR_MS, HOUR_MS + 3000, HOUR_MS + 9000), false, TRUE_NOW_MS);
        assertEquals(HOUR_MS, ageHereMs(HOUR_MS, TRUE_NOW_MS));
    }

    @Test
    void aChangeThatFitsTheClockTakesBackWhatAnOldListMadeDoubtful() {
        times.observe(entries(HOUR_MS, -1, -1, -1), false, TRUE_NOW_MS);
        assertEquals(0, ageHereMs(HOUR_MS, TRUE_NOW_MS), "it may have started just now, if the clock is ahead");
        times.observe(entries(2000), true, TRUE_NOW_MS);
        assertEquals(2000, ageHereMs(2000, TRUE_NOW_MS));
        assertEquals(HOUR_MS, ageHereMs(HOUR_MS, TRUE_NOW_MS));
    }

    @Test
    void noStartLiesInTheFuture() {
        times.observe(entries(-1), false, TRUE_NOW_MS);
        assertEquals(TRUE_NOW_MS, times.startedMs(TRUE_NOW_MS + 700, TRUE_NOW_MS));
    }
}
