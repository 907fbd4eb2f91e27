package ivybank.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A folder of the local file system, locked by one process at a time. */
public final class FileSystemDisk implements Disk {

    private final Path folder;
    private final FolderLock lock;

    private FileSystemDisk(FolderLock lock) {
        this.folder = lock.folder();
        this.lock = lock;
    }

    /**
     * Locks a folder, which is created if it does not exist.
     *
     * @throws StoreInUseException if another process has locked it
     */
    public static FileSystemDisk lock(Path folder) throws IOException {
        FolderLock lock = FolderLock.open(folder);
        try {
            if (!lock.tryAcquire()) {
                throw new StoreInUseException(folder + " is held by another process, which must end first");
            }
        } catch (IOException e) {
            lock.close();
            throw e;
        }
        return new FileSystemDisk(lock);
    }

    /** Returns the folder that this process has locked. The disk releases the lock when it is closed. */
    public static FileSystemDisk locked(FolderLock acquired) {
        return new FileSystemDisk(acquired);
    }

    @Override
    public List<String> names() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(path -> path.getFileName().toString())
                    .filter(name -> !name.equals(FolderLock.FILE_NAME))
                    .sorted()
                    .toList();
        }
    }

    @Override
    public File create(String name) throws IOException {
        return new OpenFile(FileChannel.open(
                folder.resolve(name),
                StandardOpenOption.CREATE_NEW,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE));
    }

    @Override
    public File open(String name) throws IOException {
        return new OpenFile(FileChannel.open(folder.resolve(name), StandardOpenOption.READ, StandardOpenOption.WRITE));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(
                folder.resolve(from),
                folder.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void forceNames() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        lock.close();
    }

    private record OpenFile(FileChannel channel) implements File {

        @Override
        public long size() throws IOException {
            return channel.size();
        }

        @Override
        public int read(long offset, ByteBuffer into) throws IOException {
            return channel.read(into, offset);
        }

        @Override
        public int write(long offset, ByteBuffer from) throws IOException {
            return channel.write(from, offset);
        }

        @Override
        public void truncate(long size) throws IOException {
            channel.truncate(size);
        }

        @Override
        public void force() throws IOException {
            channel.force(false);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
