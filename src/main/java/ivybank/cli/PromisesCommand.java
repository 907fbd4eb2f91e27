package ivybank.cli;

import ivybank.promises.OfflinePromises;
import ivybank.promises.PromiseState;
import ivybank.store.StoreException;
import ivybank.toml.InputException;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Locale;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code ivybank promises}: lists the requests on record in a store that no daemon holds, and clears one of them. */
@Command(
        name = "promises",
        mixinStandardHelpOptions = true,
        description = "Lists and clears the requests on record in the folder of a store that no daemon holds.")
final class PromisesCommand implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "the subcommand is missing: list or clear");
    }

    @Command(
            name = "list",
            mixinStandardHelpOptions = true,
            description = "Prints a line per request: state, time, class, name.")
    int list(
            @Parameters(paramLabel = "DIR") Path folder,
            @Option(names = "--in-doubt", description = "only requests that may have run and have no answer")
                    boolean inDoubt)
            throws IOException, InputException {
        try {
            for (OfflinePromises.StoredPromise kept :
                    OfflinePromises.list(StoreCommand.open(folder), StoreCommand.INSPECTION_LIMITS)) {
                if (!inDoubt || kept.state() == PromiseState.IN_DOUBT) {
                    System.out.printf(
                            "%-8s  %s  %s  %s%n",
                            kept.state().name().toLowerCase(Locale.ROOT).replace('_', '-'),
                            Instant.ofEpochMilli((long) kept.atMs()),
                            kept.requestClass().isEmpty() ? "-" : kept.requestClass(),
                            kept.name().isEmpty() ? "(unnamed)" : kept.name());
                }
            }
            return 0;
        } catch (StoreException e) {
            System.err.println("ivybank: " + folder + ": " + e.getMessage());
            return Ivybank.EXIT_FAILED;
        }
    }

    @Command(
            name = "clear",
            mixinStandardHelpOptions = true,
            description = "Forgets a request, so that the same request counts as new.")
    int clear(
            @Parameters(paramLabel = "DIR") Path folder,
            @Parameters(paramLabel = "CLASS") String requestClass,
            @Parameters(paramLabel = "NAME") String name)
            throws IOException, InputException {
        try {
            if (OfflinePromises.clear(StoreCommand.open(folder), StoreCommand.INSPECTION_LIMITS, requestClass, name)) {
                System.out.println(requestClass + " " + name + ": forgotten");
                return 0;
            }
            System.err.println("ivybank: " + folder + ": no record of " + requestClass + " " + name);
            return Ivybank.EXIT_FAILED;
        } catch (StoreException e) {
            System.err.println("ivybank: " + folder + ": " + e.getMessage());
            return Ivybank.EXIT_FAILED;
        }
    }
}
