package ivybank.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * An in-memory disk for fault injection. After a power cut, writes and name changes that were not forced are lost,
 * kept or torn in part, in any order. The disk can also fail forces, fill up, and transfer fewer bytes than asked; a
 * test can replace the content of its files.
 */
final class PowerCutDisk implements Disk {

    private static final int SECTOR = 16; // small, so that small files can be torn too

    /** An unforced change of a file: bytes at an offset, or a new file size if the bytes are null. */
    private record Change(int offset, byte[] bytes) {
        byte[] applyTo(byte[] content) {
            if (bytes == null) {
                return Arrays.copyOf(content, offset);
            }
            byte[] changed = Arrays.copyOf(content, Math.max(content.length, offset + bytes.length));
            System.arraycopy(bytes, 0, changed, offset, bytes.length);
            return changed;
        }
    }

    private static final class Content {
        private byte[] forced = {};
        private byte[] current = {};
        private final List<Change> changes = new ArrayList<>();
    }

    /** An unforced change of the names: a creation, a rename (from is not null) or a deletion (content is null). */
    private record NameChange(String name, Content content, String from) {}

    private final Map<String, Content> forcedNames = new LinkedHashMap<>();
    private final Map<String, Content> names = new LinkedHashMap<>();
    private final List<NameChange> nameChanges = new ArrayList<>();
    private int failForces;
    private long freeBytes = Long.MAX_VALUE;
    private int stepsToCut = -1;
    private boolean shortTransfers;

    /** Thrown by each change of the disk after its power was cut. */
    static final class PowerCut extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** Makes the next forces fail. */
    void failForces(int count) {
        failForces = count;
    }

    /** Sets the number of bytes that can still be written. */
    void setFreeBytes(long bytes) {
        freeBytes = bytes;
    }

    /** Makes each read and write transfer only a part of the bytes. */
    void shortTransfers() {
        shortTransfers = true;
    }

    /** Cuts the power after a number of changes; -1 means never. */
    void cutAfter(int steps) {
        stepsToCut = steps;
    }

    private void countStep() {
        if (stepsToCut == 0) {
            throw new PowerCut();
        }
        stepsToCut -= stepsToCut > 0 ? 1 : 0;
    }

    /** Returns the disk after the power is back, with all that was forced and a random part of the rest. */
    PowerCutDisk cut(SplittableRandom random) {
        PowerCutDisk next = new PowerCutDisk();
        Map<Content, Content> copies = new LinkedHashMap<>();
        Map<String, Content> remaining = new LinkedHashMap<>(forcedNames);
        int mode = random.nextInt(4); // 0: nothing unforced is kept, 1: all of it, 2 and 3: a part
        for (NameChange nameChange : nameChanges) {
            if (mode == 0 || mode > 1 && random.nextBoolean()) {
                continue;
            }
            if (nameChange.from != null && remaining.containsKey(nameChange.from)) {
                remaining.put(nameChange.name, remaining.remove(nameChange.from));
            } else if (nameChange.from == null && nameChange.content != null) {
                remaining.put(nameChange.name, nameChange.content);
            } else if (nameChange.from == null) {
                remaining.remove(nameChange.name);
            }
        }
        remaining.forEach((name, content) -> {
            Content copy = copies.computeIfAbsent(content, each -> torn(each, mode, random));
            next.names.put(name, copy);
            next.forcedNames.put(name, copy);
        });
        return next;
    }

    private static Content torn(Content content, int mode, SplittableRandom random) {
        byte[] bytes = content.forced;
        for (Change change : content.changes) {
            if (mode == 0) {
                break;
            }
            if (mode == 1 || change.bytes == null) {
                bytes = mode == 1 || random.nextBoolean() ? change.applyTo(bytes) : bytes;
            } else if (mode == 2) { // any of the sectors
                for (int from = 0; from < change.bytes.length; from += SECTOR) {
                    if (random.nextBoolean()) {
                        int to = Math.min(change.bytes.length, from + SECTOR);
                        bytes = new Change(change.offset + from, Arrays.copyOfRange(change.bytes, from, to))
                                .applyTo(bytes);
                    }
                }
            } else { // a prefix of any length
                bytes = new Change(change.offset, Arrays.copyOf(change.bytes, random.nextInt(change.bytes.length + 1)))
                        .applyTo(bytes);
            }
        }
        Content copy = new Content();
        copy.forced = bytes;
        copy.current = bytes;
        return copy;
    }

