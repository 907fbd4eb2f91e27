package ivybank.scale.sweep;

import ivybank.scale.result.Point;
import ivybank.scale.result.Quantity;
import java.util.ArrayList;
import java.util.List;

/** Takes the values of one size and seed; those are left out for which the machine was the limit. */
final class Points {

    private final int size;
    private final long seed;
    private final List<Point> points = new ArrayList<>();

    Points(int size, long seed) {
        this.size = size;
        this.seed = seed;
    }

    void add(Quantity quantity, double value, Phase during) {
        points.add(new Point(quantity, size, seed, value, during.leftOut(quantity)));
    }

    /** A value that is left out for a reason of its own. */
    void leaveOut(Quantity quantity, double value, String reason) {
        points.add(new Point(quantity, size, seed, value, reason));
    }

    List<Point> all() {
        return List.copyOf(points);
    }
}
