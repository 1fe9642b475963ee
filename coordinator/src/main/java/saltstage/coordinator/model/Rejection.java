package saltstage.coordinator.model;

/**
 * The reply to a command that was rejected and changed nothing.
 *
 * @param code one word for programs
 * @param why one sentence for people
 * @param retryMs the delay in milliseconds after which a retry may succeed; 0 if waiting does not
 *     help
 */
public record Rejection(String code, String why, long retryMs) implements Reply {}
