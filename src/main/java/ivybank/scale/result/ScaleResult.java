package ivybank.scale.result;

import ivybank.scale.plan.ScalePlan;
import java.util.ArrayList;
import java.util.List;

/**
 * What a scale run came to.
 *
 * @param notes what could not be measured, and why
 * @param beside the day of real sidecars; null where none was played
 * @param processors that the run could use
 */
public record ScaleResult(
        ScalePlan plan, List<Point> points, List<String> notes, BesideResult beside, int processors, double minutes) {

    /** How a day of real sidecars was judged by the kit's referee. */
    public record BesideResult(int sidecars, String verdict, List<String> reasons, double service) {}

    public ScaleResult {
        points = List.copyOf(points);
        notes = List.copyOf(notes);
    }

    /** The slope of each quantity that was measured. */
    public List<Slope> slopes() {
        List<Slope> slopes = new ArrayList<>();
        for (Quantity quantity : Quantity.values()) {
            if (points.stream().anyMatch(point -> point.quantity() == quantity)) {
                slopes.add(Slope.fit(quantity, points));
            }
        }
        return slopes;
    }
}
