package ivybank.handover;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The snapshot files of the processes of a sidecar, in the folder that they share. Each process replaces its own file as a whole.
 * Used by one thread of a process.
 */
public final class HandoverSnapshotFiles {

    private static final String FILE_PATTERN = "ivybank-*.memory";
    private static final int MAX_FILES = 16;

    private final Path folder;
    private final Path own;
    private final Path next;
    private final Consumer<String> log;
    private final Set<Path> reported = new HashSet<>();

    /**
     * Creates the files of a process.
     *
     * @param log receives a line for each file that can't be used
     */
    public HandoverSnapshotFiles(Path folder, long process, Consumer<String> log) {
        this.folder = folder;
        this.log = log;
        own = folder.resolve("ivybank-" + process + ".memory");
        next = folder.resolve("ivybank-" + process + ".memory.next");
    }

    /**
     * Replaces the file of this process atomically, so that a reader finds either the previous snapshot or this one.
     */
    public void write(HandoverSnapshot snapshot) throws IOException {
        Files.write(next, HandoverSnapshotCodec.write(snapshot));
        Files.move(next, own, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /**
     * Returns the snapshots of the other processes, including those that have ended. Unreadable files are logged once; they are
     * removed, and so are expired ones.
     */
    public List<HandoverSnapshot> others(double nowMs) throws IOException {
        List<HandoverSnapshot> others = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, FILE_PATTERN)) {
            for (Path file : files) {
                if (!file.equals(own) && others.size() < MAX_FILES) {
                    read(file, nowMs, others);
                }
            }
        }
        return others;
    }

    private void read(Path file, double nowMs, List<HandoverSnapshot> into) throws IOException {
        try {
            if (Files.size(file) > HandoverSnapshotCodec.MAX_BYTES) {
                throw new HandoverSnapshotCodec.UnreadableSnapshotException("it is too large");
            }
            HandoverSnapshot snapshot = HandoverSnapshotCodec.read(Files.readAllBytes(file));
            if (snapshot.confidence(nowMs) > 0) {
                into.add(snapshot);
            } else {
                Files.deleteIfExists(file); // a running process writes it again
            }
        } catch (NoSuchFileException e) {
            return; // its process has ended meanwhile
        } catch (HandoverSnapshotCodec.UnreadableSnapshotException e) {
            if (reported.add(file)) {
                log.accept(file + " is of no use, and removed: " + e.getMessage());
            }
            Files.deleteIfExists(file);
        }
    }
}
