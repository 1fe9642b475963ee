package saltstage.coordinator.model;

/**
 * Something that changes the group's state, the same at every replica: it carries all that is
 * decided from, and names no clock. Commands are records; what they look like in the log is fixed
 * by their names and fields.
 */
public interface Command {
    /**
     * The feature level from which on the group may take it: each voter knows that level by then.
     */
    int minFeatureLevel();
}
