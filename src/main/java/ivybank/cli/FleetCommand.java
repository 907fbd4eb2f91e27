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

/** {@code ivybank fleet}: what all sidecars together did, from their logs. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "What all sidecars together did, from their logs, and what they see of one another.")
final class FleetCommand implements Runnable {

    private static final int WORST_NODES = 10;
    private static final int DOOR_MS = 2000;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "what to do is missing: sum LOGS or view URL...");
    }

    @Command(
            name = "sum",
            mixinStandardHelpOptions = true,
            description =
                    "Adds up the counts by second and node in a folder of logs, one file NAME.log for each sidecar.")
    int sum(
            @Parameters(paramLabel = "LOGS") Path folder,
            @Option(
                            names = "--against",
                            paramLabel = "LOGS",
                            description = "another folder: which figures grew out of proportion")
                    Path other,
            @Option(
                            names = "--fault",
                            paramLabel = "UNIX_S",
                            split = ",",
                            description = "instants of faults: how long each time until as much was"
                                    + " served of what was taken as in the 5 s before")
                    List<Double> faults,
            @Option(names = "--json", description = "as JSON") boolean json)
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
        sum.mostTimedOut(WORST_NODES).forEach(System.out::println);
        if (sum.skippedLines() > 0) {
            System.out.println(sum.skippedLines() + " lines were damaged or of another time and are left out");
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
                    "Asks several sidecars' doors what they see of one another, and shows where they differ (marked *). Exit code 1 where they do.")
    int view(
            @Parameters(
                            paramLabel = "URL",
                            arity = "1..*",
                            description = "a sidecar's door, such as http://127.0.0.1:7071")
                    List<String> doors)
            throws InputException {
        List<ViewTable.Asked> asked = new ArrayList<>();
        for (String door : doors) {
            asked.add(new ViewTable.Asked(door, ask(door)));
        }
        ViewTable table = new ViewTable(asked);
        table.lines().forEach(System.out::println);
        return table.alike() ? 0 : Ivybank.FAILED;
    }

    private static JsonNode ask(String door) throws InputException {
        try {
            return FleetViewClient.fetch(
                    (door.contains("://") ? door : "http://" + door).replaceAll("/+$", ""), DOOR_MS);
        } catch (IllegalArgumentException e) {
            throw new InputException(door + ": is no door's address; allowed is http://HOST:PORT");
        }
    }

    private static FleetSum read(Path folder) throws IOException, InputException {
        if (!Files.isDirectory(folder)) {
            throw new InputException(folder + ": is no folder; allowed is one with a file NAME.log for each sidecar");
        }
        FleetSum sum = LogFolder.sum(folder);
        if (sum.sidecars() == 0) {
            throw new InputException(folder
                    + ": no log in it has a line of counts ('tally at=...'); sidecars write one for each second");
        }
        return sum;
    }
}
