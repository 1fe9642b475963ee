package saltstage.configuration.follower;

import java.io.IOException;
import java.time.Instant;
import java.util.List;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationView;

/** Where a follower's state outlives it. Called by one thread at a time; may block. */
public interface ConfigurationPersistence {
    /** Makes these changes durable before it returns: all of them, or none if it throws. */
    void write(List<Change> changes) throws IOException;

    /** Replaces all that is durable by this view before it returns, or nothing if it throws. */
    void replace(ConfigurationView view) throws IOException;

    /** What is durable was the newest at this time; need not be durable at once. */
    void recordConfirmation(Instant at) throws IOException;

    /** Keeps nothing beyond the process, for followers that may begin anew. */
    ConfigurationPersistence NONE =
            new ConfigurationPersistence() {
                @Override
                public void write(List<Change> changes) {
                    // nothing is kept
                }

                @Override
                public void replace(ConfigurationView view) {
                    // nothing is kept
                }

                @Override
                public void recordConfirmation(Instant at) {
                    // nothing is kept
                }
            };
}
