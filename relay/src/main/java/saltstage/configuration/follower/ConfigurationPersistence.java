package saltstage.configuration.follower;

import java.io.IOException;
import java.time.Instant;
import java.util.List;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationView;

/** Persists a follower's state. Called by one thread at a time; may block. */
public interface ConfigurationPersistence {
    /** Makes all of these changes durable before it returns, or none of them if it throws. */
    void write(List<Change> changes) throws IOException;

    /**
     * Replaces the durable state by this view before it returns, or changes nothing if it throws.
     */
    void replace(ConfigurationView view) throws IOException;

    /** Records that the durable revision was the newest at this time; may become durable later. */
    void recordConfirmation(Instant time) throws IOException;

    /** Persists nothing, for followers that may start with an empty state. */
    ConfigurationPersistence NONE =
            new ConfigurationPersistence() {
                @Override
                public void write(List<Change> changes) {
                    // nothing is persisted
                }

                @Override
                public void replace(ConfigurationView view) {
                    // nothing is persisted
                }

                @Override
                public void recordConfirmation(Instant time) {
                    // nothing is persisted
                }
            };
}
