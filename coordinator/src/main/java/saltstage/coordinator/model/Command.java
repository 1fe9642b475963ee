package saltstage.coordinator.model;

/**
 * A change of the group's state that has the same effect at every replica: a command carries
 * everything that its outcome depends on and reads no clock. Commands are records; their names and
 * field names are their stored form in the log.
 */
public interface Command {
    /**
     * The lowest feature level of the group at which the command is accepted. Every voter supports
     * that level by then.
     */
    int minFeatureLevel();
}
