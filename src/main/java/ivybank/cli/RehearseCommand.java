package ivybank.cli;

import ivybank.rehearsal.Report;
import ivybank.rehearsal.Scenarios;
import ivybank.rehearsal.Shrink;
import ivybank.rehearsal.Verdict;
import ivybank.rehearsal.scenario.Plan;
import ivybank.rehearsal.scenario.Scenario;
import ivybank.rehearsal.scenario.ScenarioWriter;
import ivybank.rehearsal.scenario.Storm;
import ivybank.rehearsal.stand.Ceiling;
import ivybank.rehearsal.stand.ScenarioRun;
import ivybank.toml.InputException;
import ivybank.toml.StrictTable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code ivybank rehearse}: plays fault scenarios with emulated nodes, discovery and clients around real sidecars. */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        subcommands = {
            RehearseCommand.RunScenario.class,
            OverheadCommand.class,
            RehearseCommand.MeasureCeiling.class,
            RehearseCommand.ShrinkScenario.class
        },
        description =
                "Plays a fault scenario on this machine: emulated nodes, discovery and clients around real sidecars.")
final class RehearseCommand implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "the subcommand is missing: list, run, check, print, shrink, overhead or ceiling");
    }

    @Command(
            name = "list",
            mixinStandardHelpOptions = true,
            description = "Lists the scenarios that ship with this program.")
    int list() throws InputException {
        for (String name : Scenarios.names()) {
            Scenario scenario = Scenarios.find(name);
            System.out.printf("%-16s %4.0f s  %s%n", name, scenario.lengthS(), scenario.title());
        }
        return 0;
    }

    @Command(name = "check", mixinStandardHelpOptions = true, description = "Validates a scenario.")
    int check(
            @Parameters(
                            paramLabel = "FILE",
                            description = "a scenario file, or the name of a scenario that ships with this program")
                    String name)
            throws InputException {
        Scenario scenario = Scenarios.find(name);
        Plan plan = Plan.draw(scenario, scenario.seed());
        System.out.printf(
                "%s: good; %d nodes, %d sidecars, %d first tries in %.0f s, %d faults%n",
                scenario.name(),
                plan.nodes().size(),
                scenario.traffic().sidecars(),
                plan.arrivals().size(),
                scenario.lengthS(),
                scenario.faults().size());
        return 0;
    }

    @Command(
            name = "print",
            mixinStandardHelpOptions = true,
            description = "Writes a scenario with its storms expanded into faults, as a file that can be played again.")
    int print(
            @Parameters(paramLabel = "NAME|FILE") String name,
            @Option(
                            names = "--seed",
                            paramLabel = "N",
                            description = "the seed of the draw; the default is the scenario's own")
                    Long seed)
            throws InputException {
        Scenario scenario = Scenarios.find(name);
        long drawSeed = seed == null ? scenario.seed() : seed;
        System.out.print(ScenarioWriter.write(
                name, Scenarios.text(name), Storm.printable(scenario, drawSeed).faults()));
        return 0;
    }

    /** {@code rehearse shrink}: removes faults from a failing scenario that the failure does not need. */
    @Command(
            name = "shrink",
            mixinStandardHelpOptions = true,
            description =
                    "Plays a failing scenario repeatedly with fewer faults, until only those remain that the failure needs.")
    static final class ShrinkScenario implements Callable<Integer> {

        @Parameters(paramLabel = "NAME|FILE")
        private String name;

        @Option(
                names = "--seed",
                paramLabel = "N",
                description = "the seed of the draw; the default is the scenario's own")
        private Long seed;

        @Option(
                names = "--most",
                paramLabel = "N",
                defaultValue = "40",
                description = "the maximum number of plays (default ${DEFAULT-VALUE})")
        private int most;

        @Option(
                names = "--out",
                paramLabel = "FILE",
                required = true,
                description = "the file that the reduced scenario is written to")
        private Path out;

        @Option(names = "--sidecar", paramLabel = "COMMAND", description = "as for run")
        private String command;

        @Override
        public Integer call() throws InputException, IOException, InterruptedException {
            Scenario original = Scenarios.find(name);
            long drawSeed = seed == null ? original.seed() : seed;
            Scenario scenario = Storm.printable(original, drawSeed);
            String wantedReason = reason(scenario, drawSeed);
            if (wantedReason.isEmpty()) {
                System.out.println("the scenario passes: there is no failure to reduce");
                return Ivybank.EXIT_FAILED;
            }
            System.out.println("reducing the failure: " + wantedReason);
            List<Integer> all =
                    IntStream.range(0, scenario.faults().size()).boxed().toList();
            Shrink.Check<Integer, IOException> check = part -> {
                String seen = reasonOfTry(Storm.without(scenario, index -> !part.contains(index)), drawSeed);
                System.out.println(part.size() + " faults: " + (seen.isEmpty() ? "passes" : seen));
                return seen.equals(wantedReason);
            };
            List<Integer> keptFaults = Shrink.to(all, most, check);
            Scenario reduced = Storm.without(scenario, index -> !keptFaults.contains(index));
            Files.writeString(out, ScenarioWriter.write(name, Scenarios.text(name), reduced.faults()));
            System.out.println(keptFaults.size() + " of " + all.size() + " faults remain: " + out);
            return 0;
        }

        private String reasonOfTry(Scenario scenario, long drawSeed) throws IOException {
            try {
                return reason(scenario, drawSeed);
            } catch (InputException e) {
                throw new IOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException(e);
            }
        }

        /**
         * Plays the scenario and returns what the first reason of a failed verdict is about, without its figures; empty
         * if the verdict is not a failure.
         */
        private String reason(Scenario scenario, long drawSeed)
                throws InputException, IOException, InterruptedException {
            Path folder = Files.createTempDirectory("ivybank-shrink");
            try (ScenarioRun scenarioRun = new ScenarioRun(
                    Plan.draw(scenario, drawSeed),
                    sidecarCommand(command),
                    Path.of("").toAbsolutePath(),
                    folder,
                    line -> {})) {
                Runtime.getRuntime().addShutdownHook(new Thread(scenarioRun::close, "stop started processes"));
                Verdict verdict = Verdict.of(scenarioRun.run());
                return verdict.kind() != Verdict.Kind.FAILED
                        ? ""
                        : verdict.reasons()
                                .get(0)
                                .replaceAll("[0-9.\\[\\], ]+", " ")
                                .strip();
            } finally {
                deleteRecursively(folder);
            }
        }
    }

    /** {@code rehearse ceiling}: measures the highest request rate of one sidecar. */
    @Command(
            name = "ceiling",
            mixinStandardHelpOptions = true,
            description =
                    "Measures the highest rate of one sidecar, with clients that send the next request on each answer.")
    static final class MeasureCeiling implements Callable<Integer> {

        @Option(
                names = "--clients",
                paramLabel = "N",
                defaultValue = "1,4,16,64",
                split = ",",
                description = "the number of concurrent clients (default ${DEFAULT-VALUE})")
        private List<Integer> clients;

        @Option(names = "--seconds", paramLabel = "N", defaultValue = "4", description = "the duration of each row")
        private double seconds;

        @Option(names = "--sidecar", paramLabel = "COMMAND", description = "as for run")
        private String command;

        @Override
        public Integer call() throws InputException, IOException, InterruptedException {
            Path folder = Files.createTempDirectory("ivybank-ceiling");
            System.out.println("clients  direct/s  through/s  not served/s  sidecar's cores  its CPU ms/request");
            try (Ceiling ceiling = new Ceiling(
                    Scenarios.find("calm"), sidecarCommand(command), Path.of("").toAbsolutePath(), folder, 232)) {
                ceiling.play(16, 4, true); // warm-up
                ceiling.play(16, 2, false);
                for (int count : clients) {
                    Ceiling.Row direct = ceiling.play(count, seconds, false);
                    Ceiling.Row through = ceiling.play(count, seconds, true);
                    System.out.printf(
                            "%7d  %8.0f  %9.0f  %12.0f  %15.2f  %18.3f%n",
                            count,
                            direct.servedRate(),
                            through.servedRate(),
                            through.otherRate(),
                            through.cores(),
                            1000 * through.cores() / Math.max(1, through.servedRate() + through.otherRate()));
                }
            }
            deleteRecursively(folder);
            return 0;
        }
    }

    /**
     * Returns the command that starts a sidecar: the given one, the one deployed from this folder, or this program's
     * own.
     */
    static String sidecarCommand(String given) throws InputException, IOException {
        Path deployed = Path.of("deploy", "balancer.toml");
        if (given != null) {
            return given;
        }
        if (Files.exists(deployed)) {
            return StrictTable.parse(deployed.toString(), Files.readString(deployed))
                    .text("run", null);
        }
        return javaCommand("ivybank.Main serve");
    }

    /**
     * Returns the command that starts a class of this program.
     *
     * @param mainClass the class name, optionally followed by arguments
     */
    static String javaCommand(String mainClass) {
        return "exec env --default-signal=HUP '" + Path.of(System.getProperty("java.home"), "bin", "java")
                + "' -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp '" + System.getProperty("java.class.path") + "' "
                + mainClass;
    }

    /** Deletes a folder with its content. */
    static void deleteRecursively(Path folder) throws IOException {
        List<Path> all;
        try (var files = Files.walk(folder)) {
            all = files.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path each : all) {
            Files.delete(each);
        }
    }

    /** {@code rehearse run}: plays one scenario and judges it. */
    @Command(name = "run", mixinStandardHelpOptions = true, description = "Plays a scenario and judges it.")
    static final class RunScenario implements Callable<Integer> {

        @Parameters(
                paramLabel = "NAME|FILE",
                description = "a scenario that ships with this program, or a file that ends in .toml")
        private String name;

        @Option(
                names = "--seed",
                paramLabel = "N",
                description = "the seed of the draw; the default is the scenario's own")
        private Long seed;

        @Option(
                names = "--sidecar",
                paramLabel = "COMMAND",
                description =
                        "starts one sidecar; the default is run of deploy/balancer.toml here, or else this jar's own serve")
        private String command;

        @Option(names = "--json", paramLabel = "FILE", description = "also writes the report as JSON")
        private Path json;

        @Option(names = "--html", paramLabel = "FILE", description = "also writes the report as a page with plots")
        private Path html;

        @Option(
                names = "--state",
                paramLabel = "DIR",
                description =
                        "keeps the sidecars' configurations and logs here; the default deletes them after a run that passes")
        private Path state;

        @Override
        public Integer call() throws InputException, IOException, InterruptedException {
            Scenario scenario = Scenarios.find(name);
            Plan plan = Plan.draw(scenario, seed == null ? scenario.seed() : seed);
            boolean keep = state != null;
            Path folder = keep ? Files.createDirectories(state) : Files.createTempDirectory("ivybank-rehearsal");
            ScenarioRun.Result result;
            try (ScenarioRun scenarioRun = new ScenarioRun(
                    plan, sidecarCommand(command), Path.of("").toAbsolutePath(), folder, new Progress())) {
                Runtime.getRuntime().addShutdownHook(new Thread(scenarioRun::close, "stop started processes"));
                result = scenarioRun.run();
            }
            Report report = new Report(result);
            report.print(System.out);
            if (json != null) {
                report.write(json);
            }
            if (html != null) {
                report.writeHtml(html);
            }
            boolean passed = report.verdict().kind() == Verdict.Kind.PASSED;
            if (passed && !keep) {
                deleteRecursively(folder);
            } else {
                System.out.println("configurations and logs of the sidecars: " + folder);
            }
            return passed ? 0 : Ivybank.EXIT_FAILED;
        }
    }
}
