package ivybank.scale.sweep;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.scale.plan.ScalePlanReader;
import ivybank.scale.result.Quantity;
import ivybank.scale.result.ScaleResult;
import ivybank.scale.result.Slope;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A short scale run of three sizes, which fails when a slope has grown by half. It looks at bytes, messages, state held and memory
 * allocated, which do not depend on how busy the machine is.
 */
@Timeout(120)
class ScaleRunTest {

    private static final String PLAN = """
            name = "short"
            seeds = [1]
            [bounds]
            memory_mb = 2000
            [list]
            sizes = [200, 400, 800]
            sidecars = 4
            real_sidecars = 0
            seconds = 2
            [fleet]
            sizes = [10, 20, 40]
            processes = 1
            seconds = 1
            stop_s = 0.2
            cut_s = 1
            """;
    private static final double GROWN = 1.5;

    @TempDir
    Path folder;

    @Test
    void noSlopeHasGrownByHalf() throws Exception {
        ScaleResult result = new ScaleRun(ScalePlanReader.parse("short.toml", PLAN), "false", folder, line -> {}).run();
        assertEquals(List.of(), result.notes());
        assertSlope(result, Quantity.LIST_BYTES, 126);
        assertSlope(result, Quantity.LIST_HEAP, 950);
        assertSlope(result, Quantity.LIST_CHANGE_ALLOCATED, 8.4);
        assertSlope(result, Quantity.LIST_ZONE_BYTES, 8);
        assertSlope(result, Quantity.FLEET_CHANGE_MESSAGES, 1);
        assertSlope(result, Quantity.FLEET_CHANGE_BYTES, 177);
        assertTrue(mean(result, Quantity.LIST_CHANGE_BYTES) < GROWN * 176, "one change of one entry");
        assertTrue(mean(result, Quantity.FLEET_CUT_BYTES) < GROWN * 630, "what a sidecar is sent after a cut");
    }

    private static void assertSlope(ScaleResult result, Quantity quantity, double usual) {
        double slope = Slope.fit(quantity, result.points()).slope();
        assertTrue(
                slope > 0 && slope < GROWN * usual,
                quantity + " grows by " + slope + " for each unit of size, usually by " + usual);
    }

    private static double mean(ScaleResult result, Quantity quantity) {
        return result.points().stream()
                .filter(point -> point.quantity() == quantity)
                .mapToDouble(point -> point.value())
                .average()
                .orElseThrow();
    }
}
