package saltstage.store;

/**
 * A budget of bytes a second with a burst of a tenth of that; pure, its time comes with the calls.
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

    /** Takes so many bytes at this time; returns how many nanoseconds to wait before the next. */
    long take(long bytes, long nanos) {
        if (started) {
            debtBytes =
                    Math.max(
                            0,
                            debtBytes
                                    - (nanos - lastTakeNs) / NANOS_PER_SECOND * maxBytesPerSecond);
        }
        started = true;
        lastTakeNs = nanos;
        debtBytes += bytes;
        return (long)
                (Math.max(0, debtBytes - maxBytesPerSecond / BURSTS_PER_SECOND)
                        / maxBytesPerSecond
                        * NANOS_PER_SECOND);
    }
}
