package saltstage.store;

/**
 * How a store works: the size of a log segment in bytes, whether a thread of its own checkpoints
 * and compacts (else only by hand), and how many bytes a second compaction may copy.
 */
public record StoreOptions(
        int segmentBytes, boolean backgroundMaintenance, long compactionBytesPerSecond) {
    /** The smallest segment that the store makes. */
    public static final int MIN_SEGMENT_BYTES = 1 << 10;

    /** Checks. */
    public StoreOptions {
        if (segmentBytes < MIN_SEGMENT_BYTES
                || segmentBytes % SegmentFormat.ALIGNMENT_BYTES != 0
                || compactionBytesPerSecond < 1) {
            throw new IllegalArgumentException(
                    "segment of " + segmentBytes + " bytes, rate " + compactionBytesPerSecond);
        }
    }

    /** Segments of 8 MiB, a thread of its own, and 32 MiB a second for compaction. */
    public static StoreOptions defaults() {
        return new StoreOptions(8 << 20, true, 32L << 20);
    }
}
