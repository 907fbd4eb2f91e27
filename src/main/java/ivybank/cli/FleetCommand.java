package ivybank.cli;

import com.fasterxml.jackson.databind.JsonNode;
import ivybank.common.FleetViewClient;
import ivybank.common.Json;
import ivybank.tally.FleetSum;
import ivybank.tally.LogFolder;
import ivybank.toml.InputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code ivybank fleet}: summarises what all sidecars together did, and compares their views of the fleet. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description =
                "Summarises what all sidecars together did, from their logs, and compares their views of the fleet.")
final class FleetCommand implements Runnable {

    private static final int MAX_WORST_NODES = 10;
    private static final int ADMIN_CALL_TIMEOUT_MS = 2000;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "the subcommand is missing: sum LOGS or view URL...");
    }

    @Command(
            name = "sum",
            mixinStandardHelpOptions = true,
            description =
                    "Adds up the counts per second and node from a folder of logs, with one file NAME.log per sidecar.")
    int sum(
            @Parameters(paramLabel = "LOGS") Path folder,
            @Option(
                            names = "--against",
                            paramLabel = "LOGS",
                            description =
                                    "another folder to compare with: shows the figures that grew out of proportion")
                    Path other,
            @Option(
                            names = "--fault",
                            paramLabel = "UNIX_S",
                            split = ",",
                            description = "times of faults: shows for each how long it took until the served share"
                                    + " of the requests was back at its value of the 5 s before")
                    List<Double> faults,
            @Option(names = "--json", description = "prints JSON") boolean json)
            throws IOException, InputException {
        FleetSum sum = read(folder);
        FleetSum before = other == null ? null : read(other);
        if (json) {
            Map<String, Object> all = new LinkedHashMap<>();
            Map<String, Double> figures = new LinkedHashMap<>();
            sum.figures().forEach(figure -> figures.put(figure.name(), figure.value()));
            all.put("figures", figures);
            all.put("left out", sum.skippedLines());
            if (faults != null) {
                Map<String, String> full = new LinkedHashMap<>();
                faults.forEach(fault ->
                        full.put(String.format(Locale.ROOT, "%.0f", fault), String.valueOf(sum.toFullService(fault))));
                all.put("seconds to full service", full);
            }
            if (before != null) {
                all.put("out of proportion", sum.against(before));
            }
            System.out.println(Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(all));
            return 0;
        }
        sum.table().forEach(System.out::println);
        System.out.println();
        sum.figures()
                .forEach(figure ->
                        System.out.println(String.format(Locale.ROOT, "%12.3f  %s", figure.value(), figure.name())));
        if (faults != null) {
            faults.forEach(fault -> System.out.println(String.format(
                    Locale.ROOT, "%12.1f  s to full service after %.0f", sum.toFullService(fault), fault)));
        }
        System.out.println("\nnodes with the most attempts timed out:");
        sum.mostTimedOut(MAX_WORST_NODES).forEach(System.out::println);
        if (sum.skippedLines() > 0) {
            System.out.println(sum.skippedLines() + " lines were malformed or of another period and are left out");
        }
        if (before != null) {
            System.out.println("\nout of proportion against " + other + ":");
            sum.against(before).forEach(System.out::println);
        }
        return 0;
    }

    @Command(
            name = "view",
            mixinStandardHelpOptions = true,
            description =
                    "Compares the views of the fleet of several sidecars, read from their admin endpoints; differences are marked *. Exits with 1 if they differ.")
    int view(
            @Parameters(
                            paramLabel = "URL",
                            arity = "1..*",
                            description = "a sidecar's admin endpoint, such as http://127.0.0.1:7071")
                    List<String> endpoints)
            throws InputException {
        List<ViewTable.Reply> replies = new ArrayList<>();
        for (String endpoint : endpoints) {
            replies.add(new ViewTable.Reply(endpoint, ask(endpoint)));
        }
        ViewTable table = new ViewTable(replies);
        table.lines().forEach(System.out::println);
        return table.isConsistent() ? 0 : Ivybank.EXIT_FAILED;
    }

    private static JsonNode ask(String endpoint) throws InputException {
        try {
            return FleetViewClient.fetch(
                    (endpoint.contains("://") ? endpoint : "http://" + endpoint).replaceAll("/+$", ""),
                    ADMIN_CALL_TIMEOUT_MS);
        } catch (IllegalArgumentException e) {
            throw new InputException(
                    endpoint + ": is not the address of an admin endpoint; http://HOST:PORT is allowed");
        }
    }

    private static FleetSum read(Path folder) throws IOException, InputException {
        if (!Files.isDirectory(folder)) {
            throw new InputException(
                    folder + ": is not a folder; a folder with one file NAME.log per sidecar is allowed");
        }
        FleetSum sum = LogFolder.sum(folder);
        if (sum.sidecars() == 0) {
            throw new InputException(
                    folder + ": no log in it has a line of counts ('tally at=...'); sidecars write one per second");
        }
        return sum;
    }
}
