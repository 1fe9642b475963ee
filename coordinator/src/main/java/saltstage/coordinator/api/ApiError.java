package saltstage.coordinator.api;

/**
 * The body of an error response. The component names are part of the JSON.
 *
 * @param error the error in one line
 * @param retryMs the delay in milliseconds before a retry; 0 if a retry does not help
 * @param leader the leader's address for clients as HOST:PORT; null if unknown or if the error has
 *     another reason
 */
record ApiError(String error, long retryMs, String leader) {}
