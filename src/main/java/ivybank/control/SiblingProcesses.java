package ivybank.control;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Tracks the processes of one sidecar that run at the same time, by one file per process in a shared folder. A process
 * holds the lock on its own file; the lock ends with the process, however that ends. Used by one thread of a process.
 */
public final class SiblingProcesses {

    private static final String FILE_PATTERN = "ivybank-*.process";

    private final Path folder;
    private final Path own;
    /** Keeps the lock: an unreferenced channel is closed, which releases it. */
    private final FileChannel lockChannel;

    /** Registers this process in the folder for as long as it runs. */
    public static SiblingProcesses join(Path folder) throws IOException {
        Path unlocked = Files.createTempFile(folder, "ivybank-", ".joining");
        FileChannel lockChannel = FileChannel.open(unlocked, StandardOpenOption.WRITE);
        lockChannel.lock(); // never released
        // Renamed only after locking, because other processes remove files that are not locked.
        Path own = unlocked.resolveSibling(unlocked.getFileName().toString().replace(".joining", ".process"));
        Files.move(unlocked, own, StandardCopyOption.ATOMIC_MOVE);
        own.toFile().deleteOnExit();
        return new SiblingProcesses(folder, own, lockChannel);
    }

    private SiblingProcesses(Path folder, Path own, FileChannel lockChannel) {
        this.folder = folder;
        this.own = own;
        this.lockChannel = lockChannel;
    }

    /** Returns whether another process is running; removes the files of processes that have ended. */
    public boolean hasOthers() throws IOException {
        boolean hasOthers = false;
        if (!lockChannel.isOpen()) {
            throw new IOException(own + " is no longer locked by this process");
        }
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, FILE_PATTERN)) {
            for (Path file : files) {
                // The own file must not even be opened: closing it again would release the lock.
                hasOthers |= !file.equals(own) && isLocked(file);
            }
        }
        return hasOthers;
    }

    private static boolean isLocked(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            if (channel.tryLock() == null) {
                return true;
            }
            Files.delete(file);
            return false;
        } catch (NoSuchFileException e) {
            return false; // the process has ended meanwhile
        }
    }
}
