package ivybank.rehearsal;

import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ivybank.common.Json;
import ivybank.rehearsal.referee.Service;
import ivybank.rehearsal.scenario.Scenario.RequestClass;
import ivybank.rehearsal.stand.ScenarioRun;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Tells what a day came to: on a terminal, and as JSON in the form that docs/operators/rehearsal.md describes. */
public final class Report {

    private static final int VERSION = 1;
    private static final double[] PERCENTILES = {50, 90, 99, 99.9};

    private final ScenarioRun.Result day;
    private final Verdict verdict;

    public Report(ScenarioRun.Result day) {
        this.day = day;
        this.verdict = Verdict.of(day);
    }

    public Verdict verdict() {
        return verdict;
    }

    public void print(PrintStream out) {
        Service service = day.service();
        out.printf(
                Locale.ROOT,
                "%s, seed %d: %d first tries%n",
                day.plan().scenario().name(),
                day.plan().seed(),
                day.plan().arrivals().size());
        out.printf(
                Locale.ROOT,
                "service %.3f   whole day %.3f   worst 10 s %.3f   worst class %.3f%n",
                service.figure(),
                service.whole(),
                service.worstWindow(),
                service.worstClass());
        for (int i = 0; i < day.plan().scenario().classes().size(); i++) {
            out.printf(
                    Locale.ROOT,
                    "  %-16s %.3f%n",
                    day.plan().scenario().classes().get(i).name(),
                    service.ofClass(i));
        }
        out.println("  from  in time     late  refused   failed  no connection  worth");
        service.lines().forEach(out::println);
        out.printf(
                Locale.ROOT,
                "time to answer, ms: p50 %d  p90 %d  p99 %d  most %d%n",
                service.latencies().getValueAtPercentile(50),
                service.latencies().getValueAtPercentile(90),
                service.latencies().getValueAtPercentile(99),
                service.latencies().getMaxValue());
        day.events().forEach(event -> out.printf(Locale.ROOT, "%7.2f s  %s%n", event.atMs() / 1000, event.what()));
        out.printf(
                Locale.ROOT,
                "sidecars: ready after %s ms; most memory %.0f MB, most descriptors %.0f%n",
                day.readyAfterMs().stream()
                        .map(ms -> String.valueOf(Math.round(ms)))
                        .toList(),
                day.usage().stream()
                        .mapToDouble(ScenarioRun.Usage::memoryMb)
                        .max()
                        .orElse(0),
                day.usage().stream()
                        .mapToDouble(ScenarioRun.Usage::descriptors)
                        .max()
                        .orElse(0));
        out.printf(
                Locale.ROOT,
                "cold nodes: %.0f%% of what pushes one over, at most; the kit itself was up to %.0f ms late, a sidecar waited for a core up to %.0f ms of 500%n",
                100 * day.mostPushed(),
                day.latenessMs(),
                day.starvedMs());
        new ReturnTable(day).lines().forEach(out::println);
        if (day.views() != null) {
            out.println("views: seconds until all were true after each change (no finer than 0.1)");
            day.views()
                    .epochs()
                    .forEach(each -> out.printf(
                            Locale.ROOT,
                            "%7.2f s  %5.1f of %5.1f  %s%n",
                            each.atMs() / 1000,
                            each.settledMs() / 1000,
                            each.lastedMs() / 1000,
                            each.what()));
            out.printf(
                    Locale.ROOT,
                    "views: %d looks, %d false accusations; %d datagrams and %d bytes carried, %d not, %d forged%n",
                    day.views().looks(),
                    day.views().falseAccusations(),
                    day.betweenSidecars()[0],
                    day.betweenSidecars()[1],
                    day.betweenSidecars()[2],
                    day.betweenSidecars()[3]);
        }
        day.referee()
                .examples()
                .forEach(breach -> out.printf(
                        Locale.ROOT,
                        "RULE %s at %.2f s: %s%n",
                        Verdict.word(breach.rule()),
                        breach.atMs() / 1000,
                        breach.what()));
        verdict.reasons().forEach(reason -> out.println("- " + reason));
        out.println(verdict.kind().name().toLowerCase(Locale.ROOT).replace('_', ' '));
    }

