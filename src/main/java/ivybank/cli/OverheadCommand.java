package ivybank.cli;

import ivybank.rehearsal.Scenarios;
import ivybank.rehearsal.latency.BareRelay;
import ivybank.rehearsal.latency.Disturbance;
import ivybank.rehearsal.latency.OverheadCell;
import ivybank.rehearsal.latency.OverheadReport;
import ivybank.rehearsal.latency.OverheadRun;
import ivybank.rehearsal.latency.PercentilePlot;
import ivybank.rehearsal.latency.Route;
import ivybank.rehearsal.latency.VoidRule;
import ivybank.rehearsal.latency.WarmUpRule;
import ivybank.rehearsal.stand.Overhead;
import ivybank.toml.InputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code rehearse overhead}: what a sidecar adds to the time of a call. */
@Command(
        name = "overhead",
        mixinStandardHelpOptions = true,
        description = "Measures what a sidecar adds to a call: direct against through it, in the same run.")
final class OverheadCommand implements Callable<Integer> {

    private static final double HELD = 0.99; // of the requests through the sidecar served: the rate is held
    private static final double STEP = 1.25;
    private static final int WARM_UP_REQUESTS = 300;
    private static final int NET = 231;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--rate",
            paramLabel = "N",
            defaultValue = "61,200,600,2000",
            split = ",",
            description = "requests a second through the sidecar, and as many direct ones (default ${DEFAULT-VALUE})")
    private List<Double> rates;

    @Option(
            names = "--nodes",
            paramLabel = "N",
            defaultValue = "8,25,100",
            split = ",",
            description = "how many nodes there are (default ${DEFAULT-VALUE})")
    private List<Integer> nodes;

    @Option(
            names = "--scenario",
            paramLabel = "NAME",
            defaultValue = "rest",
            split = ",",
            description =
                    "what happens meanwhile: rest, list-change, sighup, hanging-node, bad-answers, second-answers, collection "
                            + "(default ${DEFAULT-VALUE})")
    private List<String> scenarios;

    @Option(
            names = "--most",
            paramLabel = "N",
            defaultValue = "0",
            description = "goes on from the last rate by steps of a quarter, up to this one or the last that is held")
    private double most;

    @Option(names = "--runs", paramLabel = "N", defaultValue = "1", description = "of each setting; medians are told")
    private int runs;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "15",
            description = "measured in each run, after its warm-up (default ${DEFAULT-VALUE})")
    private double seconds;

    @Option(
            names = "--warm-up",
            paramLabel = "N",
            defaultValue = "5",
            description = "seconds left out at the start of each run, or the time of " + WARM_UP_REQUESTS
                    + " requests through the sidecar if that is longer (default ${DEFAULT-VALUE})")
    private double warmUpS;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "of the arrivals")
    private long seed;

    @Option(names = "--sidecar", paramLabel = "COMMAND", description = "as with run")
    private String command;

    @Option(
            names = "--bare-relay",
            description =
                    "measures a process in the sidecar's place that only passes bytes on: the least that a hop costs here")
    private boolean bareRelay;

    @Option(names = "--json", paramLabel = "FILE", description = "writes the report as JSON too")
    private Path json;

    @Option(names = "--plot", paramLabel = "FILE", description = "writes the percentiles as a picture too (PNG)")
    private Path plot;

    /** 0; or 1 if a setting has no run that isn't void. */
    @Override
    public Integer call() throws InputException, IOException, InterruptedException {
        List<Disturbance> disturbances = check();
        List<OverheadCell> cells = new ArrayList<>();
        for (Disturbance disturbance : disturbances) {
            for (int count : nodes) {
                cells.addAll(measure(disturbance, count));
            }
        }
        OverheadReport report = new OverheadReport(VoidRule.STANDARD, cells);
        report.printMedians(System.out);
        if (json != null) {
            report.write(json);
        }
        if (plot != null) {
            PercentilePlot.write(cells, plot);
        }
        return cells.stream().anyMatch(cell -> cell.valid().isEmpty()) ? Ivybank.FAILED : 0;
    }

    private List<Disturbance> check() {
        boolean anyRate = rates.stream().allMatch(rate -> rate > 0);
        boolean anyNode = nodes.stream().allMatch(count -> count > 1 && count <= 1000);
        if (!anyRate || !anyNode || runs < 1 || !(seconds > 0) || !(warmUpS >= 0)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "--rate, --seconds and --runs must be above 0, --nodes from 2 to 1000, --warm-up not below 0");
        }
        try {
            return scenarios.stream().map(Disturbance::of).toList();
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--scenario: " + e.getMessage());
        }
    }

    /** All rates of one setting, on one sidecar. */
    private List<OverheadCell> measure(Disturbance disturbance, int count)
            throws InputException, IOException, InterruptedException {
        Path state = Files.createTempDirectory("ivybank-overhead");
        Overhead.Setup setup = new Overhead.Setup(
                Scenarios.find("calm"),
                bareRelay ? RehearseCommand.java(BareRelay.class.getName()) : RehearseCommand.sidecar(command),
                Path.of("").toAbsolutePath(),
                state,
                NET,
                count,
                disturbance);
        List<OverheadCell> cells = new ArrayList<>();
        try (Overhead overhead = new Overhead(setup)) {
            for (double rate : rates) {
                cells.add(measure(overhead, rate, setup));
            }
            double rate = rates.get(rates.size() - 1);
            while (rate * STEP <= most && held(cells.get(cells.size() - 1))) {
                rate *= STEP;
                cells.add(measure(overhead, rate, setup));
            }
        }
        RehearseCommand.remove(state);
        return cells;
    }

    private OverheadCell measure(Overhead overhead, double rate, Overhead.Setup setup) throws IOException {
        Overhead.Length length = new Overhead.Length(new WarmUpRule(warmUpS, WARM_UP_REQUESTS), seconds, seed);
        List<OverheadRun> played = new ArrayList<>();
        for (int i = 0; i < runs; i++) {
            played.add(overhead.play(rate, length));
            OverheadCell soFar = new OverheadCell(rate, setup.nodes(), setup.disturbance(), played);
            OverheadReport.print(System.out, soFar, played.get(i));
            if (setup.disturbance() == Disturbance.SECOND_ANSWERS) {
                System.out.println("  nodes, all runs so far: " + overhead.secondAnswers());
            }
        }
        return new OverheadCell(rate, setup.nodes(), setup.disturbance(), played);
    }

    private static boolean held(OverheadCell cell) {
        return cell.runs().stream().allMatch(run -> run.measured().servedPart(Route.THROUGH) >= HELD);
    }
}
