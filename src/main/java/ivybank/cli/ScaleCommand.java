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

/** {@code ivybank scale}: how the costs of control grow with the fleet. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Measures how the costs of control grow with the size of the fleet, on this machine.")
final class ScaleCommand implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "what to do is missing: run FILE");
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Grows lists, fleets and views as a file says, fits slopes and prints them.")
    int run(
            @Parameters(paramLabel = "FILE", description = "what to measure, as TOML") Path file,
            @Option(names = "--out", paramLabel = "FILE", description = "writes points and slopes as JSON too")
                    Path out,
            @Option(names = "--plots", paramLabel = "DIR", description = "writes a page of plots into this folder too")
                    Path plots,
            @Option(
                            names = "--sidecar",
                            paramLabel = "COMMAND",
                            description =
                                    "starts one real sidecar; otherwise run of deploy/balancer.toml here, or this jar's own serve")
                    String command)
            throws InputException, IOException, InterruptedException {
        ScalePlan plan = ScalePlanReader.read(file);
        Path folder = Files.createTempDirectory("ivybank-scale");
        ScaleResult result;
        try {
            result = new ScaleRun(plan, RehearseCommand.sidecar(command), folder, new Progress()).run();
        } finally {
            RehearseCommand.remove(folder);
        }
        ScaleReport report = new ScaleReport(result);
        report.print(System.out);
        if (out != null) {
            report.write(out);
        }
        if (plots != null) {
            ScalePlots.write(result, plots);
        }
        boolean judgedWell =
                result.beside() == null || result.beside().verdict().equals("passed");
        return judgedWell ? 0 : Ivybank.FAILED;
    }

    @Command(name = "worker", hidden = true, description = "One process of a scale run; started by it alone.")
    int worker(@Parameters(paramLabel = "KIND") String kind) throws IOException {
        Worker.run(Worker.Kind.valueOf(kind.toUpperCase(Locale.ROOT)));
        System.exit(0); // its event loops would keep it
        return 0;
    }
}
