package ivybank.rehearsal.latency;

import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ivybank.common.Json;
import ivybank.rehearsal.latency.Observations.Outcome;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Tells what a sidecar adds: tables on a terminal, and JSON in the form that docs/operators/rehearsal.md describes. */
public final class OverheadReport {

    private static final int VERSION = 1;
    private static final String ROW = "  %-18s %9.3f %9.3f %9.3f %9.3f %9.3f%n";

    /** The percentiles that are told; 100 is the most. */
    private static final Map<String, Double> PERCENTILES = percentiles();

    private final VoidRule rule;
    private final List<OverheadCell> cells;

    public OverheadReport(VoidRule rule, List<OverheadCell> cells) {
        this.rule = rule;
        this.cells = List.copyOf(cells);
    }

    private static Map<String, Double> percentiles() {
        Map<String, Double> named = new TreeMap<>((one, other) -> Double.compare(value(one), value(other)));
        for (String name : List.of("p50", "p90", "p99", "p99.9", "most")) {
            named.put(name, value(name));
        }
        return named;
    }

    private static double value(String name) {
        return name.equals("most") ? 100 : Double.parseDouble(name.substring(1));
    }

    /** Prints one run when it has ended. */
    public static void print(PrintStream out, OverheadCell cell, OverheadRun run) {
        out.printf(Locale.ROOT, "%s, run %d%n", cell, run.number());
        out.printf("  %-18s %9s %9s %9s %9s %9s%n", "ms", "p50", "p90", "p99", "p99.9", "most");
        if (run.isVoid()) {
            out.println("  VOID, no result: " + run.voidReason().get());
        } else {
            printFigures(out, run);
        }
        printRow(out, "kit late, direct", run.measured().lateness(Route.DIRECT));
        printRow(out, "kit late, through", run.measured().lateness(Route.THROUGH));
        out.printf(
                Locale.ROOT,
                "  answers of other requests: %d of %d served through the sidecar%n",
                run.measured().count(Route.THROUGH, Outcome.WRONG_ANSWER)
                        + run.warmUp().count(Route.THROUGH, Outcome.WRONG_ANSWER),
                run.measured().count(Route.THROUGH, Outcome.SERVED)
                        + run.warmUp().count(Route.THROUGH, Outcome.SERVED));
        out.printf(
                Locale.ROOT,
                "  the host gave %.2f%% of the processor time that was wanted here to others%n",
                100 * run.stolenPart());
        if (run.isVoid()) {
            printPunctual(out, run);
        }
        out.flush();
    }

    /** Of a void run, those requests for which the generator was on time: they say where to look. */
    private static void printPunctual(PrintStream out, OverheadRun run) {
        RunSummary punctual = run.punctual();
        out.printf(
                Locale.ROOT,
                "  no result, of %.1f%% of the requests, for which the kit was on time:%n",
                100.0 * punctual.due() / run.measured().due());
        printRow(out, "  direct", punctual.latency(Route.DIRECT));
        printRow(out, "  through", punctual.latency(Route.THROUGH));
        double[] added = added(punctual);
        out.printf(Locale.ROOT, ROW, "  difference", added[0], added[1], added[2], added[3], added[4]);
    }

    private static void printFigures(PrintStream out, OverheadRun run) {
        RunSummary measured = run.measured();
        printRow(out, "direct", measured.latency(Route.DIRECT));
        printRow(out, "through", measured.latency(Route.THROUGH));
        double[] added = added(measured);
        out.printf(Locale.ROOT, ROW, "through - direct", added[0], added[1], added[2], added[3], added[4]);
        printRow(out, "paired difference", measured.pairedDifference());
        printRow(out, "warm-up, direct", run.warmUp().latency(Route.DIRECT));
        printRow(out, "warm-up, through", run.warmUp().latency(Route.THROUGH));
        out.printf(
                Locale.ROOT,
                "  served %.2f%% of %d through, %.2f%% of %d direct; warm-up %.1f s; sidecar CPU %.3f ms a request%n",
                100 * measured.servedPart(Route.THROUGH),
                measured.due(Route.THROUGH),
                100 * measured.servedPart(Route.DIRECT),
                measured.due(Route.DIRECT),
                run.warmUpS(),
                run.cpuMs());
    }

    private static void printRow(PrintStream out, String name, Distribution values) {
        double[] row = row(values);
        out.printf(Locale.ROOT, ROW, name, row[0], row[1], row[2], row[3], row[4]);
    }

    private static double[] row(Distribution values) {
        return PERCENTILES.values().stream().mapToDouble(values::percentileMs).toArray();
    }

    private static double[] added(RunSummary run) {
        return PERCENTILES.values().stream().mapToDouble(run::addedMs).toArray();
    }

