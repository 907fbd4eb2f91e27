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
 * The processes of one sidecar that are there at the same time, by a file of each in the folder that they share. A process
 * holds the lock of its own, which ends with it however it ends. Used by one thread of a process.
 */
public final class SiblingProcesses {

    private static final String FORM = "ivybank-*.process";

    private final Path folder;
    private final Path own;
    /** Kept, for a channel that nothing refers to is closed, and the lock with it. */
    private final FileChannel held;

    /** Leaves word in the folder that this process is here, for as long as it is. */
    public static SiblingProcesses join(Path folder) throws IOException {
        Path making = Files.createTempFile(folder, "ivybank-", ".joining");
        FileChannel held = FileChannel.open(making, StandardOpenOption.WRITE);
        held.lock(); // never released
        // Only now, for the others remove a file that nobody holds.
        Path own = making.resolveSibling(making.getFileName().toString().replace(".joining", ".process"));
        Files.move(making, own, StandardCopyOption.ATOMIC_MOVE);
        own.toFile().deleteOnExit();
        return new SiblingProcesses(folder, own, held);
    }

    private SiblingProcesses(Path folder, Path own, FileChannel held) {
        this.folder = folder;
        this.own = own;
        this.held = held;
    }

    /** Whether another process is here; the files of those that have ended are removed. */
    public boolean others() throws IOException {
        boolean others = false;
        if (!held.isOpen()) {
            throw new IOException(own + " is no longer held by this process");
        }
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
