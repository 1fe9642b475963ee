package saltstage.coordinator.api;

/**
 * The body of a response that is not a success. The component names are part of the JSON.
 *
 * @param error what went wrong, in one line
 * @param retryMs after how many milliseconds to try again; 0: trying again does not help
 * @param leader where the leader takes calls as HOST:PORT, or null where that is not the reason
 */
record ApiError(String error, long retryMs, String leader) {}
