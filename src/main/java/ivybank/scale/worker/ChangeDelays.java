package ivybank.scale.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import ivybank.common.Json;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Base64;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;

/** How long changes took from their publication until they were in force, each at each sidecar. */
public final class ChangeDelays {

    private static final long LONGEST_US = 600_000_000;
    private static final int DIGITS = 3;
    private static final double MICROS_IN_MS = 1000;

    private final Histogram delaysUs = new Histogram(LONGEST_US, DIGITS);

    void add(double delayMs) {
        delaysUs.recordValue(Math.min(LONGEST_US, Math.max(0, (long) (delayMs * MICROS_IN_MS))));
    }

    /** What was added since this was last called, as text for {@link #addEncoded}. */
    ObjectNode take() {
        ByteBuffer bytes = ByteBuffer.allocate(delaysUs.getNeededByteBufferCapacity());
        int length = delaysUs.encodeIntoCompressedByteBuffer(bytes);
        delaysUs.reset();
        String text = Base64.getEncoder().encodeToString(Arrays.copyOf(bytes.array(), length));
        return Json.MAPPER.createObjectNode().put("delays", text);
    }

    /** Adds what another process has taken. */
    public void addEncoded(String text) {
        try {
            byte[] bytes = Base64.getDecoder().decode(text);
            delaysUs.add(Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(bytes), 0));
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("no delays: " + e.getMessage(), e);
        }
    }

    public long count() {
        return delaysUs.getTotalCount();
    }

    /** The delay in ms within which so many of 100 were in force; 100 gives the longest. */
    public double percentileMs(double percentile) {
        return delaysUs.getValueAtPercentile(percentile) / MICROS_IN_MS;
    }
}
