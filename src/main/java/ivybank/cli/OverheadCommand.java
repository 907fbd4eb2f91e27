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

/** {@code rehearse overhead}: measures the latency that a sidecar adds to a call. */
@Command(
        name = "overhead",
        mixinStandardHelpOptions = true,
        description =
                "Measures the latency that a sidecar adds to a call: direct calls against calls through it, in the same run.")
final class OverheadCommand implements Callable<Integer> {

    /** The served fraction of the requests through the sidecar from which on a rate counts as sustained. */
    private static final double MIN_SERVED_FRACTION = 0.99;

    private static final double RATE_STEP_FACTOR = 1.25;
    private static final int WARM_UP_REQUESTS = 300;
    private static final int LOOPBACK_NET = 231;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--rate",
            paramLabel = "N",
            defaultValue = "61,200,600,2000",
            split = ",",
            description = "requests per second through the sidecar, and as many direct ones (default ${DEFAULT-VALUE})")
    private List<Double> rates;

    @Option(
            names = "--nodes",
            paramLabel = "N",
            defaultValue = "8,25,100",
            split = ",",
            description = "the number of nodes (default ${DEFAULT-VALUE})")
    private List<Integer> nodes;

    @Option(
            names = "--scenario",
            paramLabel = "NAME",
            defaultValue = "rest",
            split = ",",
            description =
                    "the disturbance during the run: rest, list-change, sighup, hanging-node, bad-answers, second-answers, collection "
                            + "(default ${DEFAULT-VALUE})")
    private List<String> scenarios;

    @Option(
            names = "--most",
            paramLabel = "N",
            defaultValue = "0",
            description = "raises the last rate by steps of a quarter, up to this one or the last sustained one")
    private double maxRate;

    @Option(
            names = "--runs",
            paramLabel = "N",
            defaultValue = "1",
            description = "runs of each setting; medians are reported")
    private int runs;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "15",
            description = "measured seconds of each run, after its warm-up (default ${DEFAULT-VALUE})")
    private double seconds;

    @Option(
            names = "--warm-up",
            paramLabel = "N",
            defaultValue = "5",
            description = "seconds excluded at the start of each run, or the time of " + WARM_UP_REQUESTS
                    + " requests through the sidecar if that is longer (default ${DEFAULT-VALUE})")
    private double warmUpS;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "the seed of the arrivals")
    private long seed;

    @Option(names = "--sidecar", paramLabel = "COMMAND", description = "as for run")
    private String command;

    @Option(
            names = "--bare-relay",
            description =
                    "replaces the sidecar by a process that only forwards bytes: the minimum cost of a hop on this machine")
    private boolean bareRelay;

    @Option(names = "--json", paramLabel = "FILE", description = "also writes the report as JSON")
    private Path json;

    @Option(names = "--plot", paramLabel = "FILE", description = "also writes the percentiles as a PNG image")
    private Path plot;

    /** Returns 0, or 1 if a setting has no valid run. */
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
        return cells.stream().anyMatch(cell -> cell.valid().isEmpty()) ? Ivybank.EXIT_FAILED : 0;
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

    /** Measures all rates of one setting on one sidecar. */
    private List<OverheadCell> measure(Disturbance disturbance, int count)
            throws InputException, IOException, InterruptedException {
        Path state = Files.createTempDirectory("ivybank-overhead");
        Overhead.Setup setup = new Overhead.Setup(
                Scenarios.find("calm"),
                bareRelay
                        ? RehearseCommand.javaCommand(BareRelay.class.getName())
                        : RehearseCommand.sidecarCommand(command),
                Path.of("").toAbsolutePath(),
                state,
                LOOPBACK_NET,
                count,
                disturbance);
        List<OverheadCell> cells = new ArrayList<>();
        try (Overhead overhead = new Overhead(setup)) {
            for (double rate : rates) {
                cells.add(measure(overhead, rate, setup));
            }
            double rate = rates.get(rates.size() - 1);
            while (rate * RATE_STEP_FACTOR <= maxRate && isSustained(cells.get(cells.size() - 1))) {
                rate *= RATE_STEP_FACTOR;
                cells.add(measure(overhead, rate, setup));
            }
        }
        RehearseCommand.deleteRecursively(state);
        return cells;
    }

    private OverheadCell measure(Overhead overhead, double rate, Overhead.Setup setup) throws IOException {
        Overhead.Length length = new Overhead.Length(new WarmUpRule(warmUpS, WARM_UP_REQUESTS), seconds, seed);
        List<OverheadRun> finishedRuns = new ArrayList<>();
        for (int i = 0; i < runs; i++) {
            finishedRuns.add(overhead.play(rate, length));
            OverheadCell soFar = new OverheadCell(rate, setup.nodes(), setup.disturbance(), finishedRuns);
            OverheadReport.print(System.out, soFar, finishedRuns.get(i));
            if (setup.disturbance() == Disturbance.SECOND_ANSWERS) {
                System.out.println("  nodes, all runs so far: " + overhead.secondAnswers());
            }
        }
        return new OverheadCell(rate, setup.nodes(), setup.disturbance(), finishedRuns);
    }

    private static boolean isSustained(OverheadCell cell) {
        return cell.runs().stream().allMatch(run -> run.measured().servedPart(Route.THROUGH) >= MIN_SERVED_FRACTION);
    }
}
