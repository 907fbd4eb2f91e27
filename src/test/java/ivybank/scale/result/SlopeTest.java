package ivybank.scale.result;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.scale.result.Quantity.Measure;
import ivybank.scale.result.Slope.Shape;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

/** What is concluded from points, and which of them count. */
class SlopeTest {

    private static final Quantity QUANTITY = Quantity.LIST_BYTES;

    private static List<Point> points(DoubleUnaryOperator value, int... sizes) {
        List<Point> points = new ArrayList<>();
        for (int size : sizes) {
            for (long seed = 1; seed <= 3; seed++) {
                points.add(new Point(QUANTITY, size, seed, value.applyAsDouble(size), ""));
            }
        }
        return points;
    }

    @Test
    void aLineIsFoundAndMeetsItsBudget() {
        Slope slope = Slope.fit(QUANTITY, points(size -> 100 + 2 * size, 25, 50, 100, 200, 400));
        assertEquals(Shape.LINEAR, slope.shape());
        assertEquals(2, slope.slope(), 1e-9);
        assertEquals(12_500, slope.at(6200), 1e-6);
        assertEquals(450, slope.sizeAt(1000), 1e-6);
    }

    @Test
    void whatHardlyDiffersIsConstantAndNeverMeetsABudgetIfItFalls() {
        Slope slope = Slope.fit(QUANTITY, points(size -> 100 - size / 100.0, 25, 50, 100, 200, 400));
        assertEquals(Shape.CONSTANT, slope.shape());
        assertEquals(Double.POSITIVE_INFINITY, slope.sizeAt(1000));
    }

    @Test
    void aSquareIsNamedNotLinearAndNotExtrapolated() {
        Slope slope = Slope.fit(QUANTITY, points(size -> size * size, 25, 50, 100, 200, 400));
        assertEquals(Shape.NOT_LINEAR, slope.shape());
        assertEquals(2, slope.exponent(), 1e-9);
        assertTrue(Double.isNaN(slope.at(6200)));
        assertTrue(Double.isNaN(slope.sizeAt(1000)));
    }

    @Test
    void fewerThanFiveSizesAreTooFew() {
        Slope slope = Slope.fit(QUANTITY, points(size -> 2 * size, 25, 50, 100, 200));
        assertEquals(Shape.TOO_FEW, slope.shape());
        assertTrue(Double.isNaN(slope.at(6200)));
    }

    @Test
    void pointsThatAreLeftOutAreInNoSlope() {
        List<Point> points = new ArrayList<>(points(size -> 2 * size, 25, 50, 100, 200, 400));
        points.add(new Point(QUANTITY, 400, 4, 1e9, "an event loop was late"));
        Slope slope = Slope.fit(QUANTITY, points);
        assertEquals(15, slope.points());
        assertEquals(2, slope.slope(), 1e-9);
    }

    @Test
    void aLateLoopLeavesOutTimesAndNeverCounts() {
        MachineLimit limit = new MachineLimit(0.9, 50);
        assertEquals("", limit.reason(Measure.COUNT, 1, 1000));
        assertFalse(limit.reason(Measure.PROCESSOR, 0.1, 51).isEmpty());
        assertFalse(limit.reason(Measure.TIME, 0.1, 51).isEmpty());
        assertEquals("", limit.reason(Measure.TIME, 0.1, 50));
    }

    @Test
    void busyProcessorsLeaveOutTimesOnTheClockAloneAndOnlyWhereALoopWasLateToo() {
        MachineLimit limit = new MachineLimit(0.9, 50);
        assertEquals("", limit.reason(Measure.PROCESSOR, 1, 11));
        assertFalse(limit.reason(Measure.TIME, 0.91, 11).isEmpty());
        assertEquals("", limit.reason(Measure.TIME, 0.91, 10));
        assertEquals("", limit.reason(Measure.TIME, 0.9, 11));
    }
}
