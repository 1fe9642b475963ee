package saltstage.configuration.follower;

import java.time.Instant;
import saltstage.configuration.ConfigurationView;

/**
 * The configuration that a disk held when it was opened.
 *
 * @param view a copy that belongs to the caller
 * @param confirmedAt when a source last sent or confirmed this state; null if never
 */
public record PersistedConfiguration(ConfigurationView view, Instant confirmedAt) {
    /** Returns an empty configuration at revision 0. */
    public static PersistedConfiguration empty() {
        return new PersistedConfiguration(new ConfigurationView(), null);
    }
}
