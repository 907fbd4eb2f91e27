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

/** {@code ivybank rehearse}: plays bad nights on stand-ins round real sidecars. */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        subcommands = {
            RehearseCommand.Run.class,
            OverheadCommand.class,
            RehearseCommand.Highest.class,
            RehearseCommand.Smaller.class
        },
        description = "Plays a bad night on this machine: stand-in nodes, roster and clients round real sidecars.")
final class RehearseCommand implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "one of list, run, check, print and shrink is missing");
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "The scenarios that ship with this program.")
    int list() throws InputException {
        for (String name : Scenarios.names()) {
            Scenario scenario = Scenarios.find(name);
            System.out.printf("%-16s %4.0f s  %s%n", name, scenario.lengthS(), scenario.title());
        }
        return 0;
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Reads a scenario and says whether it can be used.")
    int check(
            @Parameters(paramLabel = "FILE", description = "a scenario's file, or the name of one that ships")
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
            description = "Writes a scenario with what its storms are made of, as a file that can be played again.")
    int print(
            @Parameters(paramLabel = "NAME|FILE") String name,
            @Option(names = "--seed", paramLabel = "N", description = "the draw; the scenario's own otherwise")
                    Long seed)
            throws InputException {
        Scenario scenario = Scenarios.find(name);
        long drawn = seed == null ? scenario.seed() : seed;
        System.out.print(ScenarioWriter.write(
                name, Scenarios.text(name), Storm.printable(scenario, drawn).faults()));
        return 0;
    }

    /** {@code rehearse shrink}. */
    @Command(
            name = "shrink",
            mixinStandardHelpOptions = true,
            description =
                    "Plays a scenario that fails again and again, without part of its faults, until only those are left that it needs.")
    static final class Smaller implements Callable<Integer> {

        @Parameters(paramLabel = "NAME|FILE")
        private String name;

        @Option(names = "--seed", paramLabel = "N", description = "the draw; the scenario's own otherwise")
        private Long seed;

        @Option(
                names = "--most",
                paramLabel = "N",
                defaultValue = "40",
                description = "plays at most (default ${DEFAULT-VALUE})")
        private int most;

        @Option(names = "--out", paramLabel = "FILE", required = true, description = "where the smaller scenario goes")
        private Path out;

        @Option(names = "--sidecar", paramLabel = "COMMAND", description = "as with run")
        private String command;

        @Override
        public Integer call() throws InputException, IOException, InterruptedException {
            Scenario read = Scenarios.find(name);
            long drawn = seed == null ? read.seed() : seed;
            Scenario scenario = Storm.printable(read, drawn);
            String wanted = reason(scenario, drawn);
            if (wanted.isEmpty()) {
                System.out.println("it passes: there is nothing to look for");
                return Ivybank.FAILED;
            }
            System.out.println("looking for: " + wanted);
            List<Integer> all =
                    IntStream.range(0, scenario.faults().size()).boxed().toList();
            Shrink.Check<Integer, IOException> check = part -> {
                String seen = tried(Storm.without(scenario, index -> !part.contains(index)), drawn);
                System.out.println(part.size() + " faults: " + (seen.isEmpty() ? "passes" : seen));
                return seen.equals(wanted);
            };
            List<Integer> kept = Shrink.to(all, most, check);
            Scenario small = Storm.without(scenario, index -> !kept.contains(index));
            Files.writeString(out, ScenarioWriter.write(name, Scenarios.text(name), small.faults()));
            System.out.println(kept.size() + " of " + all.size() + " faults are left: " + out);
            return 0;
        }

        private String tried(Scenario scenario, long drawn) throws IOException {
            try {
                return reason(scenario, drawn);
            } catch (InputException e) {
                throw new IOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException(e);
            }
        }

        /** What the first reason of a play's verdict is about, without its figures; empty if it passes or can't be judged. */
        private String reason(Scenario scenario, long drawn) throws InputException, IOException, InterruptedException {
            Path folder = Files.createTempDirectory("ivybank-shrink");
            try (ScenarioRun day = new ScenarioRun(
                    Plan.draw(scenario, drawn), sidecar(command), Path.of("").toAbsolutePath(), folder, line -> {})) {
                Runtime.getRuntime().addShutdownHook(new Thread(day::close, "end what was started"));
                Verdict verdict = Verdict.of(day.run());
                return verdict.kind() != Verdict.Kind.FAILED
                        ? ""
                        : verdict.reasons()
                                .get(0)
                                .replaceAll("[0-9.\\[\\], ]+", " ")
                                .strip();
            } finally {
                remove(folder);
            }
        }
    }

    /** {@code rehearse ceiling}. */
    @Command(
            name = "ceiling",
            mixinStandardHelpOptions = true,
            description = "The highest rate of one sidecar: clients that ask again as soon as they are answered.")
    static final class Highest implements Callable<Integer> {

        @Option(
                names = "--clients",
                paramLabel = "N",
                defaultValue = "1,4,16,64",
                split = ",",
                description = "how many ask at once (default ${DEFAULT-VALUE})")
        private List<Integer> clients;

        @Option(names = "--seconds", paramLabel = "N", defaultValue = "4", description = "for each row")
        private double seconds;

        @Option(names = "--sidecar", paramLabel = "COMMAND", description = "as with run")
        private String command;

        @Override
        public Integer call() throws InputException, IOException, InterruptedException {
            Path folder = Files.createTempDirectory("ivybank-ceiling");
            System.out.println("clients  direct/s  through/s  not served/s  sidecar's cores  its CPU ms/request");
            try (Ceiling ceiling = new Ceiling(
                    Scenarios.find("calm"), sidecar(command), Path.of("").toAbsolutePath(), folder, 232)) {
                ceiling.play(16, 4, true); // warm
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
            remove(folder);
            return 0;
        }
    }

    /** The command that starts a sidecar: as given, as deployed from this folder, or this program's own. */
    static String sidecar(String given) throws InputException, IOException {
        Path deployed = Path.of("deploy", "balancer.toml");
        if (given != null) {
            return given;
        }
        if (Files.exists(deployed)) {
            return StrictTable.parse(deployed.toString(), Files.readString(deployed))
                    .text("run", null);
        }
        return java("ivybank.Main serve");
    }

    /** The command that starts a class of this program, with arguments. */
    static String java(String mainClass) {
        return "exec env --default-signal=HUP '" + Path.of(System.getProperty("java.home"), "bin", "java")
                + "' -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp '" + System.getProperty("java.class.path") + "' "
                + mainClass;
    }

    static void remove(Path folder) throws IOException {
        List<Path> all;
        try (var files = Files.walk(folder)) {
            all = files.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path each : all) {
            Files.delete(each);
        }
    }

    /** {@code rehearse run}. */
    @Command(name = "run", mixinStandardHelpOptions = true, description = "Plays a scenario and judges it.")
    static final class Run implements Callable<Integer> {

        @Parameters(paramLabel = "NAME|FILE", description = "a scenario that ships, or a file that ends in .toml")
        private String name;

        @Option(names = "--seed", paramLabel = "N", description = "the draw to play; the scenario's own otherwise")
        private Long seed;

        @Option(
                names = "--sidecar",
                paramLabel = "COMMAND",
                description = "starts one sidecar; otherwise run of deploy/balancer.toml here, or this jar's own serve")
        private String command;

        @Option(names = "--json", paramLabel = "FILE", description = "writes the report as JSON too")
        private Path json;

        @Option(names = "--html", paramLabel = "FILE", description = "writes the report as one page with plots too")
        private Path html;

        @Option(
                names = "--state",
                paramLabel = "DIR",
                description = "keeps the sidecars' configurations and logs here; otherwise they go when a run is good")
        private Path state;

        @Override
        public Integer call() throws InputException, IOException, InterruptedException {
            Scenario scenario = Scenarios.find(name);
            Plan plan = Plan.draw(scenario, seed == null ? scenario.seed() : seed);
            boolean keep = state != null;
            Path folder = keep ? Files.createDirectories(state) : Files.createTempDirectory("ivybank-rehearsal");
            ScenarioRun.Result result;
            try (ScenarioRun day =
                    new ScenarioRun(plan, sidecar(command), Path.of("").toAbsolutePath(), folder, new Progress())) {
                Runtime.getRuntime().addShutdownHook(new Thread(day::close, "end what was started"));
                result = day.run();
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
                remove(folder);
            } else {
                System.out.println("configurations and logs of the sidecars: " + folder);
            }
            return passed ? 0 : Ivybank.FAILED;
        }
    }
}
