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

    /**
     * Whether this configuration replaces a view that was read from the same directory before: it
     * is newer, or a snapshot has replaced a diverged state of the same revision.
     */
    boolean supersedes(ConfigurationView other) {
        return view.revision() > other.revision()
                || view.revision() == other.revision() && view.digest() != other.digest();
    }

    /** Whether a source has confirmed the same revision later than it had confirmed the other. */
    boolean isConfirmedLaterThan(PersistedConfiguration other) {
        return view.revision() == other.view().revision()
                && confirmedAt != null
                && (other.confirmedAt() == null || confirmedAt.isAfter(other.confirmedAt()));
    }
}
