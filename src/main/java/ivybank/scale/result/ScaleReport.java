package ivybank.scale.result;

import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ivybank.common.Json;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Tells what a scale run came to: a table on a terminal, and JSON as docs/operators/scale.md describes it. */
public final class ScaleReport {

    private static final int VERSION = 1;

    private final ScaleResult result;

    public ScaleReport(ScaleResult result) {
        this.result = result;
    }

    public void print(PrintStream out) {
        out.printf(
                Locale.ROOT,
                "%s: %d points of %d seeds in %.1f minutes on %d processors%n",
                result.plan().name(),
                result.points().size(),
                result.plan().seeds().size(),
                result.minutes(),
                result.processors());
        for (Slope slope : result.slopes()) {
            printSlope(out, slope);
        }
        leftOut().forEach((reason, count) -> out.println("left out: " + count + " values: " + reason));
        result.notes().forEach(note -> out.println("not measured: " + note));
        if (result.beside() != null) {
            ScaleResult.BesideResult beside = result.beside();
            out.printf(
                    Locale.ROOT,
                    "beside: %d real sidecars, %s, service %.3f%n",
                    beside.sidecars(),
                    beside.verdict(),
                    beside.service());
            beside.reasons().forEach(reason -> out.println("  " + reason));
        }
    }

    private void printSlope(PrintStream out, Slope slope) {
        Quantity quantity = slope.quantity();
        out.printf(Locale.ROOT, "%n%s (%s): %s%n", word(quantity), quantity.unit(), quantity.meaning());
        means(quantity).forEach((size, mean) -> out.printf(Locale.ROOT, "  %6d  %14.3f%n", size, mean));
        out.printf(
                Locale.ROOT,
                "  %s: %.4g + %.4g (+- %.2g) x size; fit %.3f, exponent %.2f, %d points; at %d: %.4g%n",
                slope.shape().name().toLowerCase(Locale.ROOT).replace('_', ' '),
                slope.intercept(),
                slope.slope(),
                slope.interval(),
                slope.fit(),
                slope.exponent(),
                slope.points(),
                result.plan().target(),
                slope.at(result.plan().target()));
    }

    private Map<Integer, Double> means(Quantity quantity) {
        return result.points().stream()
                .filter(point -> point.quantity() == quantity && point.counts())
                .collect(Collectors.groupingBy(Point::size, TreeMap::new, Collectors.averagingDouble(Point::value)));
    }

    private Map<String, Long> leftOut() {
        return result.points().stream()
                .filter(point -> !point.counts())
                .collect(Collectors.groupingBy(
                        point -> word(point.quantity()) + " at " + point.size() + ": " + point.leftOut(),
                        TreeMap::new,
                        Collectors.counting()));
    }

    private static String word(Quantity quantity) {
        return quantity.name().toLowerCase(Locale.ROOT);
    }

    /** Writes all of it as JSON. */
    public void write(Path file) throws IOException {
        Files.writeString(
                file, Json.MAPPER.writer(SerializationFeature.INDENT_OUTPUT).writeValueAsString(json()) + "\n");
    }

    ObjectNode json() {
        ObjectNode root = Json.MAPPER
                .createObjectNode()
                .put("version", VERSION)
                .put("name", result.plan().name())
                .put("target", result.plan().target())
                .put("minutes", result.minutes())
                .put("processors", result.processors());
        ArrayNode slopes = root.putArray("slopes");
        result.slopes().forEach(slope -> slopes.add(json(slope)));
        ArrayNode points = root.putArray("points");
        result.points().forEach(point -> points.add(json(point)));
        result.notes().forEach(root.putArray("not_measured")::add);
        if (result.beside() != null) {
            ObjectNode beside = root.putObject("beside")
                    .put("sidecars", result.beside().sidecars())
                    .put("verdict", result.beside().verdict())
                    .put("service", result.beside().service());
            result.beside().reasons().forEach(beside.putArray("reasons")::add);
        }
        return root;
    }

    private ObjectNode json(Slope slope) {
        ObjectNode node = Json.MAPPER
                .createObjectNode()
                .put("quantity", word(slope.quantity()))
                .put("unit", slope.quantity().unit())
                .put("meaning", slope.quantity().meaning())
                .put("shape", slope.shape().name().toLowerCase(Locale.ROOT))
                .put("points", slope.points())
                .put("sizes", slope.sizes());
        putNumber(node, "intercept", slope.intercept());
        putNumber(node, "slope", slope.slope());
        putNumber(node, "interval_95", slope.interval());
        putNumber(node, "fit", slope.fit());
        putNumber(node, "exponent", slope.exponent());
        putNumber(node, "at_target", slope.at(result.plan().target()));
        List<Double> residuals = slope.residuals();
        ArrayNode list = node.putArray("residuals");
        residuals.forEach(residual -> {
            if (Double.isFinite(residual)) {
                list.add(residual);
            } else {
                list.addNull();
            }
        });
        return node;
    }

    private static ObjectNode json(Point point) {
        ObjectNode node = Json.MAPPER
                .createObjectNode()
                .put("quantity", word(point.quantity()))
                .put("size", point.size())
                .put("seed", point.seed());
        putNumber(node, "value", point.value());
        if (!point.counts()) {
            node.put("left_out", point.leftOut());
        }
        return node;
    }

    /** JSON has no word for what is not finite: null. */
    private static void putNumber(ObjectNode node, String field, double value) {
        if (Double.isFinite(value)) {
            node.put(field, value);
        } else {
            node.putNull(field);
        }
    }
}
