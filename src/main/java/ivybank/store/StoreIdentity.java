package ivybank.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.zip.CRC32C;

/**
 * Identifies the store in a folder. It is kept in a file next to the records, so that a missing store, or that of
 * another sidecar, is not mistaken for an empty one: its promises would be lost without notice.
 *
 * @param owner name of the sidecar
 * @param id unique id, assigned when the store was created
 * @param incarnation starts at 1 and increases each time that the store is acquired
 */
public record StoreIdentity(String owner, String id, long incarnation) {

    static final String NAME = "identity";
    private static final String TEMPORARY_NAME = "identity.new";
    private static final String FIRST_LINE = "ivybank store identity 1";
    private static final String OWNER_PREFIX = "owner ";
    private static final String ID_PREFIX = "id ";
    private static final String INCARNATION_PREFIX = "life ";
    private static final int MAX_FILE_BYTES = 4096;

    /**
     * Acquires the store of a folder. The next incarnation is on the disk when this returns.
     *
     * @param mayCreate whether a store may be created if there is none
     * @param ids supplies the id of a new store
     * @param notices receives a line for the log if a store is created or gets its first identity
     * @throws StoreException if the folder has no store, that of another sidecar, or an incomplete one; nothing is
     *     changed then
     */
    public static StoreIdentity acquire(
            Disk disk, String owner, boolean mayCreate, Supplier<String> ids, Consumer<String> notices)
            throws IOException {
        List<String> names = disk.names();
        boolean hasManifest = names.contains(Manifest.NAME);
        boolean hasRecords =
                names.stream().anyMatch(name -> name.startsWith("segment-") || name.startsWith("quarantine-"));
        StoreIdentity existing = names.contains(NAME) ? read(disk) : null;
        if (existing != null && !existing.owner.equals(owner)) {
            throw new StoreException("the store belongs to " + existing.owner + " (id " + existing.id + "), and not to "
                    + owner + "; nothing was changed; check whether two folders were swapped");
        }
        if (existing != null && !hasManifest && existing.incarnation > 1) {
            throw new StoreException("the store (id " + existing.id + ", incarnation " + existing.incarnation
                    + ") is lost except for its identity file" + (hasRecords ? " and records without manifest" : "")
                    + "; nothing was changed; restore a copy of the folder, or move it away and create a new store by"
                    + " `store init`; what the lost store held is then unknown");
        }
        if (existing == null && !hasManifest && !hasRecords && !mayCreate) {
            throw new StoreException(
                    "the folder holds no store; if it held one, that one is lost; create the first store of a sidecar"
                            + " by `store init DIR --name " + owner
                            + "`, or by a start with first_start = \"make\" in [store]");
        }
        if (existing != null && !hasManifest) {
            // Interrupted creation: counting up here would make the store look lost after another power cut.
            return existing;
        }
        StoreIdentity acquired = existing == null
                ? new StoreIdentity(owner, ids.get(), 1)
                : new StoreIdentity(owner, existing.id, existing.incarnation + 1);
        if (existing == null) {
            notices.accept(
                    hasManifest || hasRecords
                            ? "no identity file, as in stores of earlier versions: assigned to " + owner + ", id "
                                    + acquired.id
                            : "no store found: created the first one, id " + acquired.id);
        }
        acquired.write(disk);
        return acquired;
    }

    /** Returns the identity of the store in a folder, or null if it has none. */
    public static StoreIdentity readIfPresent(Disk disk) throws IOException {
        return disk.names().contains(NAME) ? read(disk) : null;
    }

    private static StoreIdentity read(Disk disk) throws IOException {
        String text = StandardCharsets.UTF_8
                .decode(Disk.readAll(disk, NAME, MAX_FILE_BYTES))
                .toString();
        List<String> lines = text.lines().toList();
        if (lines.size() == 5
                && lines.get(1).startsWith(OWNER_PREFIX)
                && lines.get(2).startsWith(ID_PREFIX)
                && lines.get(3).matches(INCARNATION_PREFIX + "[0-9]{1,18}")) {
            StoreIdentity identity = new StoreIdentity(
                    lines.get(1).substring(OWNER_PREFIX.length()),
                    lines.get(2).substring(ID_PREFIX.length()),
                    Long.parseLong(lines.get(3).substring(INCARNATION_PREFIX.length())));
            if (identity.text().equals(text)) { // compares every character, including the checksum
                return identity;
            }
        }
        throw new StoreException("the file " + NAME
                + " can't be read: nothing was changed; restore a copy of it, or remove it if you are sure"
                + " that the folder belongs to this sidecar");
    }

    /** Returns the content of the identity file, which ends with a checksum of the lines before it. */
    private String text() {
        String text = FIRST_LINE + "\n" + OWNER_PREFIX + owner + "\n" + ID_PREFIX + id + "\n" + INCARNATION_PREFIX
                + incarnation + "\n";
        return text + "crc " + Long.toHexString(checksum(text)) + "\n";
    }

    private void write(Disk disk) throws IOException {
        disk.delete(TEMPORARY_NAME);
        try (Disk.File file = disk.create(TEMPORARY_NAME)) {
            Disk.writeFully(file, 0, ByteBuffer.wrap(text().getBytes(StandardCharsets.UTF_8)));
            file.force();
        }
        disk.rename(TEMPORARY_NAME, NAME);
        disk.forceNames();
    }

    private static long checksum(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }
}
