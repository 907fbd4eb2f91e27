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

/** {@code ivybank store}: inspects and maintains the folder of a store that no daemon holds. */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        description = "Inspects and maintains the folder of a store that no daemon holds.")
final class StoreCommand implements Runnable {

    /** Limits above those that an operator file usually sets, so that every existing store can be read. */
    static final Limits INSPECTION_LIMITS = new Limits(1L << 40, 1 << 20, 64 << 10, 4 << 20);

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "the subcommand is missing: init, inspect, verify or compact");
    }

    static Disk open(Path folder) throws IOException, InputException {
        if (!Files.isDirectory(folder)) {
            throw new InputException(folder + ": is not a folder");
        }
        return FileSystemDisk.lock(folder);
    }

    @Command(
            name = "init",
            mixinStandardHelpOptions = true,
            description =
                    "Creates the first store of a sidecar, in a folder without a store. Exits with 1 if there is one.")
    int init(
            @Parameters(paramLabel = "DIR") Path folder,
            @Option(names = "--name", paramLabel = "NAME", required = true, description = "the sidecar's name")
                    String name)
            throws IOException {
        try {
            StoreIdentity made = StoreMaintenance.create(
                    FileSystemDisk.lock(folder),
                    INSPECTION_LIMITS,
                    name,
                    () -> UUID.randomUUID().toString());
            System.out.println(folder + ": the store of " + name + ", id " + made.id());
            return 0;
        } catch (StoreException e) {
            System.err.println("ivybank: " + folder + ": " + e.getMessage());
            return Ivybank.EXIT_FAILED;
        }
    }

    @Command(
            name = "inspect",
            mixinStandardHelpOptions = true,
            description = "Shows the content of a store; changes nothing.")
    int inspect(@Parameters(paramLabel = "DIR") Path folder) throws IOException, InputException {
        RecoveryReport report = read(folder);
        if (report == null) {
            return Ivybank.EXIT_FAILED;
        }
        System.out.println(folder + ": " + report.summary());
        System.out.println(ownership(folder));
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
            description = "Reads every record; exits with 1 if a confirmed record cannot be read. Changes nothing.")
    int verify(@Parameters(paramLabel = "DIR") Path folder) throws IOException, InputException {
        RecoveryReport report = read(folder);
        if (report != null) {
            System.out.println(folder + ": " + (report.damage().isEmpty() ? "good; " : "") + report.summary());
        }
        return report != null && report.damage().isEmpty() ? 0 : Ivybank.EXIT_FAILED;
    }

    private static String ownership(Path folder) throws IOException, InputException {
        try (Disk disk = open(folder)) {
            StoreIdentity identity = StoreIdentity.readIfPresent(disk);
            return identity == null
                    ? "no identity file, as in stores of earlier versions"
                    : "owner " + identity.owner() + ", id " + identity.id() + ", incarnation " + identity.incarnation();
        } catch (StoreException e) {
            return e.getMessage();
        }
    }

    private static RecoveryReport read(Path folder) throws IOException, InputException {
        try {
            return StoreMaintenance.verify(open(folder));
        } catch (StoreException e) {
            System.err.println("ivybank: " + folder + ": " + e.getMessage());
            return null;
        }
    }

    @Command(name = "compact", mixinStandardHelpOptions = true, description = "Removes dead records.")
    int compact(
            @Parameters(paramLabel = "DIR") Path folder,
            @Option(names = "--operator", paramLabel = "FILE", description = "the operator file, for its size limits")
                    Path operator)
            throws IOException, InputException {
        StoreSettings settings =
                operator == null ? null : OperatorFile.read(operator).store();
        try {
            long[] bytes =
                    StoreMaintenance.compact(open(folder), settings == null ? INSPECTION_LIMITS : settings.limits());
            System.out.println(folder + ": " + bytes[0] + " bytes before, " + bytes[1] + " now");
            return 0;
        } catch (StoreException e) {
            System.err.println("ivybank: " + folder + ": " + e.getMessage());
            return Ivybank.EXIT_FAILED;
        }
    }
}