    /** Returns a copy of the disk on which everything is forced. */
    PowerCutDisk copy() {
        PowerCutDisk next = new PowerCutDisk();
        names.forEach((name, content) -> {
            Content copy = new Content();
            copy.current = content.current;
            copy.forced = content.current;
            next.names.put(name, copy);
            next.forcedNames.put(name, copy);
        });
        return next;
    }

    byte[] bytes(String name) {
        return names.get(name).current;
    }

    /** Replaces the content of a file, forced. */
    void set(String name, byte[] bytes) {
        Content content = names.get(name);
        content.current = bytes;
        content.forced = bytes;
        content.changes.clear();
    }

    @Override
    public List<String> names() {
        return names.keySet().stream().sorted().toList();
    }

    @Override
    public File create(String name) throws IOException {
        countStep();
        if (names.containsKey(name)) {
            throw new IOException(name + " exists already");
        }
        Content content = new Content();
        names.put(name, content);
        nameChanges.add(new NameChange(name, content, null));
        return new OpenFile(content);
    }

    @Override
    public File open(String name) throws IOException {
        if (!names.containsKey(name)) {
            throw new IOException(name + " does not exist");
        }
        return new OpenFile(names.get(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        countStep();
        if (!names.containsKey(from)) {
            throw new IOException(from + " does not exist");
        }
        names.put(to, names.remove(from));
        nameChanges.add(new NameChange(to, names.get(to), from));
    }

    @Override
    public void delete(String name) {
        countStep();
        if (names.remove(name) != null) {
            nameChanges.add(new NameChange(name, null, null));
        }
    }

    @Override
    public void forceNames() throws IOException {
        countStep();
        failIfRequested();
        forcedNames.clear();
        forcedNames.putAll(names);
        nameChanges.clear();
    }

    private void failIfRequested() throws IOException {
        if (failForces > 0) {
            failForces--;
            throw new IOException("the disk failed");
        }
    }

    @Override
    public void close() {
        // There is nothing to release.
    }

    private final class OpenFile implements File {
        private final Content content;

        OpenFile(Content content) {
            this.content = content;
        }

        @Override
        public long size() {
            return content.current.length;
        }

        @Override
        public int read(long offset, ByteBuffer into) {
            int count = (int) Math.min(into.remaining(), content.current.length - offset);
            if (count <= 0) {
                return -1;
            }
            int transferred = shortTransfers ? Math.max(1, count / 2) : count;
            into.put(content.current, (int) offset, transferred);
            return transferred;
        }

        @Override
        public int write(long offset, ByteBuffer from) throws IOException {
            countStep();
            int count =
                    (int) Math.min(shortTransfers ? Math.max(1, from.remaining() / 2) : from.remaining(), freeBytes);
            if (count == 0) {
                throw new IOException("no space is left");
            }
            freeBytes -= count;
            byte[] bytes = new byte[count];
            from.get(bytes);
            change(new Change((int) offset, bytes));
            return count;
        }

        private void change(Change change) {
            content.changes.add(change);
            content.current = change.applyTo(content.current);
        }

        @Override
        public void truncate(long size) {
            countStep();
            if (size < content.current.length) {
                change(new Change((int) size, null));
            }
        }

        @Override
        public void force() throws IOException {
            countStep();
            if (failForces > 0) {
                content.changes.clear(); // like a system that drops pages which it could not write
            }
            failIfRequested();
            content.forced = content.current;
            content.changes.clear();
        }

        @Override
        public void close() {
            // There is nothing to release.
        }
    }
}
