package ivybank.cli;

import ivybank.toml.InputException;
import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;

/** The command line interface. {@code Main} starts the two hosts, {@code serve} and {@code simhost}, without it. */
@Command(
        name = "ivybank",
        mixinStandardHelpOptions = true,
        versionProvider = Ivybank.Version.class,
        description = "A sidecar load balancer, and a kit to rehearse its behaviour under faults.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:success", "1:the check or the rehearsal failed", "2:wrong usage, or unusable input"},
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

    static final int EXIT_FAILED = 1;
    static final int EXIT_UNUSABLE_INPUT = 2;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs a command and returns its exit code. */
    public static int run(String[] args) {
        CommandLine line = new CommandLine(new Ivybank());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            PrintWriter err = command.getErr();
            err.println("ivybank: " + (e instanceof InputException ? e.getMessage() : e.toString()));
            return e instanceof InputException ? EXIT_UNUSABLE_INPUT : EXIT_FAILED;
        });
        return line.execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    /** Listed for the help only; {@code Main} runs the command. */
    @Command(
            name = "serve",
            description = "Runs one sidecar, configured by EDGE_CONFIG. With --operator FILE, or EDGE_OPERATOR,"
                    + " it reads an operator file as well.")
    static final class Serve implements Runnable {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public void run() {
            throw new CommandLine.ParameterException(spec.commandLine(), "serve takes no option but --operator FILE");
        }
    }

    /** Listed for the help only; {@code Main} runs the command. */
    @Command(
            name = "simhost",
            description = "Runs the decision module on the simulator's protocol, over standard input and output.")
    static final class SimHost implements Runnable {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public void run() {
            throw new CommandLine.ParameterException(spec.commandLine(), "simhost takes no options");
        }
    }

    /** Prints the version of the packaged jar. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Ivybank.class.getPackage().getImplementationVersion();
            return new String[] {"ivybank " + (version == null ? "(not packaged)" : version)};
        }
    }
}
