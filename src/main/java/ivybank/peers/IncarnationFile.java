package ivybank.peers;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** Keeps a sidecar's life over a restart: a clock that was set back must not lower it. */
final class IncarnationFile {

    private IncarnationFile() {}

    /**
     * The life of a process that starts now, noted before it is used.
     *
     * @param file null for none: the clock alone decides, and what the peers remember
     * @param said takes one line if the file can't be used
     */
    static long next(Path file, long clockMs, java.util.function.Consumer<String> said) {
        long before = 0;
        if (file == null) {
            return clockMs;
        }
        try {
            if (Files.exists(file)) {
                before = Long.parseLong(Files.readString(file).strip());
            }
        } catch (IOException | NumberFormatException e) {
            said.accept("peers: " + file + " holds no life: going on with the clock's");
        }
        long incarnation = Math.max(clockMs, before + 1);
        try {
            Path part = file.resolveSibling(file.getFileName() + ".new");
            Files.write(part, Long.toString(incarnation).getBytes(StandardCharsets.US_ASCII));
            Files.move(part, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            said.accept(
                    "peers: " + file
                            + " can't be written: a clock that is set back may lower this sidecar's life until peers correct it");
        }
        return incarnation;
    }
}
