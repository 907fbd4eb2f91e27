package ivybank.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * A flat folder of files, reduced to the operations that the store needs. Writes that are not forced may be lost when
 * the power is cut, wholly or in part and in any order; creations, renames and deletions may be lost until the folder
 * is forced.
 */
public interface Disk extends Closeable {

    /** An open file. */
    interface File extends Closeable {

        /** Returns the size of the file in bytes. */
        long size() throws IOException;

        /**
         * Reads into the remaining space of the buffer. Returns the number of bytes, possibly fewer, or -1 at the end.
         */
        int read(long offset, ByteBuffer into) throws IOException;

        /** Writes the remaining bytes of the buffer. Returns the number of bytes written, possibly fewer. */
        int write(long offset, ByteBuffer from) throws IOException;

        /** Shortens the file to a size. */
        void truncate(long size) throws IOException;

        /** Returns when all writes are on the disk. After a failure the state of earlier unforced writes is unknown. */
        void force() throws IOException;
    }

    /** Returns the names of all files of the folder, sorted. */
    List<String> names() throws IOException;

    /** Creates a file that must not exist yet. */
    File create(String name) throws IOException;

    /** Opens a file that must exist. */
    File open(String name) throws IOException;

    /** Renames a file atomically, replacing a file of the new name. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;

    /** Returns when all creations, renames and deletions are on the disk. */
    void forceNames() throws IOException;

    /** Reads until the buffer is full or the file ends. */
    static void readFully(File file, long offset, ByteBuffer into) throws IOException {
        long next = offset;
        while (into.hasRemaining()) {
            int count = file.read(next, into);
            if (count < 0) {
                return;
            }
            next += count;
        }
    }

    /** Writes all remaining bytes of the buffer. */
    static void writeFully(File file, long offset, ByteBuffer from) throws IOException {
        long next = offset;
        while (from.hasRemaining()) {
            next += file.write(next, from);
        }
    }

    /** Reads a small file, up to a maximum size. */
    static ByteBuffer readAll(Disk disk, String name, int maxBytes) throws IOException {
        try (File file = disk.open(name)) {
            ByteBuffer content = ByteBuffer.allocate((int) Math.min(maxBytes, file.size()));
            readFully(file, 0, content);
            return content.flip();
        }
    }
}
