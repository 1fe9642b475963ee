package saltstage.configuration;

/**
 * Limits that writers, the coordinator group, distributors and followers share. Anything beyond a
 * limit is rejected as a whole and never truncated.
 */
public final class ConfigurationLimits {
    /** The maximum number of mutations of one change; a move of 15,000 shards takes 30 changes. */
    public static final int MAX_MUTATIONS_PER_CHANGE = 500;

    /** The maximum size of one change in bytes, by {@link #estimatedBytes(Mutation)}. */
    public static final int MAX_BYTES_PER_CHANGE = 192 * 1024;

    /** The maximum number of entries at one revision. */
    public static final int MAX_ENTRIES = 200_000;

    /** The maximum number of entries on one page of a snapshot. */
    public static final int MAX_ENTRIES_PER_PAGE = 2_000;

    /** The maximum number of changes in one response. */
    public static final int MAX_CHANGES_PER_RESPONSE = 500;

    /**
     * A response ends with the change that brings it to this size in bytes, by the same estimate.
     */
    public static final int RESPONSE_BYTES_THRESHOLD = 1024 * 1024;

    /** The maximum number of changes in a history. */
    public static final int MAX_HISTORY_CHANGES = 4_096;

    /**
     * The maximum size of the changes in a history in bytes, by the same estimate. It holds a move
     * of 15,000 shards and is less than half of the size of a snapshot of 59,000 entries.
     */
    public static final int MAX_HISTORY_BYTES = 2 * 1024 * 1024;

    /** The maximum length of a setting's text, in characters. */
    public static final int MAX_SETTING_LENGTH = 2_000;

    /** The maximum length of a backend's address, in characters. */
    public static final int MAX_ADDRESS_LENGTH = 100;

    /** The maximum length of a backend's identifier, in characters. */
    public static final int MAX_IDENTIFIER_LENGTH = 160;

    /** The maximum length of a zone's name, in characters. */
    public static final int MAX_ZONE_LENGTH = 60;

    /** The maximum length of a suspension's reason, in characters. */
    public static final int MAX_REASON_LENGTH = 500;

    /** The largest integer that a JSON number represents exactly. */
    public static final long MAX_SAFE_INTEGER = (1L << 53) - 1;

    private static final int MUTATION_OVERHEAD_BYTES = 64;

    private ConfigurationLimits() {}

    /** Estimates the bytes of a mutation in JSON and, within a small factor, in memory. */
    public static int estimatedBytes(Mutation mutation) {
        int valueLength = mutation.isDeletion() ? 0 : mutation.value().canonicalText().length();
        return MUTATION_OVERHEAD_BYTES + mutation.key().text().length() + valueLength;
    }

    /** Estimates the size of a change as the sum over its mutations. */
    public static int estimatedBytes(Change change) {
        return change.mutations().stream().mapToInt(ConfigurationLimits::estimatedBytes).sum();
    }
}
