package ivybank.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.zip.CRC32C;

/**
 * Whose store a folder holds, which one it is, and how often it has been taken up. Kept beside the records, so that a store that is
 * missing, or another sidecar's, isn't taken for an empty one: what was promised in it would be forgotten in silence.
 *
 * @param owner the name of the sidecar
 * @param id drawn when the store was made
 * @param incarnation rises each time that it is taken up, from 1
 */
public record StoreIdentity(String owner, String id, long incarnation) {

    static final String NAME = "identity";
    private static final String NEW = "identity.new";
    private static final String FIRST_LINE = "ivybank store identity 1";
    private static final String OWNER = "owner ";
    private static final String ID = "id ";
    private static final String LIFE = "life ";
    private static final int MOST = 4096;

    /**
     * Takes up the store of a folder: the next life is on the disk when this returns.
     *
     * @param mayMake whether one may be made where there is none
     * @param ids draws the id of one that is made
     * @param said takes one line where something is worth one
     * @throws StoreException in one line, if the folder has none, another's, or only part of one; nothing is changed then
     */
    public static StoreIdentity acquire(
            Disk disk, String owner, boolean mayMake, Supplier<String> ids, Consumer<String> said) throws IOException {
        List<String> names = disk.names();
        boolean manifest = names.contains(Manifest.NAME);
        boolean records =
                names.stream().anyMatch(name -> name.startsWith("segment-") || name.startsWith("quarantine-"));
        StoreIdentity before = names.contains(NAME) ? read(disk) : null;
        if (before != null && !before.owner.equals(owner)) {
            throw new StoreException("it is the store of " + before.owner + " (id " + before.id + "), and this is "
                    + owner + ": nothing is changed; are two folders swapped?");
        }
        if (before != null && !manifest && before.incarnation > 1) {
            throw new StoreException("the store that was here (id " + before.id + ", taken up " + before.incarnation
                    + " times) is lost but for its name" + (records ? " and records that no manifest names" : "")
                    + ": nothing is changed; put back a copy of the folder, or move it away and make another"
                    + " one by `store init`, and what it held is not known");
        }
        if (before == null && !manifest && !records && !mayMake) {
            throw new StoreException(
                    "there is no store here: if there was one, it is lost; the first one of a sidecar is made by"
                            + " `store init DIR --name " + owner
                            + "`, or at a start with first_start = \"make\" in [store]");
        }
        if (before != null && !manifest) {
            return before; // the power was cut while it was made: its first life goes on, or a second cut would make it
            // a lost one
        }
        StoreIdentity now = before == null
                ? new StoreIdentity(owner, ids.get(), 1)
                : new StoreIdentity(owner, before.id, before.incarnation + 1);
        if (before == null) {
            said.accept(
                    manifest || records
                            ? "it had no name, as those of earlier versions: from now on it is " + owner + "'s, id "
                                    + now.id
                            : "there was none: a first one is made, id " + now.id);
        }
        now.write(disk);
        return now;
    }

    /** The identity of a folder; null if it has none. */
    public static StoreIdentity readIfPresent(Disk disk) throws IOException {
        return disk.names().contains(NAME) ? read(disk) : null;
    }

    private static StoreIdentity read(Disk disk) throws IOException {
        String text =
                StandardCharsets.UTF_8.decode(Disk.readAll(disk, NAME, MOST)).toString();
        List<String> lines = text.lines().toList();
        if (lines.size() == 5
                && lines.get(1).startsWith(OWNER)
                && lines.get(2).startsWith(ID)
                && lines.get(3).matches(LIFE + "[0-9]{1,18}")) {
            StoreIdentity identity = new StoreIdentity(
                    lines.get(1).substring(OWNER.length()),
                    lines.get(2).substring(ID.length()),
                    Long.parseLong(lines.get(3).substring(LIFE.length())));
            if (identity.text().equals(text)) { // to the last sign, the checksum among them
                return identity;
            }
        }
        throw new StoreException("the file " + NAME
                + " can't be read: nothing is changed; put back a copy of it, or remove it if you are sure"
                + " that the folder is this sidecar's");
    }

    private String text() {
        String text = FIRST_LINE + "\n" + OWNER + owner + "\n" + ID + id + "\n" + LIFE + incarnation + "\n";
        return text + "crc " + Long.toHexString(checksum(text)) + "\n";
    }

    private void write(Disk disk) throws IOException {
        disk.delete(NEW);
        try (Disk.File file = disk.create(NEW)) {
            Disk.writeFully(file, 0, ByteBuffer.wrap(text().getBytes(StandardCharsets.UTF_8)));
            file.force();
        }
        disk.rename(NEW, NAME);
        disk.forceNames();
    }

    private static long checksum(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }
}
