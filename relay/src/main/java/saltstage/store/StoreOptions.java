package saltstage.store;

/**
 * Options of a store: the size of a log segment in bytes, whether a background thread writes
 * checkpoints and compacts (otherwise only explicit calls do), and how many bytes per second
 * compaction may copy.
 */
public record StoreOptions(
        int segmentBytes, boolean backgroundMaintenance, long compactionBytesPerSecond) {
    /** The minimum size of a segment in bytes. */
    public static final int MIN_SEGMENT_BYTES = 1 << 10;

    /** Validates the options. */
    public StoreOptions {
        if (segmentBytes < MIN_SEGMENT_BYTES
                || segmentBytes % SegmentFormat.ALIGNMENT_BYTES != 0
                || compactionBytesPerSecond < 1) {
            throw new IllegalArgumentException(
                    "segment of " + segmentBytes + " bytes, rate " + compactionBytesPerSecond);
        }
    }

    /**
     * Returns the default options: segments of 8 MiB, background maintenance, and 32 MiB per second
     * for compaction.
     */
    public static StoreOptions defaults() {
        return new StoreOptions(8 << 20, true, 32L << 20);
    }
}
