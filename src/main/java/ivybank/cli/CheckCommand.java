package ivybank.cli;

import ivybank.operator.OperatorFile;
import ivybank.toml.InputException;
import java.nio.file.Path;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code ivybank check}: validates files that operators write. */
@Command(name = "check", mixinStandardHelpOptions = true, description = "Validates a file.")
final class CheckCommand implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "the subcommand is missing: operator FILE");
    }

    @Command(
            name = "operator",
            mixinStandardHelpOptions = true,
            description = "Validates an operator file, as given to serve --operator.")
    int operator(@Parameters(paramLabel = "FILE") Path file) throws InputException {
        OperatorFile operatorFile = OperatorFile.read(file);
        System.out.println(file + ": good; discovery " + operatorFile.discovery()
                + (operatorFile.store() == null ? "; no store" : "; " + operatorFile.store()));
        return 0;
    }
}
