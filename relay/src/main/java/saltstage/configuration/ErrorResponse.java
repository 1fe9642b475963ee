package saltstage.configuration;

/**
 * Why a source does not answer with what was asked for.
 *
 * @param error a word of this class for programs, or one sentence
 * @param revision the newest revision of the source; 0 where it does not say
 * @param retryMs when to ask again, in milliseconds; 0: not said
 */
public record ErrorResponse(String error, long revision, long retryMs) {
    /** The source has the follower's revision with another digest; HTTP status 409. */
    public static final String DIVERGED = "diverged";

    /** The changes after the follower's revision, or the snapshot, are no longer kept; 410. */
    public static final String TRUNCATED = "truncated";

    /** The source is older than the follower; 421. */
    public static final String BEHIND = "behind";

    /** Too much is under way at the source; 503. */
    public static final String BUSY = "busy";
}
