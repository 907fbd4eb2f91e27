package ivybank.rehearsal;

import ivybank.rehearsal.referee.Service;
import ivybank.rehearsal.stand.ScenarioRun;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntToDoubleFunction;

/** One page, whole in itself, with the day's plots on one time line: results, latency, nodes and sidecars. */
final class HtmlReport {

    private static final int WIDTH = 1000;
    private static final int LEFT = 110;
    private static final int HEIGHT = 150;
    private static final int LANE = 14;
    private static final String[] RESULT_COLOURS = {"#3a7d44", "#e9c46a", "#4c78a8", "#b23a48", "#6d597a"};
    private static final Map<String, String> STATE_COLOURS = Map.of(
            "ready",
            "#d5e8d4",
            "cold",
            "#9ecae1",
            "draining",
            "#f2cc8f",
            "down",
            "#666666",
            "silent",
            "#b23a48",
            "slow",
            "#e07a5f",
            "spoils",
            "#9d4edd");
    private static final String[] LINES = {"#1d3557", "#b23a48", "#3a7d44", "#9d4edd", "#e07a5f", "#4c78a8"};

    private final ScenarioRun.Result day;
    private final Verdict verdict;
    private final double lengthS;
    private final StringBuilder out = new StringBuilder();

    HtmlReport(ScenarioRun.Result day, Verdict verdict) {
        this.day = day;
        this.verdict = verdict;
        this.lengthS = day.plan().scenario().lengthS();
    }

