package saltstage.coordinator.configuration;

import java.util.List;
import java.util.Map;
import saltstage.configuration.Mutation;
import saltstage.coordinator.model.Command;

/** The commands that change a group's configuration. */
public final class ConfigurationCommands {
    /** The lowest feature level at which a group stores configuration. */
    public static final int MIN_FEATURE_LEVEL = 4;

    private ConfigurationCommands() {}

    /**
     * Applies all mutations together as one revision, or none of them.
     *
     * @param author the writer's name for the history; 1 to 100 visible characters
     * @param mutations the mutations; if several have the same key, the last one counts
     * @param expected by key, the revision at which the writer last read the entry, 0 if it was
     *     absent; the change is rejected if the entry is at any other revision
     */
    public record ChangeConfiguration(
            String author, List<Mutation> mutations, Map<String, Long> expected)
            implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }
}
