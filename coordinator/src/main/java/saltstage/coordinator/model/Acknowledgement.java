package saltstage.coordinator.model;

/** The reply to a command that was carried out and has no result beyond this word. */
public record Acknowledgement(String what) implements Reply {}
