package saltstage.store;

/**
 * Limits a rate in bytes per second, with a burst of a tenth of a second's bytes. The caller passes
 * in the current time.
 */
final class RateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int BURSTS_PER_SECOND = 10;

    private final double maxBytesPerSecond;
    private double debtBytes;
    private long lastTakeNs;
    private boolean started;

    RateLimiter(long bytesPerSecond) {
        maxBytesPerSecond = bytesPerSecond;
    }

    /**
     * Records that this many bytes were used at this time. Returns the nanoseconds to wait before
     * the next use.
     */
    long take(long bytes, long nowNs) {
        if (started) {
            debtBytes =
                    Math.max(
                            0,
                            debtBytes
                                    - (nowNs - lastTakeNs) / NANOS_PER_SECOND * maxBytesPerSecond);
        }
        started = true;
        lastTakeNs = nowNs;
        debtBytes += bytes;
        return (long)
                (Math.max(0, debtBytes - maxBytesPerSecond / BURSTS_PER_SECOND)
                        / maxBytesPerSecond
                        * NANOS_PER_SECOND);
    }
}
