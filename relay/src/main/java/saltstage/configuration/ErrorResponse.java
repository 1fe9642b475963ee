package saltstage.configuration;

/**
 * An error with which a source responds to a request.
 *
 * @param error one of the constants of this class, or one sentence
 * @param revision the newest revision of the source; 0 if it is not given
 * @param retryMs the delay before the next request, in milliseconds; 0 if it is not given
 */
public record ErrorResponse(String error, long revision, long retryMs) {
    /** The source has the follower's revision with a different digest; HTTP status 409. */
    public static final String DIVERGED = "diverged";

    /** The changes after the follower's revision, or the snapshot, are no longer stored; 410. */
    public static final String TRUNCATED = "truncated";

    /** The source's revision is older than the follower's revision; 421. */
    public static final String BEHIND = "behind";

    /** The source is overloaded; 503. */
    public static final String BUSY = "busy";
}
