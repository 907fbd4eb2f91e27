package ivybank.cli;

import ivybank.operator.OperatorFile;
import ivybank.operator.OperatorFile.StoreSettings;
import ivybank.store.Disk;
import ivybank.store.FileSystemDisk;
import ivybank.store.Limits;
import ivybank.store.RecoveryReport;
import ivybank.store.StoreException;
import ivybank.store.StoreIdentity;
import ivybank.store.StoreMaintenance;
import ivybank.toml.InputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code ivybank store}: looks at the folder of a store, which no daemon may hold meanwhile. */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        description = "Looks at the folder of a store while no daemon holds it.")
final class StoreCommand implements Runnable {

    /** Larger than an operator file need allow: what is there must be readable. */
    static final Limits STANDARD = new Limits(1L << 40, 1 << 20, 64 << 10, 4 << 20);

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "one of init, inspect, verify and compact is missing");
    }

    static Disk take(Path folder) throws IOException, InputException {
        if (!Files.isDirectory(folder)) {
            throw new InputException(folder + ": is no folder");
        }
        return FileSystemDisk.lock(folder);
    }

    @Command(
            name = "init",
            mixinStandardHelpOptions = true,
            description = "Makes the first store of a sidecar, in a folder that has none. Exit code 1 if it has one.")
    int init(
            @Parameters(paramLabel = "DIR") Path folder,
            @Option(names = "--name", paramLabel = "NAME", required = true, description = "the sidecar's name")
                    String name)
            throws IOException {
        try {
            StoreIdentity made = StoreMaintenance.create(
                    FileSystemDisk.lock(folder),
                    STANDARD,
                    name,
                    () -> UUID.randomUUID().toString());
            System.out.println(folder + ": the store of " + name + ", id " + made.id());
            return 0;
        } catch (StoreException e) {
            System.err.println("ivybank: " + folder + ": " + e.getMessage());
            return Ivybank.FAILED;
        }
    }

    @Command(name = "inspect", mixinStandardHelpOptions = true, description = "What is in a store; changes nothing.")
    int inspect(@Parameters(paramLabel = "DIR") Path folder) throws IOException, InputException {
        RecoveryReport report = read(folder);
        if (report == null) {
            return Ivybank.FAILED;
        }
        System.out.println(folder + ": " + report.summary());
        System.out.println(whose(folder));
        try (var files = Files.list(folder)) {
            for (Path file : files.sorted().toList()) {
                System.out.printf("%12d  %s%n", Files.size(file), file.getFileName());
            }
        }
        return 0;
    }

    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description = "Reads every record; 1 if any that was confirmed can't be read. Changes nothing.")
    int verify(@Parameters(paramLabel = "DIR") Path folder) throws IOException, InputException {
        RecoveryReport report = read(folder);
        if (report != null) {
            System.out.println(folder + ": " + (report.damage().isEmpty() ? "good; " : "") + report.summary());
        }
        return report != null && report.damage().isEmpty() ? 0 : Ivybank.FAILED;
    }

    private static String whose(Path folder) throws IOException, InputException {
        try (Disk disk = take(folder)) {
            StoreIdentity identity = StoreIdentity.readIfPresent(disk);
            return identity == null
                    ? "it has no name, as those of earlier versions"
                    : "of " + identity.owner() + ", id " + identity.id() + ", taken up " + identity.incarnation()
                            + " times";
        } catch (StoreException e) {
            return e.getMessage();
        }
    }

    private static RecoveryReport read(Path folder) throws IOException, InputException {
        try {
            return StoreMaintenance.verify(take(folder));
        } catch (StoreException e) {
            System.err.println("ivybank: " + folder + ": " + e.getMessage());
            return null;
        }
    }

    @Command(name = "compact", mixinStandardHelpOptions = true, description = "Drops what is dead.")
    int compact(
            @Parameters(paramLabel = "DIR") Path folder,
            @Option(names = "--operator", paramLabel = "FILE", description = "the operator file, for its sizes")
                    Path operator)
            throws IOException, InputException {
        StoreSettings settings =
                operator == null ? null : OperatorFile.read(operator).store();
        try {
            long[] bytes = StoreMaintenance.compact(take(folder), settings == null ? STANDARD : settings.limits());
            System.out.println(folder + ": " + bytes[0] + " bytes before, " + bytes[1] + " now");
            return 0;
        } catch (StoreException e) {
            System.err.println("ivybank: " + folder + ": " + e.getMessage());
            return Ivybank.FAILED;
        }
    }
}
