package saltstage.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Puts and deletes that happen together or not at all, on conditions; for one use by one thread.
 */
public final class Batch {
    /** The longest key, in bytes; the shortest has one. */
    public static final int MOST_KEY = 4 << 10;

    /** The longest value, in bytes. */
    public static final int MOST_VALUE = 16 << 20;

    /** The most that a batch may hold, in bytes as the log has it. */
    public static final int MOST_BYTES = 32 << 20;

    /** One change; a null value deletes. */
    record Change(byte[] key, byte[] value) {
        int bytes() {
            return Frames.ENTRY_HEAD + key.length + (value == null ? 0 : value.length);
        }
    }

    /** The version that a key must have; 0: it must not be there. */
    record Expected(byte[] key, long version) {}

    private final List<Change> changes = new ArrayList<>();
    private final List<Expected> expected = new ArrayList<>();
    private int bytes = Frames.BATCH_HEAD;

    /** Sets a key's value. */
    public Batch put(byte[] key, byte[] value) {
        if (value.length > MOST_VALUE) {
            throw new IllegalArgumentException(
                    "value of " + value.length + " bytes; " + MOST_VALUE + " is the most");
        }
        return add(new Change(checked(key), value.clone()));
    }

    /** Removes a key, which need not be there. */
    public Batch delete(byte[] key) {
        return add(new Change(checked(key), null));
    }

    /** The batch happens only if the key is at this version then; 0: only if it is not there. */
    public Batch expect(byte[] key, long version) {
        expected.add(new Expected(checked(key), version));
        return this;
    }

    private Batch add(Change change) {
        if ((long) bytes + change.bytes() > MOST_BYTES) {
            throw new IllegalArgumentException("a batch may hold " + MOST_BYTES + " bytes");
        }
        bytes += change.bytes();
        changes.add(change);
        return this;
    }

    private static byte[] checked(byte[] key) {
        if (key.length == 0 || key.length > MOST_KEY) {
            throw new IllegalArgumentException(
                    "key of " + key.length + " bytes; 1 to " + MOST_KEY + " are allowed");
        }
        return key.clone();
    }

    /** How many changes it holds. */
    public int size() {
        return changes.size();
    }

    List<Change> changes() {
        return changes;
    }

    List<Expected> expected() {
        return expected;
    }

    int bytes() {
        return bytes;
    }
}
