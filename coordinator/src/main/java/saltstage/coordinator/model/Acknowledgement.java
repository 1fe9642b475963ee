package saltstage.coordinator.model;

/** It was done, and there is nothing more to say than this word. */
public record Acknowledgement(String what) implements Reply {}
