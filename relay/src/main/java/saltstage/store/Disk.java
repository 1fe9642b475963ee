package saltstage.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * A directory of files as the store uses it; tests replace it to inject crashes, torn writes,
 * failures and a full disk. Written data is durable only after {@link File#force}; a created,
 * renamed or deleted name is durable only after {@link #syncDirectory}. Until then any part of the
 * changes may survive a crash, in any order.
 */
public interface Disk {
    /** The disk is full; existing data is unaffected. */
    final class FullException extends IOException {
        private static final long serialVersionUID = 1L;

        /** Creates an exception that names the file that did not fit. */
        public FullException(String message) {
            super(message);
        }
    }

    /** An open file. */
    interface File extends Closeable {
        /**
         * Reads from this position until the buffer is full or the file ends. Returns the number of
         * bytes read.
         */
        int read(ByteBuffer into, long position) throws IOException;

        /**
         * Writes at this position. Returns the number of bytes written, which is less than the
         * buffer held after a short write.
         */
        int write(ByteBuffer from, long position) throws IOException;

        /**
         * Makes written data durable. After a failure the state of every unforced write is unknown.
         */
        void force() throws IOException;

        /** Returns the length of the file in bytes. */
        long size() throws IOException;

        @Override
        void close() throws IOException;
    }

    /** Returns the names of the files in the directory. */
    List<String> list() throws IOException;

    /** Creates an empty file for reading and writing. Fails if the name exists. */
    File create(String name) throws IOException;

    /** Opens an existing file. */
    File open(String name, boolean toWrite) throws IOException;

    /** Renames a file and atomically replaces an existing file of the new name. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;

    /** Makes created, renamed and deleted names durable. */
    void syncDirectory() throws IOException;

    /**
     * Acquires the lock for the single writer. Returns null if another process or opener holds it.
     */
    Closeable lock(String name) throws IOException;
}
