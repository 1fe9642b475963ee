package saltstage.configuration;

/**
 * Bounds that writers, the group, distributors and followers agree on. What is beyond them is
 * refused whole, never cut.
 */
public final class ConfigurationLimits {
    /** Most mutations of one change; a move of 15,000 shards takes 30 changes. */
    public static final int MAX_MUTATIONS_PER_CHANGE = 500;

    /** Most bytes of one change, by {@link #estimatedBytes(Mutation)}. */
    public static final int MAX_BYTES_PER_CHANGE = 192 * 1024;

    /** Most entries in force at one revision. */
    public static final int MAX_ENTRIES = 200_000;

    /** Most entries of one page of a snapshot. */
    public static final int MAX_ENTRIES_PER_PAGE = 2_000;

    /** Most changes of one answer. */
    public static final int MAX_CHANGES_PER_RESPONSE = 500;

    /** An answer ends with the change that takes it to so many bytes, by the same estimate. */
    public static final int RESPONSE_BYTES_THRESHOLD = 1024 * 1024;

    /** Most changes that a history keeps. */
    public static final int MAX_HISTORY_CHANGES = 4_096;

    /**
     * Most bytes of the changes that a history keeps, by the same estimate: a move of 15,000
     * shards, and under half of what a snapshot of 59,000 entries takes.
     */
    public static final int MAX_HISTORY_BYTES = 2 * 1024 * 1024;

    /** Longest text of a setting, in characters. */
    public static final int MAX_SETTING_LENGTH = 2_000;

    /** Longest address of a backend, in characters. */
    public static final int MAX_ADDRESS_LENGTH = 100;

    /** Longest identifier of a backend, in characters. */
    public static final int MAX_IDENTIFIER_LENGTH = 160;

    /** Longest name of a zone, in characters. */
    public static final int MAX_ZONE_LENGTH = 60;

    /** Longest reason of a suspension, in characters. */
    public static final int MAX_REASON_LENGTH = 500;

    /** Largest number that JSON carries exactly. */
    public static final long MAX_SAFE_INTEGER = (1L << 53) - 1;

    private static final int MUTATION_OVERHEAD_BYTES = 64;

    private ConfigurationLimits() {}

    /** About how many bytes a mutation takes in JSON and, within a factor of some, in memory. */
    public static int estimatedBytes(Mutation mutation) {
        int value = mutation.isDeletion() ? 0 : mutation.value().canonicalText().length();
        return MUTATION_OVERHEAD_BYTES + mutation.key().text().length() + value;
    }

    /** The sum of the estimates of a change's mutations. */
    public static int estimatedBytes(Change change) {
        return change.mutations().stream().mapToInt(ConfigurationLimits::estimatedBytes).sum();
    }
}
