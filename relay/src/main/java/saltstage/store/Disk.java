package saltstage.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * One directory of files, as the store uses it: the seam at which tests crash, tear, fail and fill.
 * What is written is durable only after {@link File#force}; a created, renamed or deleted name only
 * after {@link #syncDirectory}. Until then any part of it may survive a crash, in any order.
 */
public interface Disk {
    /** No room is left; everything that was there still is. */
    final class FullException extends IOException {
        private static final long serialVersionUID = 1L;

        /** Names the file that did not fit. */
        public FullException(String message) {
            super(message);
        }
    }

    /** An open file. */
    interface File extends Closeable {
        /**
         * Reads at this position until the buffer is full or the file ends; returns the bytes read.
         */
        int read(ByteBuffer into, long position) throws IOException;

        /**
         * Writes at this position; returns the bytes written, fewer than were there if it fell
         * short.
         */
        int write(ByteBuffer from, long position) throws IOException;

        /**
         * Makes what was written durable. After a failure nothing may be assumed of any unforced
         * write.
         */
        void force() throws IOException;

        /** The length in bytes. */
        long size() throws IOException;

        @Override
        void close() throws IOException;
    }

    /** The names that are there. */
    List<String> list() throws IOException;

    /** Makes a new empty file to read and write; one of that name must not be there. */
    File create(String name) throws IOException;

    /** Opens a file that is there. */
    File open(String name, boolean toWrite) throws IOException;

    /** Renames a file; one of the new name is replaced, at once and whole. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file. */
    void delete(String name) throws IOException;

    /** Makes names durable. */
    void syncDirectory() throws IOException;

    /** Takes the lock for the one writer; null where another process or opener holds it. */
    Closeable lock(String name) throws IOException;
}