    /** Prints the medians of all settings. */
    public void printMedians(PrintStream out) {
        out.printf("Medians of the runs that aren't void, ms%n");
        out.printf(
                "%-15s %6s %6s %5s %5s %9s %9s %9s %9s %9s %9s %9s %9s%n",
                "scenario",
                "rate",
                "nodes",
                "runs",
                "void",
                "dir p50",
                "dir p99",
                "thr p50",
                "thr p99",
                "added p50",
                "added p99",
                "pair p50",
                "pair p99");
        for (OverheadCell cell : cells) {
            out.printf(
                    Locale.ROOT,
                    "%-15s %6.0f %6d %5d %5d %9.3f %9.3f %9.3f %9.3f %9.3f %9.3f %9.3f %9.3f%n",
                    cell.disturbance(),
                    cell.ratePerS(),
                    cell.nodes(),
                    cell.runs().size(),
                    cell.runs().size() - cell.valid().size(),
                    cell.median(run -> run.latency(Route.DIRECT).percentileMs(50)),
                    cell.median(run -> run.latency(Route.DIRECT).percentileMs(99)),
                    cell.median(run -> run.latency(Route.THROUGH).percentileMs(50)),
                    cell.median(run -> run.latency(Route.THROUGH).percentileMs(99)),
                    cell.median(run -> run.addedMs(50)),
                    cell.median(run -> run.addedMs(99)),
                    cell.median(run -> run.pairedDifference().percentileMs(50)),
                    cell.median(run -> run.pairedDifference().percentileMs(99)));
        }
        out.flush();
    }

    /** Writes the JSON form. */
    public void write(Path file) throws IOException {
        Files.write(file, Json.MAPPER.writer(SerializationFeature.INDENT_OUTPUT).writeValueAsBytes(json()));
    }

    ObjectNode json() {
        ObjectNode root = Json.MAPPER.createObjectNode().put("version", VERSION);
        root.put("budget_ms", rule.budgetMs())
                .put("budget_percentile", rule.percentile())
                .put("allowed_kit_late_ms", rule.allowedMs());
        ArrayNode settings = root.putArray("settings");
        for (OverheadCell cell : cells) {
            ObjectNode node = settings.addObject()
                    .put("scenario", cell.disturbance().toString())
                    .put("rate", cell.ratePerS())
                    .put("nodes", cell.nodes());
            node.set("median_ms", medians(cell));
            ArrayNode runs = node.putArray("runs");
            cell.runs().forEach(run -> runs.add(json(run)));
        }
        return root;
    }

    private static ObjectNode medians(OverheadCell cell) {
        ObjectNode node = Json.MAPPER.createObjectNode();
        for (String name : PERCENTILES.keySet()) {
            double percentile = PERCENTILES.get(name);
            put(
                    node.withObject("/direct"),
                    name,
                    cell.median(run -> run.latency(Route.DIRECT).percentileMs(percentile)));
            put(
                    node.withObject("/through"),
                    name,
                    cell.median(run -> run.latency(Route.THROUGH).percentileMs(percentile)));
            put(node.withObject("/added"), name, cell.median(run -> run.addedMs(percentile)));
            put(
                    node.withObject("/paired"),
                    name,
                    cell.median(run -> run.pairedDifference().percentileMs(percentile)));
        }
        return node;
    }

    private static ObjectNode json(OverheadRun run) {
        ObjectNode node = Json.MAPPER.createObjectNode().put("run", run.number());
        node.put("void", run.voidReason().orElse(null)).put("warm_up_s", run.warmUpS());
        node.put("cpu_ms", run.cpuMs()).put("stolen_part", run.stolenPart());
        node.set("kit_late_ms", byRoute(run.measured(), true));
        if (!run.isVoid()) {
            node.set("latency_ms", byRoute(run.measured(), false));
            double[] added = added(run.measured());
            int at = 0;
            for (String name : PERCENTILES.keySet()) {
                put(node.withObject("/added_ms"), name, added[at++]);
            }
            node.set("paired_ms", json(run.measured().pairedDifference()));
            node.set("warm_up_latency_ms", byRoute(run.warmUp(), false));
        }
        ObjectNode outcomes = node.putObject("outcomes");
        for (Route route : Route.values()) {
            ObjectNode counts = outcomes.putObject(word(route));
            for (Outcome outcome : Outcome.values()) {
                counts.put(
                        outcome.name().toLowerCase(Locale.ROOT), run.measured().count(route, outcome));
            }
        }
        return node;
    }

    private static ObjectNode byRoute(RunSummary run, boolean lateness) {
        ObjectNode node = Json.MAPPER.createObjectNode();
        for (Route route : Route.values()) {
            node.set(word(route), json(lateness ? run.lateness(route) : run.latency(route)));
        }
        return node;
    }

    private static ObjectNode json(Distribution values) {
        ObjectNode node = Json.MAPPER.createObjectNode().put("count", values.count());
        PERCENTILES.forEach((name, percentile) -> put(node, name, values.percentileMs(percentile)));
        return node;
    }

    /** A figure that is not known is left out: JSON has no word for it. */
    private static void put(ObjectNode node, String name, double ms) {
        if (!Double.isNaN(ms)) {
            node.put(name, ms);
        }
    }

    private static String word(Route route) {
        return route.name().toLowerCase(Locale.ROOT);
    }
}
