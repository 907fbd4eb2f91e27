package ivybank.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Cold nodes under the sum of what all sidecars send, with a burst of half as much again: docs/design/endings.md has the table
 * over 20 seeds, which {@code -Dcold.seeds=20} prints.
 */
class ColdNodesTest {

    private static final int SEEDS = Integer.getInteger("cold.seeds", 2);
    private static final double LOAD = 0.5;
    private static final double BURST = 1.5;
    private static final double LENGTH_MS = 22_000;
    /** Above the bound by what the sizes of requests, which no sidecar knows, differ by chance. */
    private static final double MOST_BY_WORK = 1.25;

    private static FleetSpec spec(int sidecars, int nodes, int seed) {
        return FleetSpec.atRest(sidecars, nodes, LOAD, seed).lasting(LENGTH_MS).withBurst(BURST);
    }

    private static void check(String what, IntFunction<FleetSpec> spec) {
        FleetResult[] results = IntStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(seed -> FleetRun.play(spec.apply(seed)))
                .toArray(FleetResult[]::new);
        double[] byRequests = Arrays.stream(results)
                .mapToDouble(FleetResult::coldByRequests)
                .sorted()
                .toArray();
        double[] byWork = Arrays.stream(results)
                .mapToDouble(FleetResult::coldByWork)
                .sorted()
                .toArray();
        System.out.printf(
                "%s, %d seeds: by requests median %.2f, most %.2f; by work median %.2f, most %.2f, above 1 on %d%n",
                what,
                SEEDS,
                byRequests[SEEDS / 2],
                byRequests[SEEDS - 1],
                byWork[SEEDS / 2],
                byWork[SEEDS - 1],
                Arrays.stream(byWork).filter(ratio -> ratio > 1).count());
        assertTrue(byRequests[0] > 0, "cold nodes were sent nothing: " + results[0].line());
        assertTrue(byRequests[SEEDS - 1] <= 1, what + ": " + byRequests[SEEDS - 1]);
        assertTrue(byWork[SEEDS - 1] <= MOST_BY_WORK, what + ": " + byWork[SEEDS - 1]);
    }

    @ParameterizedTest
    @CsvSource({"3, 12", "14, 60", "30, 60", "100, 60", "300, 150"})
    void newNodesAreNotPushedOver(int sidecars, int nodes) {
        check(
                sidecars + " sidecars, " + nodes + " nodes, half of them replaced",
                seed -> spec(sidecars, nodes, seed).withRelease());
    }

    @ParameterizedTest
    @CsvSource({"3, 12", "14, 60", "30, 60", "100, 60", "300, 150"})
    void nodesThatComeBackAreNotPushedOver(int sidecars, int nodes) {
        check(
                sidecars + " sidecars, " + nodes + " nodes, three in ten silent for 5 s and back",
                seed -> spec(sidecars, nodes, seed).withReturn(0.3, 5000));
    }

    @Test
    void theBoundIsThatOfTheWindow() {
        ColdNodeLoad load = new ColdNodeLoad(100);
        double capacityPerMs = 0.8; // 2.5 x 2,000 ms x 0.8 / 100 = 40 requests
        double allowed = 40 + 2 * Math.sqrt(40) + 2;
        for (int i = 0; i < 10; i++) {
            load.requested(i, 150, capacityPerMs);
        }
        load.connected(10, 50, capacityPerMs);
        assertEquals(10 / allowed, load.worstByRequests(), 1e-9);
        assertEquals(15.5 / allowed, load.worstByWork(), 1e-9);
        load.requested(10 + FleetSpec.OVERLOAD_MS, 150, capacityPerMs); // alone: what came before is out of the window
        assertEquals(10 / allowed, load.worstByRequests(), 1e-9);
    }
}
