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
 * The configuration file while the sidecar runs: where discovery is by its present text. The environment says only what
 * held at the start, so that the file's own word counts from the first time on that it changes.
 */
final class ConfigFile {

    private static final long SETTLED_MS = 2000;

    private final String path;
    private InetSocketAddress lastRead;
    /** The file as it was when it was last looked into, or null; and since when it has looked so. */
    private Looks looks;

    private long looksSinceNanos;

    /** What changes with a file's text, unless it is changed twice within one step of the file system's clock. */
    private record Looks(FileTime changed, long bytes) {}

    ConfigFile(Map<String, String> environment) {
        path = environment.getOrDefault(Config.FILE, "");
        lastRead = Config.discoveryIn(path);
    }

    /** Where discovery is by the file, all of which must be in order. */
    InetSocketAddress discovery() throws ConfigException {
        lastRead = Config.load(Map.of(Config.FILE, path)).discovery();
        return lastRead;
    }

    /** Where discovery is now, if the file says so since it was last read; else null, also where it can't be read. */
    InetSocketAddress changedDiscovery() {
        Looks now = looks();
        long nowNanos = System.nanoTime();
        if (now == null || !now.equals(looks)) {
            looks = now;
            looksSinceNanos = nowNanos;
        } else if (nowNanos - looksSinceNanos > TimeUnit.MILLISECONDS.toNanos(SETTLED_MS)) {
            return null; // it is asked for at each try, and reading all of it costs
        }
        return changedText();
    }

    private Looks looks() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(Path.of(path), BasicFileAttributes.class);
            return new Looks(attributes.lastModifiedTime(), attributes.size());
        } catch (IOException | InvalidPathException e) {
            return null;
        }
    }

    private InetSocketAddress changedText() {
        InetSocketAddress now = Config.discoveryIn(path);
        if (now == null || now.equals(lastRead)) {
            return null;
        }
        lastRead = now;
        return now;
    }
}
