package ivybank.scale.result;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * How a quantity grows with the size, by least squares over its points.
 *
 * @param points how many there were
 * @param sizes how many different sizes they had
 * @param intercept the line at size 0
 * @param slope growth for each unit of size
 * @param interval half of the width of the slope's 95% confidence interval; NaN with fewer than three points
 * @param fit the part of the variance that the line explains, 0 to 1
 * @param exponent the power of the size with which it grows, by least squares of the logarithms; NaN where a value is not positive
 * @param residuals of the mean at each size, as a part of the line's value there, in the order of the sizes
 */
public record Slope(
        Quantity quantity,
        int points,
        int sizes,
        double intercept,
        double slope,
        double interval,
        double fit,
        double exponent,
        List<Double> residuals,
        Shape shape) {

    /** How it grows. */
    public enum Shape {
        /** It differs by little over all sizes. */
        CONSTANT,
        /** A line explains it. */
        LINEAR,
        /** Neither: it must not be extrapolated by its line. */
        NOT_LINEAR,
        /** Too few sizes were left to tell. */
        TOO_FEW
    }

    /** Sizes that a slope needs. */
    public static final int LEAST_SIZES = 5;

    private static final double CONSTANT_SPREAD = 0.2; // of the mean, between the highest and the lowest mean of a size
    private static final double LINEAR_FIT = 0.98;
    private static final double LARGEST_RESIDUAL = 0.25; // at the larger half of the sizes, where extrapolation begins
    private static final int LEAST_FOR_INTERVAL = 3;

    public Slope {
        residuals = List.copyOf(residuals);
    }

    /** Fits those points of this quantity that count. */
    public static Slope fit(Quantity quantity, List<Point> all) {
        List<Point> points = all.stream()
                .filter(point -> point.quantity() == quantity && point.counts())
                .toList();
        Map<Integer, Double> means = meansBySize(points);
        SimpleRegression line = new SimpleRegression();
        points.forEach(point -> line.addData(point.size(), point.value()));
        if (means.size() < 2) {
            return new Slope(
                    quantity,
                    points.size(),
                    means.size(),
                    Double.NaN,
                    Double.NaN,
                    Double.NaN,
                    Double.NaN,
                    Double.NaN,
                    List.of(),
                    Shape.TOO_FEW);
        }
        List<Double> residuals = new ArrayList<>();
        means.forEach((size, mean) -> residuals.add((mean - line.predict(size)) / line.predict(size)));
        double interval = points.size() < LEAST_FOR_INTERVAL ? Double.NaN : line.getSlopeConfidenceInterval();
        return new Slope(
                quantity,
                points.size(),
                means.size(),
                line.getIntercept(),
                line.getSlope(),
                interval,
                line.getRSquare(),
                exponent(means),
                residuals,
                shape(means, line, residuals));
    }

    private static Map<Integer, Double> meansBySize(List<Point> points) {
        Map<Integer, List<Double>> values = new TreeMap<>();
        points.forEach(point -> values.computeIfAbsent(point.size(), unseen -> new ArrayList<>())
                .add(point.value()));
        Map<Integer, Double> means = new TreeMap<>();
        values.forEach((size, each) -> means.put(
                size, each.stream().mapToDouble(Double::doubleValue).average().orElseThrow()));
        return means;
    }

    private static double exponent(Map<Integer, Double> means) {
        if (means.values().stream().anyMatch(mean -> mean <= 0)) {
            return Double.NaN;
        }
        SimpleRegression logarithms = new SimpleRegression();
        means.forEach((size, mean) -> logarithms.addData(Math.log(size), Math.log(mean)));
        return logarithms.getSlope();
    }

    private static Shape shape(Map<Integer, Double> means, SimpleRegression line, List<Double> residuals) {
        if (means.size() < LEAST_SIZES) {
            return Shape.TOO_FEW;
        }
        double least =
                means.values().stream().mapToDouble(Double::doubleValue).min().orElseThrow();
        double most =
                means.values().stream().mapToDouble(Double::doubleValue).max().orElseThrow();
        double mean = means.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElseThrow();
        if (most - least <= CONSTANT_SPREAD * Math.abs(mean)) {
            return Shape.CONSTANT;
        }
        boolean close = residuals.subList(residuals.size() / 2, residuals.size()).stream()
                .allMatch(residual -> Math.abs(residual) <= LARGEST_RESIDUAL);
        return line.getRSquare() >= LINEAR_FIT && close ? Shape.LINEAR : Shape.NOT_LINEAR;
    }

    /** The line's value at a size; NaN where it must not be extrapolated. */
    public double at(double size) {
        return shape == Shape.LINEAR || shape == Shape.CONSTANT ? intercept + slope * size : Double.NaN;
    }

    /** The size at which the line meets a budget; infinite where it never does, NaN where it must not be extrapolated. */
    public double sizeAt(double budget) {
        if (Double.isNaN(at(1))) {
            return Double.NaN;
        }
        return slope <= 0 ? Double.POSITIVE_INFINITY : (budget - intercept) / slope;
    }
}
