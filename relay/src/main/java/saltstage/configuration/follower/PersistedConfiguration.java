package saltstage.configuration.follower;

import java.time.Instant;
import saltstage.configuration.ConfigurationView;

/**
 * What a disk held at the start.
 *
 * @param view a copy that belongs to the caller
 * @param confirmedAt when a source last told or confirmed this state; null: never
 */
public record PersistedConfiguration(ConfigurationView view, Instant confirmedAt) {
    /** Nothing, at revision 0. */
    public static PersistedConfiguration empty() {
        return new PersistedConfiguration(new ConfigurationView(), null);
    }
}
