package ivybank.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * One flat folder, with no more than the store needs of it. What is not forced may be lost, wholly or in part and in any
 * order, when the power is cut; a new name, a rename or a deletion may be until the folder itself is forced.
 */
public interface Disk extends Closeable {

    /** An open file of the folder. */
    interface File extends Closeable {

        long size() throws IOException;

        /** Reads into what is left of the buffer; how many bytes came, perhaps fewer than asked, -1 at the end. */
        int read(long at, ByteBuffer into) throws IOException;

        /** Writes what is left of the buffer; how many bytes went, perhaps fewer than given. */
        int write(long at, ByteBuffer from) throws IOException;

        void truncate(long size) throws IOException;

        /** Returns when all that was written is on the disk. Once it has failed nothing is known of what was written. */
        void force() throws IOException;
    }

    List<String> names() throws IOException;

    /** Makes a file that must not be there yet. */
    File create(String name) throws IOException;

    /** Opens a file that must be there. */
    File open(String name) throws IOException;

    /** Puts a file in the place of another as one step. */
    void rename(String from, String to) throws IOException;

    void delete(String name) throws IOException;

    /** Returns when the names of the folder are on the disk. */
    void forceNames() throws IOException;

    /** Reads until the buffer is full or the file ends. */
    static void readFully(File file, long at, ByteBuffer into) throws IOException {
        long next = at;
        while (into.hasRemaining()) {
            int count = file.read(next, into);
            if (count < 0) {
                return;
            }
            next += count;
        }
    }

    /** Writes all of the buffer. */
    static void writeFully(File file, long at, ByteBuffer from) throws IOException {
        long next = at;
        while (from.hasRemaining()) {
            next += file.write(next, from);
        }
    }

    /** A whole small file. */
    static ByteBuffer readAll(Disk disk, String name, int most) throws IOException {
        try (File file = disk.open(name)) {
            ByteBuffer all = ByteBuffer.allocate((int) Math.min(most, file.size()));
            readFully(file, 0, all);
            return all.flip();
        }
    }
}
