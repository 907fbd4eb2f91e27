package ivybank.daemon;

import ivybank.common.Log;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The calls of this process that must not run twice, in a file that all processes of the sidecar map into their memory: what one
 * writes the others see at once, without a system call. Each slot holds the hash of a call's id and the end of its retention by the
 * machine's monotonic clock. The own table is used on the event loop; {@link #refresh} may run on another thread.
 */
final class SharedCallTable {

    private static final String FILE_PREFIX = "ivybank-";
    private static final String FILE_SUFFIX = ".calls";
    private static final int SLOTS = 4096;
    private static final int SLOT_BYTES = 2 * Long.BYTES;
    private static final int FILE_BYTES = SLOTS * SLOT_BYTES;
    /** How many slots behind that of its hash a call may be in. */
    private static final int PROBES = 16;

    private static final int MAX_FILES = 16;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final Path folder;
    private final Path ownFile;
    private final ByteBuffer own;
    private final Map<Path, ByteBuffer> mapped = new HashMap<>(); // used by the refreshing thread alone
    private volatile List<ByteBuffer> others = List.of();

    private SharedCallTable(Path folder, Path ownFile, ByteBuffer own) {
        this.folder = folder;
        this.ownFile = ownFile;
        this.own = own;
    }

    /**
     * Creates the table of this process.
     *
     * @param nowMs the time by the monotonic clock, in milliseconds
     * @throws IOException if its file can't be written or mapped
     */
    static SharedCallTable create(Path folder, long process, double nowMs) throws IOException {
        Path file = folder.resolve(FILE_PREFIX + process + FILE_SUFFIX);
        // Written in full before it is mapped: a page that a full file system can't provide would end the process.
        Files.write(file, new byte[FILE_BYTES]);
        SharedCallTable table = new SharedCallTable(folder, file, map(file, FileChannel.MapMode.READ_WRITE));
        table.scan(nowMs);
        return table;
    }

    private static MappedByteBuffer map(Path file, FileChannel.MapMode mode) throws IOException {
        StandardOpenOption[] options = mode == FileChannel.MapMode.READ_WRITE
                ? new StandardOpenOption[] {StandardOpenOption.READ, StandardOpenOption.WRITE}
                : new StandardOpenOption[] {StandardOpenOption.READ};
        try (FileChannel channel = FileChannel.open(file, options)) {
            return channel.map(mode, 0, FILE_BYTES);
        }
    }

    /** Finds the tables of other processes, and removes those of ended processes in which nothing is retained any more. */
    void refresh(double nowMs, Log log) {
        try {
            scan(nowMs);
        } catch (IOException e) {
            log.line("handover: the calls of other processes can't be read: " + e);
        }
    }

    private void scan(double nowMs) throws IOException {
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, FILE_PREFIX + "*" + FILE_SUFFIX)) {
            for (Path file : files) {
                boolean usable = !file.equals(ownFile) && !mapped.containsKey(file) && mapped.size() < MAX_FILES;
                if (usable && Files.size(file) == FILE_BYTES) {
                    mapped.put(file, map(file, FileChannel.MapMode.READ_ONLY));
                }
            }
        }
        for (Path file : List.copyOf(mapped.keySet())) {
            if (!isAlive(file) && isExpired(mapped.get(file), nowMs)) {
                mapped.remove(file);
                Files.deleteIfExists(file);
            }
        }
        others = List.copyOf(mapped.values());
    }

    private static boolean isAlive(Path file) {
        String name = file.getFileName().toString();
        String process = name.substring(FILE_PREFIX.length(), name.length() - FILE_SUFFIX.length());
        try {
            return ProcessHandle.of(Long.parseLong(process)).isPresent();
        } catch (NumberFormatException e) {
            return false; // not a file of a process
        }
    }

    private static boolean isExpired(ByteBuffer table, double nowMs) {
        for (int slot = 0; slot < FILE_BYTES; slot += SLOT_BYTES) {
            if (table.getLong(slot) != 0 && table.getDouble(slot + Long.BYTES) > nowMs) {
                return false;
            }
        }
        return true;
    }

    /** Records a call up to this time by the monotonic clock, in milliseconds. */
    void put(String callId, double untilMs) {
        long hash = hash(callId);
        int chosen = find(own, hash);
        for (int probe = 0; chosen < 0 && probe < PROBES; probe++) {
            int slot = slot(hash, probe);
            chosen = own.getLong(slot) == 0 ? slot : chosen;
        }
        chosen = chosen < 0 ? earliest(hash) : chosen;
        own.putDouble(chosen + Long.BYTES, untilMs);
        own.putLong(chosen, hash);
    }

    /** Removes a call: it is answered, or known not to have run. */
    void remove(String callId) {
        int slot = find(own, hash(callId));
        if (slot >= 0) {
            own.putLong(slot, 0);
        }
    }

    /** Returns whether another process has recorded this call, and still does at this time by the monotonic clock. */
    boolean isElsewhere(String callId, double nowMs) {
        long hash = hash(callId);
        for (ByteBuffer table : others) {
            int slot = find(table, hash);
            if (slot >= 0 && table.getDouble(slot + Long.BYTES) > nowMs) {
                return true;
            }
        }
        return false;
    }

    private static int find(ByteBuffer table, long hash) {
        for (int probe = 0; probe < PROBES; probe++) {
            int slot = slot(hash, probe);
            if (table.getLong(slot) == hash) {
                return slot;
            }
        }
        return -1;
    }

    private int earliest(long hash) {
        int earliest = slot(hash, 0);
        for (int probe = 1; probe < PROBES; probe++) {
            int slot = slot(hash, probe);
            if (own.getDouble(slot + Long.BYTES) < own.getDouble(earliest + Long.BYTES)) {
                earliest = slot;
            }
        }
        return earliest;
    }

    private static int slot(long hash, int probe) {
        return (int) ((hash + probe) & (SLOTS - 1)) * SLOT_BYTES;
    }

    /** FNV-1a; never 0, which marks a free slot. */
    private static long hash(String callId) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < callId.length(); i++) {
            hash = (hash ^ callId.charAt(i)) * FNV_PRIME;
        }
        return hash == 0 ? 1 : hash;
    }
}
