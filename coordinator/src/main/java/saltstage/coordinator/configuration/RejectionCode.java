package saltstage.coordinator.configuration;

/** Why a change of the configuration is refused. */
public enum RejectionCode {
    /** The change names no author, no mutation, or too much. */
    MALFORMED,
    /** A value is not one that its key takes. */
    INVALID_VALUE,
    /** A setting that relays do not take while they run, or do not have. */
    UNKNOWN_SETTING,
    /** A backend is named that there is not. */
    UNKNOWN_BACKEND,
    /** A backend is deleted that other entries name. */
    IN_USE,
    /** An entry is not at the revision that the writer expected. */
    CONFLICT,
    /** There would be more entries than a group keeps. */
    FULL
}
