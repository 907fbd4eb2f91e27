package ivybank.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The lock on the folder of a store, which one process holds at a time. It ends with that process, however that ends. Once it is
 * open, no further file is opened to acquire it.
 */
public final class FolderLock implements AutoCloseable {

    static final String FILE_NAME = "lock";

    private final Path folder;
    private final FileChannel file;

    private FolderLock(Path folder, FileChannel file) {
        this.folder = folder;
        this.file = file;
    }

    /**
     * Opens the lock of a folder, which is created if it does not exist. It is not acquired yet.
     *
     * @throws IOException if the folder or the file can't be created or opened
     */
    public static FolderLock open(Path folder) throws IOException {
        Files.createDirectories(folder);
        return new FolderLock(
                folder,
                FileChannel.open(folder.resolve(FILE_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE));
    }

    /**
     * Acquires the lock if nobody holds it; returns whether this process holds it now.
     *
     * @throws IOException if the system can't tell
     */
    public boolean tryAcquire() throws IOException {
        try {
            return file.tryLock() != null;
        } catch (OverlappingFileLockException e) {
            return false; // held by this process, which has opened the folder twice
        }
    }

    /** Returns the folder that the lock is for. */
    Path folder() {
        return folder;
    }

    /** Releases the lock. */
    @Override
    public void close() throws IOException {
        file.close();
    }
}
