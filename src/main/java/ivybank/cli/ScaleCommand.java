package ivybank.cli;

import ivybank.scale.plan.ScalePlan;
import ivybank.scale.plan.ScalePlanReader;
import ivybank.scale.result.ScalePlots;
import ivybank.scale.result.ScaleReport;
import ivybank.scale.result.ScaleResult;
import ivybank.scale.sweep.ScaleRun;
import ivybank.scale.worker.Worker;
import ivybank.toml.InputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code ivybank scale}: measures how the control-plane costs grow with the fleet. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Measures on this machine how the control-plane costs grow with the size of the fleet.")
final class ScaleCommand implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "the subcommand is missing: run FILE");
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Grows lists, fleets and views by a plan file, fits slopes and prints them.")
    int run(
            @Parameters(paramLabel = "FILE", description = "the plan, in TOML") Path file,
            @Option(names = "--out", paramLabel = "FILE", description = "also writes points and slopes as JSON")
                    Path out,
            @Option(names = "--plots", paramLabel = "DIR", description = "also writes a page of plots into this folder")
                    Path plots,
            @Option(
                            names = "--sidecar",
                            paramLabel = "COMMAND",
                            description =
                                    "starts one real sidecar; the default is run of deploy/balancer.toml here, or else this jar's own serve")
                    String command)
            throws InputException, IOException, InterruptedException {
        ScalePlan plan = ScalePlanReader.read(file);
        Path folder = Files.createTempDirectory("ivybank-scale");
        ScaleResult result;
        try {
            result = new ScaleRun(plan, RehearseCommand.sidecarCommand(command), folder, new Progress()).run();
        } finally {
            RehearseCommand.deleteRecursively(folder);
        }
        ScaleReport report = new ScaleReport(result);
        report.print(System.out);
        if (out != null) {
            report.write(out);
        }
        if (plots != null) {
            ScalePlots.write(result, plots);
        }
        boolean passed = result.beside() == null || result.beside().verdict().equals("passed");
        return passed ? 0 : Ivybank.EXIT_FAILED;
    }

    @Command(name = "worker", hidden = true, description = "Runs one process of a scale run; for internal use.")
    int worker(@Parameters(paramLabel = "KIND") String kind) throws IOException {
        Worker.run(Worker.Kind.valueOf(kind.toUpperCase(Locale.ROOT)));
        System.exit(0); // its event loops would keep the process alive
        return 0;
    }
}
