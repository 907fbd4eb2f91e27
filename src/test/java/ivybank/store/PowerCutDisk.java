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
 * A disk in memory that can lose its power: what was written and not forced is then lost, kept or torn, piece by piece and in
 * any order, and so are names. It can also fail a force, run full, be slow to give all that is read, and flip bits.
 */
final class PowerCutDisk implements Disk {

    private static final int SECTOR = 16; // small, so that small files are torn too

    /** A change of a file that is not forced yet: bytes at a place, or a new end where there are none. */
    private record Change(int at, byte[] bytes) {
        byte[] on(byte[] content) {
            if (bytes == null) {
                return Arrays.copyOf(content, at);
            }
            byte[] changed = Arrays.copyOf(content, Math.max(content.length, at + bytes.length));
            System.arraycopy(bytes, 0, changed, at, bytes.length);
            return changed;
        }
    }

    private static final class Content {
        private byte[] forced = {};
        private byte[] now = {};
        private final List<Change> changes = new ArrayList<>();
    }

    /** A change of the names: a new one, one in another's place, or one less. */
    private record Naming(String name, Content content, String from) {}

    private final Map<String, Content> forcedNames = new LinkedHashMap<>();
    private final Map<String, Content> names = new LinkedHashMap<>();
    private final List<Naming> namings = new ArrayList<>();
    private int failForces;
    private long room = Long.MAX_VALUE;
    private int stepsToCut = -1;
    private boolean shortReads;

    /** The power is gone: nothing works any more on this disk. */
    static final class PowerCut extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** So many forces from now on fail. */
    void failForces(int count) {
        failForces = count;
    }

    /** So many bytes more can be written. */
    void room(long bytes) {
        room = bytes;
    }

    /** Reads and writes give and take a part of what is asked. */
    void shortTransfers() {
        shortReads = true;
    }

    /** The power goes at the change after so many; -1 never. */
    void cutAfter(int steps) {
        stepsToCut = steps;
    }

    private void step() {
        if (stepsToCut == 0) {
            throw new PowerCut();
        }
        stepsToCut -= stepsToCut > 0 ? 1 : 0;
    }

    /** What is left when the power is back: a new disk, with all that was forced and some of the rest. */
    PowerCutDisk cut(SplittableRandom random) {
        PowerCutDisk next = new PowerCutDisk();
        Map<Content, Content> copies = new LinkedHashMap<>();
        Map<String, Content> left = new LinkedHashMap<>(forcedNames);
        int style = random.nextInt(4); // nothing, everything, or some of what was not forced
        for (Naming naming : namings) {
            if (style == 0 || style > 1 && random.nextBoolean()) {
                continue;
            }
            if (naming.from != null && left.containsKey(naming.from)) {
                left.put(naming.name, left.remove(naming.from));
            } else if (naming.from == null && naming.content != null) {
                left.put(naming.name, naming.content);
            } else if (naming.from == null) {
                left.remove(naming.name);
            }
        }
        left.forEach((name, content) -> {
            Content copy = copies.computeIfAbsent(content, each -> torn(each, style, random));
            next.names.put(name, copy);
            next.forcedNames.put(name, copy);
        });
        return next;
    }

    private static Content torn(Content content, int style, SplittableRandom random) {
        byte[] bytes = content.forced;
        for (Change change : content.changes) {
            if (style == 0) {
                break;
            }
            if (style == 1 || change.bytes == null) {
                bytes = style == 1 || random.nextBoolean() ? change.on(bytes) : bytes;
            } else if (style == 2) { // in sectors, any of them
                for (int from = 0; from < change.bytes.length; from += SECTOR) {
                    if (random.nextBoolean()) {
                        int to = Math.min(change.bytes.length, from + SECTOR);
                        bytes = new Change(change.at + from, Arrays.copyOfRange(change.bytes, from, to)).on(bytes);
                    }
                }
            } else { // up to any byte
                bytes = new Change(change.at, Arrays.copyOf(change.bytes, random.nextInt(change.bytes.length + 1)))
                        .on(bytes);
            }
        }
        Content copy = new Content();
        copy.forced = bytes;
        copy.now = bytes;
        return copy;
    }

    /** The same bytes on another disk, all of them forced. */
    PowerCutDisk copy() {
        PowerCutDisk next = new PowerCutDisk();
        names.forEach((name, content) -> {
            Content copy = new Content();
            copy.now = content.now;
            copy.forced = content.now;
            next.names.put(name, copy);
            next.forcedNames.put(name, copy);
        });
        return next;
    }

    byte[] bytes(String name) {
        return names.get(name).now;
    }

    /** Puts these bytes into a file, forced. */
    void set(String name, byte[] bytes) {
        Content content = names.get(name);
        content.now = bytes;
        content.forced = bytes;
        content.changes.clear();
    }

    @Override
    public List<String> names() {
        return names.keySet().stream().sorted().toList();
    }

    @Override
    public File create(String name) throws IOException {
        step();
        if (names.containsKey(name)) {
            throw new IOException(name + " is there");
        }
        Content content = new Content();
        names.put(name, content);
        namings.add(new Naming(name, content, null));
        return new Opened(content);
    }

    @Override
    public File open(String name) throws IOException {
        if (!names.containsKey(name)) {
            throw new IOException(name + " is not there");
        }
        return new Opened(names.get(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        step();
        if (!names.containsKey(from)) {
            throw new IOException(from + " is not there");
        }
        names.put(to, names.remove(from));
        namings.add(new Naming(to, names.get(to), from));
    }

    @Override
    public void delete(String name) {
        step();
        if (names.remove(name) != null) {
            namings.add(new Naming(name, null, null));
        }
    }

    @Override
    public void forceNames() throws IOException {
        step();
        failed();
        forcedNames.clear();
        forcedNames.putAll(names);
        namings.clear();
    }

    private void failed() throws IOException {
        if (failForces > 0) {
            failForces--;
            throw new IOException("the disk failed");
        }
    }

    @Override
    public void close() {
        // Nothing is held.
    }

    private final class Opened implements File {
        private final Content content;

        Opened(Content content) {
            this.content = content;
        }

        @Override
        public long size() {
            return content.now.length;
        }

        @Override
        public int read(long at, ByteBuffer into) {
            int count = (int) Math.min(into.remaining(), content.now.length - at);
            if (count <= 0) {
                return -1;
            }
            int some = shortReads ? Math.max(1, count / 2) : count;
            into.put(content.now, (int) at, some);
            return some;
        }

        @Override
        public int write(long at, ByteBuffer from) throws IOException {
            step();
            int count = (int) Math.min(shortReads ? Math.max(1, from.remaining() / 2) : from.remaining(), room);
            if (count == 0) {
                throw new IOException("no space is left");
            }
            room -= count;
            byte[] bytes = new byte[count];
            from.get(bytes);
            change(new Change((int) at, bytes));
            return count;
        }

        private void change(Change change) {
            content.changes.add(change);
            content.now = change.on(content.now);
        }

        @Override
        public void truncate(long size) {
            step();
            if (size < content.now.length) {
                change(new Change((int) size, null));
            }
        }

        @Override
        public void force() throws IOException {
            step();
            if (failForces > 0) {
                content.changes.clear(); // as a system does that drops what it could not write
            }
            failed();
            content.forced = content.now;
            content.changes.clear();
        }

        @Override
        public void close() {
            // Nothing is held.
        }
    }
}