    /** Writes the JSON form; the file is whole or not there. */
    public void write(Path file) throws IOException {
        Path part = file.resolveSibling(file.getFileName() + ".part");
        Files.write(part, Json.MAPPER.writer(SerializationFeature.INDENT_OUTPUT).writeValueAsBytes(json()));
        Files.move(part, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    /** Writes the page with plots. */
    public void writeHtml(Path file) throws IOException {
        new HtmlReport(day, verdict).write(file);
    }

    ObjectNode json() {
        Service service = day.service();
        ObjectNode root = Json.MAPPER
                .createObjectNode()
                .put("version", VERSION)
                .put("scenario", day.plan().scenario().name())
                .put("seed", day.plan().seed())
                .put("first_tries", day.plan().arrivals().size())
                .put("verdict", verdict.kind().name().toLowerCase(Locale.ROOT));
        ArrayNode reasons = root.putArray("reasons");
        verdict.reasons().forEach(reasons::add);
        ObjectNode figures = root.putObject("service")
                .put("figure", service.figure())
                .put("whole", service.whole())
                .put("worst_10_s", service.worstWindow())
                .put("worst_class", service.worstClass());
        ObjectNode classes = figures.putObject("classes");
        for (int i = 0; i < day.plan().scenario().classes().size(); i++) {
            RequestClass spec = day.plan().scenario().classes().get(i);
            classes.put(spec.name(), service.ofClass(i));
        }
        ObjectNode latency = root.putObject("latency_ms");
        for (double percentile : PERCENTILES) {
            latency.put("p" + percentile, service.latencies().getValueAtPercentile(percentile));
        }
        ArrayNode seconds = root.putArray("seconds");
        for (int[] row : service.results()) {
            ObjectNode second = seconds.addObject();
            for (Service.Result result : Service.Result.values()) {
                second.put(result.name().toLowerCase(Locale.ROOT), row[result.ordinal()]);
            }
        }
        ObjectNode rules = root.putObject("rules");
        day.referee().counts().forEach((rule, count) -> rules.put(Verdict.word(rule), count));
        ArrayNode breaches = root.putArray("breaches");
        day.referee()
                .examples()
                .forEach(breach -> breaches.addObject()
                        .put("rule", Verdict.word(breach.rule()))
                        .put("at_ms", breach.atMs())
                        .put("what", breach.what()));
        ArrayNode events = root.putArray("events");
        day.events()
                .forEach(event -> events.addObject().put("at_ms", event.atMs()).put("what", event.what()));
        ArrayNode usage = root.putArray("usage");
        day.usage()
                .forEach(each -> usage.addObject()
                        .put("at_ms", each.atMs())
                        .put("sidecar", each.sidecar())
                        .put("memory_mb", each.memoryMb())
                        .put("descriptors", each.descriptors())
                        .put("cpu_s", each.cpuS()));
        if (day.views() != null) {
            ObjectNode views = root.putObject("views")
                    .put("looks", day.views().looks())
                    .put("false_accusations", day.views().falseAccusations())
                    .put("datagrams", day.betweenSidecars()[0])
                    .put("bytes", day.betweenSidecars()[1])
                    .put("lost", day.betweenSidecars()[2]);
            ArrayNode epochs = views.putArray("epochs");
            day.views().epochs().forEach(each -> {
                ObjectNode epoch = epochs.addObject()
                        .put("at_ms", each.atMs())
                        .put("what", each.what())
                        .put("lasted_ms", each.lastedMs());
                if (each.settledMs() < Double.POSITIVE_INFINITY) {
                    epoch.put("settled_ms", each.settledMs());
                }
            });
        }
        new ReturnTable(day).write(root);
        root.put("connections", day.connections())
                .put("attempts", day.attempts())
                .put("given_up", day.givenUp());
        root.put("cold_pushed", day.mostPushed())
                .put("kit_late_ms", day.latenessMs())
                .put("starved_ms", day.starvedMs());
        return root;
    }
}
