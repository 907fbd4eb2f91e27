package ivybank.cli;

import ivybank.toml.InputException;
import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;

/** The command line beside the two hosts, which {@code Main} starts without it. */
@Command(
        name = "ivybank",
        mixinStandardHelpOptions = true,
        versionProvider = Ivybank.Version.class,
        description = "A sidecar load balancer, and a kit to rehearse its bad nights.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:good", "1:the check or the rehearsal failed", "2:wrong use, or an input that can't be used"},
        subcommands = {
            RehearseCommand.class,
            CheckCommand.class,
            StoreCommand.class,
            PromisesCommand.class,
            FleetCommand.class,
            ScaleCommand.class,
            Ivybank.Serve.class,
            Ivybank.SimHost.class,
            HelpCommand.class
        })
public final class Ivybank implements Runnable {

    static final int FAILED = 1;
    static final int UNUSABLE = 2;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs a command and returns its exit code. */
    public static int run(String[] args) {
        CommandLine line = new CommandLine(new Ivybank());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            PrintWriter err = command.getErr();
            err.println("ivybank: " + (e instanceof InputException ? e.getMessage() : e.toString()));
            return e instanceof InputException ? UNUSABLE : FAILED;
        });
        return line.execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    /** Here for the help alone. */
    @Command(
            name = "serve",
            description = "One sidecar, as EDGE_CONFIG says. With --operator FILE, or EDGE_OPERATOR,"
                    + " it takes an operator file too.")
    static final class Serve implements Runnable {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public void run() {
            throw new CommandLine.ParameterException(spec.commandLine(), "serve takes no option but --operator FILE");
        }
    }

    /** Here for the help alone. */
    @Command(name = "simhost", description = "The decisions on the simulator's wire, on standard input and output.")
    static final class SimHost implements Runnable {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public void run() {
            throw new CommandLine.ParameterException(spec.commandLine(), "simhost takes no options");
        }
    }

    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Ivybank.class.getPackage().getImplementationVersion();
            return new String[] {"ivybank " + (version == null ? "(not packaged)" : version)};
        }
    }
}
