package ivybank.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The configuration file of a running sidecar, which is read for the current address of discovery. The environment is
 * only valid at the start, so the address in the file takes precedence once the file has changed.
 */
final class ConfigFile {

    /**
     * The time after a change during which an equal stamp is not relied on: a second change may have the same stamp.
     */
    private static final long SETTLE_TIME_MS = 2000;

    private final String path;
    private InetSocketAddress lastRead;
    /** The stamp of the file when it was last checked, or null; and the time since which it is unchanged. */
    private FileStamp stamp;

    private long stampSinceNanos;

    /**
     * Identifies a version of the file. Two changes within one step of the file system's clock may have the same stamp.
     */
    private record FileStamp(FileTime modified, long bytes) {}

    ConfigFile(Map<String, String> environment) {
        path = environment.getOrDefault(Config.FILE_VARIABLE, "");
        lastRead = Config.readDiscovery(path);
    }

    /** Returns the address of discovery in the file; the whole file has to be valid. */
    InetSocketAddress discovery() throws ConfigException {
        lastRead = Config.load(Map.of(Config.FILE_VARIABLE, path)).discovery();
        return lastRead;
    }

    /**
     * Returns the address of discovery if the file names another one than when it was last read. Returns null
     * otherwise, also where the file cannot be read.
     */
    InetSocketAddress changedDiscovery() {
        FileStamp current = readStamp();
        long nowNanos = System.nanoTime();
        if (current == null || !current.equals(stamp)) {
            stamp = current;
            stampSinceNanos = nowNanos;
        } else if (nowNanos - stampSinceNanos > TimeUnit.MILLISECONDS.toNanos(SETTLE_TIME_MS)) {
            return null; // called on each connection attempt, and reading the whole file is expensive
        }
        return readIfChanged();
    }

    private FileStamp readStamp() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(Path.of(path), BasicFileAttributes.class);
            return new FileStamp(attributes.lastModifiedTime(), attributes.size());
        } catch (IOException | InvalidPathException e) {
            return null;
        }
    }

    private InetSocketAddress readIfChanged() {
        InetSocketAddress current = Config.readDiscovery(path);
        if (current == null || current.equals(lastRead)) {
            return null;
        }
        lastRead = current;
        return current;
    }
}
