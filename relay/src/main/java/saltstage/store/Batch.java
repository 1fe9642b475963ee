package saltstage.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Puts and deletes that are applied atomically, optionally subject to expected versions. A batch is
 * committed once and is not thread-safe.
 */
public final class Batch {
    /** The maximum length of a key in bytes; the minimum is 1. */
    public static final int MAX_KEY_BYTES = 4 << 10;

    /** The maximum length of a value in bytes. */
    public static final int MAX_VALUE_BYTES = 16 << 20;

    /** The maximum size of a batch in bytes, as encoded in the log. */
    public static final int MAX_BATCH_BYTES = 32 << 20;

    /** A single change; a null value deletes the key. */
    record Change(byte[] key, byte[] value) {
        int encodedBytes() {
            return SegmentFormat.ENTRY_HEADER_BYTES
                    + key.length
                    + (value == null ? 0 : value.length);
        }
    }

    /** The version that a key must have; 0 means that the key must not exist. */
    record ExpectedVersion(byte[] key, long version) {}

    private final List<Change> changes = new ArrayList<>();
    private final List<ExpectedVersion> expectedVersions = new ArrayList<>();
    private int encodedBytes = SegmentFormat.BATCH_HEADER_BYTES;

    /** Adds a put of a key. */
    public Batch put(byte[] key, byte[] value) {
        if (value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException(
                    "value of " + value.length + " bytes; " + MAX_VALUE_BYTES + " is the most");
        }
        return add(new Change(checkedKey(key), value.clone()));
    }

    /** Adds a delete of a key, which need not exist. */
    public Batch delete(byte[] key) {
        return add(new Change(checkedKey(key), null));
    }

    /**
     * Commits the batch only if the key has this version at that time; 0 means that the key must
     * not exist.
     */
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

    /** Returns the number of changes. */
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
