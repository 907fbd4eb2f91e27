package ivybank.cli;

import ivybank.promises.OfflinePromises;
import ivybank.promises.PromiseTable.State;
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

/** {@code ivybank promises}: which requests are on record, and how to clear one, while no daemon holds the folder. */
@Command(
        name = "promises",
        mixinStandardHelpOptions = true,
        description = "Requests on record in the folder of a store, while no daemon holds it.")
final class PromisesCommand implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "one of list and clear is missing");
    }

    @Command(
            name = "list",
            mixinStandardHelpOptions = true,
            description = "A line for each: state, since when, class, name.")
    int list(
            @Parameters(paramLabel = "DIR") Path folder,
            @Option(names = "--in-doubt", description = "only those that may have run and have no answer")
                    boolean inDoubt)
            throws IOException, InputException {
        try {
            for (OfflinePromises.StoredPromise kept :
                    OfflinePromises.list(StoreCommand.take(folder), StoreCommand.STANDARD)) {
                if (!inDoubt || kept.state() == State.IN_DOUBT) {
                    System.out.printf(
                            "%-8s  %s  %s  %s%n",
                            kept.state().name().toLowerCase(Locale.ROOT).replace('_', '-'),
                            Instant.ofEpochMilli((long) kept.atMs()),
                            kept.requestClass().isEmpty() ? "-" : kept.requestClass(),
                            kept.name().isEmpty() ? "(no name was given)" : kept.name());
                }
            }
            return 0;
        } catch (StoreException e) {
            System.err.println("ivybank: " + folder + ": " + e.getMessage());
            return Ivybank.FAILED;
        }
    }

    @Command(
            name = "clear",
            mixinStandardHelpOptions = true,
            description = "Forgets one, so that the same request is new.")
    int clear(
            @Parameters(paramLabel = "DIR") Path folder,
            @Parameters(paramLabel = "CLASS") String requestClass,
            @Parameters(paramLabel = "NAME") String name)
            throws IOException, InputException {
        try {
            if (OfflinePromises.clear(StoreCommand.take(folder), StoreCommand.STANDARD, requestClass, name)) {
                System.out.println(requestClass + " " + name + ": forgotten");
                return 0;
            }
            System.err.println("ivybank: " + folder + ": nothing is on record of " + requestClass + " " + name);
            return Ivybank.FAILED;
        } catch (StoreException e) {
            System.err.println("ivybank: " + folder + ": " + e.getMessage());
            return Ivybank.FAILED;
        }
    }
}
