package saltstage.coordinator.model;

/**
 * The result of a command. Replies are records; the session stores the last one so that a repeated
 * command gets the same reply.
 */
public interface Reply {}
