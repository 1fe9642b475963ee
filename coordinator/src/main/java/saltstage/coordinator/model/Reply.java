package saltstage.coordinator.model;

/**
 * What a command came to; a record, kept with the session so that a repeated command gets it again.
 */
public interface Reply {}
