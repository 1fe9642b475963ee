package saltstage.coordinator.configuration;

import java.util.List;
import java.util.Map;
import saltstage.configuration.Mutation;
import saltstage.coordinator.model.Command;

/** What changes a group's configuration. */
public final class ConfigurationCommands {
    /** The feature level from which on a group keeps configuration. */
    public static final int MIN_FEATURE_LEVEL = 4;

    private ConfigurationCommands() {}

    /**
     * Puts mutations in force together as one revision, or none of them.
     *
     * @param author who asks, for the history; 1 to 100 visible characters
     * @param mutations of several with one key the last one counts
     * @param expected by key, the revision at which its entry was seen last, 0 where it was absent;
     *     any other revision refuses the change
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
