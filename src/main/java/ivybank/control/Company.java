package ivybank.control;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The processes of one sidecar that are there at the same time, by a file of each in the folder that they share. A process
 * holds the lock of its own, which ends with it however it ends. Used by one thread of a process.
 */
final class Company {

    private static final String FORM = "ivybank-*.process";

    private final Path folder;
    private final Path own;

    /** Leaves word in the folder that this process is here, for as long as it is. */
    static Company join(Path folder) throws IOException {
        Path own = Files.createTempFile(folder, "ivybank-", ".process");
        own.toFile().deleteOnExit();
        FileChannel.open(own, StandardOpenOption.WRITE).lock(); // never released
        return new Company(folder, own);
    }

    private Company(Path folder, Path own) {
        this.folder = folder;
        this.own = own;
    }

    /** Whether another process is here; the files of those that have ended are removed. */
    boolean others() throws IOException {
        boolean others = false;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, FORM)) {
            for (Path file : files) {
                // Its own must not even be opened: to close it again would end its lock.
                others |= !file.equals(own) && isHeld(file);
            }
        }
        return others;
    }

    private static boolean isHeld(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            if (channel.tryLock() == null) {
                return true;
            }
            Files.delete(file);
            return false;
        } catch (NoSuchFileException e) {
            return false; // it has ended meanwhile
        }
    }
}
