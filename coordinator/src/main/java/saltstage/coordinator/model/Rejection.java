package saltstage.coordinator.model;

/**
 * Nothing was changed.
 *
 * @param code one word for programs
 * @param why one sentence for people
 * @param retryMs when it may do, in milliseconds from now; 0: not by waiting
 */
public record Rejection(String code, String why, long retryMs) implements Reply {}
