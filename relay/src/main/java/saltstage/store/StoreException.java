package saltstage.store;

import java.io.IOException;

/** Why the store did not do what it was asked; the message is one plain line. */
public class StoreException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Says why. */
    public StoreException(String message) {
        super(message);
    }

    /** Says why, and what it came from. */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }

    /** A file does not hold what was acknowledged: nothing is served from it. */
    public static final class Damaged extends StoreException {
        private static final long serialVersionUID = 1L;

        /** Names the file and the offset in it. */
        public Damaged(String file, long offset, String what) {
            super("damaged: " + file + " at " + offset + ": " + what);
        }
    }

    /** Another process has the store open. */
    public static final class Locked extends StoreException {
        private static final long serialVersionUID = 1L;

        /** Names it. */
        public Locked() {
            super("the store is open in another process");
        }
    }

    /**
     * The disk is full: nothing was written, reading goes on, and writing may go on once there is
     * room.
     */
    public static final class DiskFull extends StoreException {
        private static final long serialVersionUID = 1L;

        /** Says what did not fit. */
        public DiskFull(Throwable cause) {
            super("the disk is full: " + cause.getMessage(), cause);
        }
    }

    /**
     * A write or a force failed: what is on the disk is not known any more, and nothing is
     * acknowledged.
     */
    public static final class WritesStopped extends StoreException {
        private static final long serialVersionUID = 1L;

        /** Says what failed. */
        public WritesStopped(String what, Throwable cause) {
            super("writing has stopped for good: " + what, cause);
        }
    }

    /** A key was not at the version that the batch expected; nothing of the batch was done. */
    public static final class VersionConflict extends StoreException {
        private static final long serialVersionUID = 1L;

        private final long actualVersion;

        /** The version that was expected and the one found; 0 is a key that is not there. */
        public VersionConflict(long expected, long found) {
            super("version conflict: expected " + expected + ", found " + found);
            this.actualVersion = found;
        }

        /** The version found; 0 where the key is not there. */
        public long actualVersion() {
            return actualVersion;
        }
    }
}
