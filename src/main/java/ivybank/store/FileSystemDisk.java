package ivybank.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A folder of this machine, held by one process at a time. */
public final class FileSystemDisk implements Disk {

    private static final String LOCK = "lock";

    private final Path folder;
    private final FileChannel lockFile;

    private FileSystemDisk(Path folder, FileChannel lockFile) {
        this.folder = folder;
        this.lockFile = lockFile;
    }

    /**
     * Takes a folder, which is made if it is not there; its owner alone may read what is made in it.
     *
     * @throws StoreException if another process holds it
     */
    public static FileSystemDisk lock(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel file = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            FileLock lock = file.tryLock();
            if (lock == null) {
                throw new OverlappingFileLockException();
            }
        } catch (OverlappingFileLockException e) {
            file.close();
            throw new StoreException(folder + " is held by another process, which must end first");
        }
        return new FileSystemDisk(folder, file);
    }

    @Override
    public List<String> names() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(path -> path.getFileName().toString())
                    .filter(name -> !name.equals(LOCK))
                    .sorted()
                    .toList();
        }
    }

    @Override
    public File create(String name) throws IOException {
        return new Opened(FileChannel.open(
                folder.resolve(name),
                StandardOpenOption.CREATE_NEW,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE));
    }

    @Override
    public File open(String name) throws IOException {
        return new Opened(FileChannel.open(folder.resolve(name), StandardOpenOption.READ, StandardOpenOption.WRITE));
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
        lockFile.close();
    }

    private record Opened(FileChannel channel) implements File {

        @Override
        public long size() throws IOException {
            return channel.size();
        }

        @Override
        public int read(long at, ByteBuffer into) throws IOException {
            return channel.read(into, at);
        }

        @Override
        public int write(long at, ByteBuffer from) throws IOException {
            return channel.write(from, at);
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