    void write(Path file) throws IOException {
        Files.writeString(file, text(), StandardCharsets.UTF_8);
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private void add(String format, Object... values) {
        out.append(String.format(Locale.ROOT, format, values)).append('\n');
    }

    private double x(double seconds) {
        return LEFT + Math.min(lengthS, seconds) / lengthS * (WIDTH - LEFT - 20);
    }

    String text() {
        Service service = day.service();
        String name = escaped(day.plan().scenario().name());
        add(
                "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>%s, seed %d</title>",
                name, day.plan().seed());
        add(
                "<style>body{font:14px sans-serif;margin:24px;max-width:1040px;color:#222}svg{display:block}table{border-collapse:"
                        + "collapse}td,th{padding:2px 10px;text-align:left;border-bottom:1px solid #ddd}.failed{color:#b23a48}"
                        + ".passed{color:#3a7d44}.key span{display:inline-block;width:11px;height:11px;margin:0 4px 0 14px}</style>");
        String kind = verdict.kind().name().toLowerCase(Locale.ROOT);
        add(
                "<h1>%s, seed %d: <span class=\"%s\">%s</span></h1><p>%s</p>",
                name,
                day.plan().seed(),
                kind,
                kind.replace('_', ' '),
                escaped(day.plan().scenario().title()));
        list(verdict.reasons());
        add(
                "<table><tr><th>service<th>whole day<th>worst 10 s<th>worst class<th>p50, ms<th>p99, ms</tr><tr><td>%.3f<td>%.3f"
                        + "<td>%.3f<td>%.3f<td>%d<td>%d</tr></table>",
                service.figure(),
                service.whole(),
                service.worstWindow(),
                service.worstClass(),
                service.latencies().getValueAtPercentile(50),
                service.latencies().getValueAtPercentile(99));
        results(service);
        latency(service);
        borne();
        nodes();
        usage("Memory of the sidecars, MB", ScenarioRun.Usage::memoryMb);
        usage("Descriptors of the sidecars", ScenarioRun.Usage::descriptors);
        add("<h2>What happened</h2><table>");
        day.events().forEach(event -> add("<tr><td>%.2f s<td>%s</tr>", event.atMs() / 1000, escaped(event.what())));
        add("</table><h2>Rules</h2>");
        list(day.referee().examples().stream()
                .map(breach -> String.format(
                        Locale.ROOT,
                        "%.2f s, %s: %s",
                        breach.atMs() / 1000,
                        Verdict.word(breach.rule()),
                        breach.what()))
                .toList());
        add(
                "<p>%s The kit itself was up to %.0f ms late.</p></html>",
                day.referee().counts().isEmpty() ? "No rule was broken." : "", day.latenessMs());
        return out.toString();
    }

    private void list(List<String> items) {
        if (!items.isEmpty()) {
            add("<ul>");
            items.forEach(item -> add("<li>%s", escaped(item)));
            add("</ul>");
        }
    }

    private void begin(String title, int height) {
        add("<h2>%s</h2><svg width=\"%d\" height=\"%d\" font-size=\"11\">", title, WIDTH, height + 22);
    }

    /** The time line under a plot, and the faults across it. */
    private void end(int height) {
        double step = lengthS > 60 ? 30 : lengthS > 12 ? 5 : 1;
        for (double s = 0; s <= lengthS; s += step) {
            add("<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%.0f s</text>", x(s), height + 16, s);
        }
        for (ScenarioRun.Event event : day.events()) {
            add(
                    "<line x1=\"%1$.1f\" x2=\"%1$.1f\" y1=\"0\" y2=\"%2$d\" stroke=\"#999\" stroke-dasharray=\"3 3\"><title>%3$s"
                            + "</title></line>",
                    x(event.atMs() / 1000), height, escaped(event.what()));
        }
        add("</svg>");
    }

    private void scale(double most, String unit) {
        for (double part : new double[] {0, 0.5, 1}) {
            double y = HEIGHT - part * (HEIGHT - 10);
            add("<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%.0f %s</text>", LEFT - 6, y + 4, most * part, unit);
            add("<line x1=\"%d\" x2=\"%d\" y1=\"%3$.1f\" y2=\"%3$.1f\" stroke=\"#eee\"/>", LEFT, WIDTH - 20, y);
        }
    }

    private void key(Iterable<Map.Entry<String, String>> words) {
        add("<p class=\"key\">");
        words.forEach(word -> add("<span style=\"background:%s\"></span>%s", word.getValue(), escaped(word.getKey())));
        add("</p>");
    }

    private void results(Service service) {
        int[][] rows = service.results();
        double most = 1;
        for (int[] row : rows) {
            most = Math.max(most, java.util.Arrays.stream(row).sum());
        }
        begin("First tries by what they came to, each second", HEIGHT);
        scale(most, "/s");
        for (int s = 0; s < rows.length; s++) {
            double base = HEIGHT;
            for (int r = 0; r < rows[s].length; r++) {
                double high = rows[s][r] / most * (HEIGHT - 10);
                base -= high;
                if (high > 0) {
                    add(
                            "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>",
                            x(s), base, Math.max(0.5, x(s + 1) - x(s) - 1), high, RESULT_COLOURS[r]);
                }
            }
        }
        end(HEIGHT);
        Map<String, String> words = new LinkedHashMap<>();
        for (Service.Result result : Service.Result.values()) {
            words.put(result.name().toLowerCase(Locale.ROOT).replace('_', ' '), RESULT_COLOURS[result.ordinal()]);
        }
        key(words.entrySet());
    }

    private void latency(Service service) {
        int seconds = service.results().length;
        double most = 1;
        for (int s = 0; s < seconds; s++) {
            double top = service.latencyMs(s, 99);
            most = Double.isNaN(top) ? most : Math.max(most, top);
        }
        begin("Time to answer of what was served", HEIGHT);
        scale(most, "ms");
        line(seconds, most, LINES[0], s -> service.latencyMs(s, 50));
        line(seconds, most, LINES[1], s -> service.latencyMs(s, 99));
        end(HEIGHT);
        Map<String, String> words = new LinkedHashMap<>();
        words.put("p50", LINES[0]);
        words.put("p99", LINES[1]);
        key(words.entrySet());
    }

    /** What the nodes and discovery bore, for what comes back at once asks at once. */
    private void borne() {
        int seconds = day.service().results().length;
        double most = 1;
        for (int s = 0; s < seconds; s++) {
            most = Math.max(
                    most,
                    Math.max(
                            day.returns().borne(s).begun(),
                            Math.max(
                                    day.returns().borne(s).justBack(),
                                    day.returns().borne(s).calls())));
        }
        begin("What others bore, each second", HEIGHT);
        scale(most, "/s");
        line(seconds, most, LINES[0], s -> day.returns().borne(s).begun());
        line(seconds, most, LINES[1], s -> day.returns().borne(s).justBack());
        line(seconds, most, LINES[2], s -> day.returns().borne(s).calls());
        end(HEIGHT);
        Map<String, String> words = new LinkedHashMap<>();
        words.put("connections begun at one node", LINES[0]);
        words.put("attempts at one node just back", LINES[1]);
        words.put("calls to discovery", LINES[2]);
        key(words.entrySet());
    }

    private void line(int seconds, double most, String colour, IntToDoubleFunction value) {
        StringBuilder points = new StringBuilder();
        for (int s = 0; s < seconds; s++) {
            double at = value.applyAsDouble(s);
            if (!Double.isNaN(at)) {
                points.append(String.format(Locale.ROOT, "%.1f,%.1f ", x(s + 0.5), HEIGHT - at / most * (HEIGHT - 10)));
            }
        }
        add("<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\"/>", points, colour);
    }

    private void nodes() {
        Map<String, Integer> lanes = new LinkedHashMap<>();
        day.states().forEach(state -> lanes.putIfAbsent(state.host(), lanes.size()));
        int height = lanes.size() * LANE;
        begin("Nodes", height);
        lanes.forEach((host, lane) -> add(
                "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%s</text>",
                LEFT - 6, lane * LANE + LANE - 3, escaped(host)));
        for (int i = 0; i < day.states().size(); i++) {
            ScenarioRun.NodeState state = day.states().get(i);
            double until = lengthS * 1000;
            for (int j = i + 1; j < day.states().size(); j++) {
                if (day.states().get(j).host().equals(state.host())) {
                    until = day.states().get(j).atMs();
                    break;
                }
            }
            double from = Math.max(0, state.atMs()) / 1000;
            add(
                    "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"><title>%s: %s</title></rect>",
                    x(from),
                    lanes.get(state.host()) * LANE + 1,
                    Math.max(0, x(until / 1000) - x(from)),
                    LANE - 2,
                    STATE_COLOURS.getOrDefault(state.state(), "#fff"),
                    escaped(state.host()),
                    state.state());
        }
        end(height);
        key(new java.util.TreeMap<>(STATE_COLOURS).entrySet());
    }

    private void usage(String title, java.util.function.ToDoubleFunction<ScenarioRun.Usage> value) {
        double most = Math.max(1, day.usage().stream().mapToDouble(value).max().orElse(1));
        begin(title, HEIGHT);
        scale(most, "");
        for (int i = 0; i < day.plan().scenario().traffic().sidecars(); i++) {
            StringBuilder points = new StringBuilder();
            for (ScenarioRun.Usage each : day.usage()) {
                if (each.sidecar() == i && each.atMs() <= lengthS * 1000) {
                    points.append(String.format(
                            Locale.ROOT,
                            "%.1f,%.1f ",
                            x(each.atMs() / 1000),
                            HEIGHT - value.applyAsDouble(each) / most * (HEIGHT - 10)));
                }
            }
            add(
                    "<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\"><title>sidecar %d</title></polyline>",
                    points, LINES[i % LINES.length], i);
        }
        end(HEIGHT);
    }
}
