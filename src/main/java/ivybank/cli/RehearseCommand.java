package ivybank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;

import ivybank.rehearsal.Report;
import ivybank.rehearsal.Scenarios;
import ivybank.rehearsal.Verdict;
import ivybank.rehearsal.scenario.Plan;
import ivybank.rehearsal.scenario.Scenario;
import ivybank.rehearsal.stand.Day;
import ivybank.toml.InputException;
import ivybank.toml.StrictTable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code ivybank rehearse}: plays bad nights on stand-ins round real sidecars. */
@Command(name = "rehearse", mixinStandardHelpOptions = true, subcommands = RehearseCommand.Run.class,
        description = "Plays a bad night on this machine: stand-in nodes, roster and clients round real sidecars.")
final class RehearseCommand implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "one of list, run and check is missing");
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "The scenarios that ship with this program.")
    int list() throws InputException {
        for (String name : Scenarios.names()) {
            Scenario scenario = Scenarios.find(name);
            System.out.printf("%-16s %4.0f s  %s%n", name, scenario.lengthS(), scenario.title());
        }
        return 0;
    }

    @Command(name = "check", mixinStandardHelpOptions = true, description = "Reads a scenario and says whether it can be used.")
    int check(@Parameters(paramLabel = "FILE", description = "a scenario's file, or the name of one that ships") String name)
            throws InputException {
        Scenario scenario = Scenarios.find(name);
        Plan plan = Plan.draw(scenario, scenario.seed());
        System.out.printf("%s: good; %d nodes, %d sidecars, %d first tries in %.0f s, %d faults%n", scenario.name(),
                plan.nodes().size(), scenario.traffic().sidecars(), plan.arrivals().size(), scenario.lengthS(),
                scenario.faults().size());
        return 0;
    }

    /** {@code rehearse run}. */
    @Command(name = "run", mixinStandardHelpOptions = true, description = "Plays a scenario and judges it.")
    static final class Run implements Callable<Integer> {

        @Parameters(paramLabel = "NAME|FILE", description = "a scenario that ships, or a file that ends in .toml")
        private String name;

        @Option(names = "--seed", paramLabel = "N", description = "the draw to play; the scenario's own otherwise")
        private Long seed;

        @Option(names = "--sidecar", paramLabel = "COMMAND",
                description = "starts one sidecar; otherwise run of deploy/balancer.toml here, or this jar's own serve")
        private String command;

        @Option(names = "--json", paramLabel = "FILE", description = "writes the report as JSON too")
        private Path json;

        @Option(names = "--state", paramLabel = "DIR",
                description = "keeps the sidecars' configurations and logs here; otherwise they go when a run is good")
        private Path state;

        @Override
        public Integer call() throws InputException, IOException, InterruptedException {
            Scenario scenario = Scenarios.find(name);
            Plan plan = Plan.draw(scenario, seed == null ? scenario.seed() : seed);
            boolean keep = state != null;
            Path folder = keep ? Files.createDirectories(state) : Files.createTempDirectory("ivybank-rehearsal");
            Day.Result result;
            try (Day day = new Day(plan, sidecar(), Path.of("").toAbsolutePath(), folder, new Progress())) {
                Runtime.getRuntime().addShutdownHook(new Thread(day::close, "end what was started"));
                result = day.play();
            }
            Report report = new Report(result);
            report.print(System.out);
            if (json != null) {
                report.write(json);
            }
            boolean passed = report.verdict().kind() == Verdict.Kind.PASSED;
            if (passed && !keep) {
                remove(folder);
            } else {
                System.out.println("configurations and logs of the sidecars: " + folder);
            }
            return passed ? 0 : Ivybank.FAILED;
        }

        private String sidecar() throws InputException, IOException {
            Path deployed = Path.of("deploy", "balancer.toml");
            if (command != null) {
                return command;
            }
            if (Files.exists(deployed)) {
                return StrictTable.parse(deployed.toString(), Files.readString(deployed)).text("run", null);
            }
            return "exec env --default-signal=HUP '" + Path.of(System.getProperty("java.home"), "bin", "java")
                    + "' -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp '" + System.getProperty("java.class.path")
                    + "' ivybank.Main serve";
        }

        private static void remove(Path folder) throws IOException {
            List<Path> all;
            try (var files = Files.walk(folder)) {
                all = files.sorted(Comparator.reverseOrder()).toList();
            }
            for (Path each : all) {
                Files.delete(each);
            }
        }
    }
}
