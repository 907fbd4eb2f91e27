package ivybank.cli;

import ivybank.operator.OperatorFile;
import ivybank.toml.InputException;
import java.nio.file.Path;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code ivybank check}: reads what operators write, and says whether it can be used. */
@Command(name = "check", mixinStandardHelpOptions = true, description = "Reads a file and says whether it can be used.")
final class CheckCommand implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "what to check is missing: operator FILE");
    }

    @Command(
            name = "operator",
            mixinStandardHelpOptions = true,
            description = "An operator file, as serve --operator takes it.")
    int operator(@Parameters(paramLabel = "FILE") Path file) throws InputException {
        OperatorFile read = OperatorFile.read(file);
        System.out.println(file + ": good; discovery " + read.discovery()
                + (read.store() == null ? "; nothing is kept on disk" : "; " + read.store()));
        return 0;
    }
}
