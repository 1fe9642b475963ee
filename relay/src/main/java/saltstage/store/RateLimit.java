package saltstage.store;

/**
 * A budget of bytes a second with a burst of a tenth of that; pure, its time comes with the calls.
 */
final class RateLimit {
    private static final double SECOND = 1e9;
    private static final int BURSTS = 10;

    private final double perSecond;
    private double debt;
    private long last;
    private boolean begun;

    RateLimit(long bytesPerSecond) {
        perSecond = bytesPerSecond;
    }

    /** Takes so many bytes at this time; returns how many nanoseconds to wait before the next. */
    long take(long bytes, long nanos) {
        if (begun) {
            debt = Math.max(0, debt - (nanos - last) / SECOND * perSecond);
        }
        begun = true;
        last = nanos;
        debt += bytes;
        return (long) (Math.max(0, debt - perSecond / BURSTS) / perSecond * SECOND);
    }
}
