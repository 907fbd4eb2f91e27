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
 * A file of each process of a sidecar in the folder that they share, replaced whole. Used by one thread of a process.
 */
public final class HandoverSnapshotFiles {

    private static final String FORM = "ivybank-*.memory";
    private static final int MOST_FILES = 16;

    private final Path folder;
    private final Path own;
    private final Path next;
    private final Consumer<String> log;
    private final Set<Path> told = new HashSet<>();

    /** @param log gets a line for each file that can't be used */
    public HandoverSnapshotFiles(Path folder, long process, Consumer<String> log) {
        this.folder = folder;
        this.log = log;
        own = folder.resolve("ivybank-" + process + ".memory");
        next = folder.resolve("ivybank-" + process + ".memory.next");
    }

    /** Replaces this process's file, so that a reader has the one before or this one. */
    public void write(HandoverSnapshot memory) throws IOException {
        Files.write(next, HandoverSnapshotCodec.write(memory));
        Files.move(next, own, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /**
     * What the other processes have left, those that have ended too; what can't be read is told once and, like what is too
     * old, removed.
     */
    public List<HandoverSnapshot> others(double nowMs) throws IOException {
        List<HandoverSnapshot> others = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, FORM)) {
            for (Path file : files) {
                if (!file.equals(own) && others.size() < MOST_FILES) {
                    read(file, nowMs, others);
                }
            }
        }
        return others;
    }

    private void read(Path file, double nowMs, List<HandoverSnapshot> into) throws IOException {
        try {
            if (Files.size(file) > HandoverSnapshotCodec.MOST_BYTES) {
                throw new HandoverSnapshotCodec.Unreadable("it is too large");
            }
            HandoverSnapshot memory = HandoverSnapshotCodec.read(Files.readAllBytes(file));
            if (memory.confidence(nowMs) > 0) {
                into.add(memory);
            } else {
                Files.deleteIfExists(file); // a process that lives writes anew
            }
        } catch (NoSuchFileException e) {
            return; // its process has ended meanwhile
        } catch (HandoverSnapshotCodec.Unreadable e) {
            if (told.add(file)) {
                log.accept(file + " is of no use, and removed: " + e.getMessage());
            }
            Files.deleteIfExists(file);
        }
    }
}
