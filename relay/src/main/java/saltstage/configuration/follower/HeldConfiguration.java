package saltstage.configuration.follower;

import java.time.Instant;
import saltstage.configuration.ConfigurationView;

/**
 * What a disk held at the start.
 *
 * @param view a copy that belongs to the caller
 * @param confirmedAt when a source last said that it has nothing newer; null: never
 */
public record HeldConfiguration(ConfigurationView view, Instant confirmedAt) {
    /** Nothing, at revision 0. */
    public static HeldConfiguration none() {
        return new HeldConfiguration(new ConfigurationView(), null);
    }
}
