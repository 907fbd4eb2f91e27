package ivybank.scale.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import ivybank.common.Json;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * How late an event loop is for a task that is due every {@link #PERIOD_MS}: a loop that is late has more to do than one thread of
 * this machine can bear, and times that were measured on it say nothing of the program. Used on that loop alone.
 */
final class Lateness {

    /** Between two looks at the clock. */
    static final long PERIOD_MS = 10;

    private static final long LONGEST_US = 600_000_000;
    private static final double MICROS_IN_MS = 1000;
    private static final double HIGH_PERCENTILE = 99;

    private final EventLoop loop;
    private final Histogram lateUs = new Histogram(LONGEST_US, 2);
    private double dueMs;

    Lateness(EventLoop loop) {
        this.loop = loop;
    }

    void start() {
        schedule();
    }

    private void schedule() {
        dueMs = MonotonicTime.nowMs() + PERIOD_MS;
        loop.schedule(this::look, PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    private void look() {
        double lateMs = Math.max(0, MonotonicTime.nowMs() - dueMs);
        lateUs.recordValue(Math.min(LONGEST_US, (long) (lateMs * MICROS_IN_MS)));
        schedule();
    }

    /** What was seen since this was last asked: the 99th percentile and the most, in ms. */
    ObjectNode takeSummary() {
        ObjectNode summary = Json.MAPPER.createObjectNode();
        summary.put("late_p99_ms", lateUs.getValueAtPercentile(HIGH_PERCENTILE) / MICROS_IN_MS);
        summary.put("late_most_ms", lateUs.getMaxValue() / MICROS_IN_MS);
        lateUs.reset();
        return summary;
    }
}
