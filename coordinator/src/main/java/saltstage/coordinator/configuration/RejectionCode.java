package saltstage.coordinator.configuration;

/** The reason for which a change of the configuration is rejected. */
public enum RejectionCode {
    /** The change has no valid author, no mutation, or exceeds a size limit. */
    MALFORMED,
    /** A value is not valid for its key. */
    INVALID_VALUE,
    /** The setting is unknown, or relays cannot reload it without a restart. */
    UNKNOWN_SETTING,
    /** An entry refers to a backend that does not exist. */
    UNKNOWN_BACKEND,
    /** The change deletes a backend to which other entries refer. */
    IN_USE,
    /** An entry is not at the revision that the writer expected. */
    CONFLICT,
    /** The change would exceed the maximum number of entries. */
    FULL
}
