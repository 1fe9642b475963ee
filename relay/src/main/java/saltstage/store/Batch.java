package saltstage.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Puts and deletes that happen together or not at all, on conditions; for one use by one thread.
 */
public final class Batch {
    /** The longest key, in bytes; the shortest has one. */
    public static final int MAX_KEY_BYTES = 4 << 10;

    /** The longest value, in bytes. */
    public static final int MAX_VALUE_BYTES = 16 << 20;

    /** The most that a batch may hold, in bytes as the log has it. */
    public static final int MAX_BATCH_BYTES = 32 << 20;

    /** One change; a null value deletes. */
    record Change(byte[] key, byte[] value) {
        int encodedBytes() {
            return SegmentFormat.ENTRY_HEADER_BYTES
                    + key.length
                    + (value == null ? 0 : value.length);
        }
    }

    /** The version that a key must have; 0: it must not be there. */
    record ExpectedVersion(byte[] key, long version) {}

    private final List<Change> changes = new ArrayList<>();
    private final List<ExpectedVersion> expectedVersions = new ArrayList<>();
    private int encodedBytes = SegmentFormat.BATCH_HEADER_BYTES;

    /** Sets a key's value. */
    public Batch put(byte[] key, byte[] value) {
        if (value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException(
                    "value of " + value.length + " bytes; " + MAX_VALUE_BYTES + " is the most");
        }
        return add(new Change(checkedKey(key), value.clone()));
    }

    /** Removes a key, which need not be there. */
    public Batch delete(byte[] key) {
        return add(new Change(checkedKey(key), null));
    }

    /** The batch happens only if the key is at this version then; 0: only if it is not there. */
    public Batch expectVersion(byte[] key, long version) {
        expectedVersions.add(new ExpectedVersion(checkedKey(key), version));
        return this;
    }

    private Batch add(Change change) {
        if ((long) encodedBytes + change.encodedBytes() > MAX_BATCH_BYTES) {
            throw new IllegalArgumentException("a batch may hold " + MAX_BATCH_BYTES + " bytes");
        }
        encodedBytes += change.encodedBytes();
        changes.add(change);
        return this;
    }

    private static byte[] checkedKey(byte[] key) {
        if (key.length == 0 || key.length > MAX_KEY_BYTES) {
            throw new IllegalArgumentException(
                    "key of " + key.length + " bytes; 1 to " + MAX_KEY_BYTES + " are allowed");
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

    List<ExpectedVersion> expectedVersions() {
        return expectedVersions;
    }

    int encodedBytes() {
        return encodedBytes;
    }
}
