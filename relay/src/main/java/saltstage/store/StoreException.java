package saltstage.store;

import java.io.IOException;

/** Signals that the store could not complete an operation. The message is a single line. */
public class StoreException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message. */
    public StoreException(String message) {
        super(message);
    }

    /** Creates an exception with a message and a cause. */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }

    /** A file does not contain the data that was acknowledged. The store cannot be used. */
    public static final class Damaged extends StoreException {
        private static final long serialVersionUID = 1L;

        /** Creates an exception for damage at this offset of a file. */
        public Damaged(String file, long offset, String what) {
            super("damaged: " + file + " at " + offset + ": " + what);
        }
    }

    /** The store is open for writing in another process, or was opened already in this one. */
    public static final class Locked extends StoreException {
        private static final long serialVersionUID = 1L;

        /** Creates an exception with the fixed message. */
        public Locked() {
            super("the store is open in another process");
        }
    }

    /**
     * The disk is full. Nothing was written and reads continue to work; commits may succeed again
     * once there is free space.
     */
    public static final class DiskFull extends StoreException {
        private static final long serialVersionUID = 1L;

        /** Creates an exception for the failed allocation. */
        public DiskFull(Throwable cause) {
            super("the disk is full: " + cause.getMessage(), cause);
        }
    }

    /**
     * A write or force failed, so the content of the disk is unknown. No further batch is
     * acknowledged.
     */
    public static final class WritesStopped extends StoreException {
        private static final long serialVersionUID = 1L;

        /** Creates an exception that names the failed step. */
        public WritesStopped(String what, Throwable cause) {
            super("writing has stopped for good: " + what, cause);
        }
    }

    /** A key did not have the expected version; no change of the batch was applied. */
    public static final class VersionConflict extends StoreException {
        private static final long serialVersionUID = 1L;

        private final long actualVersion;

        /** Creates an exception with both versions; 0 means that the key does not exist. */
        public VersionConflict(long expected, long found) {
            super("version conflict: expected " + expected + ", found " + found);
            this.actualVersion = found;
        }

        /** Returns the version found, or 0 if the key does not exist. */
        public long actualVersion() {
            return actualVersion;
        }
    }
}
