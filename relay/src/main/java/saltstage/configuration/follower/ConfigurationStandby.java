package saltstage.configuration.follower;

import java.io.IOException;
import java.util.Optional;

/**
 * Follows a configuration directory that another process of the same relay writes to: reports each
 * configuration that the writer has made durable, and becomes the writer once that process has
 * left. It asks no source, so that a source hears of a revision from the process that persists it.
 * Not thread safe.
 */
public final class ConfigurationStandby {
    /** Receives what a standby finds, on the thread that polls. */
    public interface Listener {
        /** The writer has made this newer configuration durable. */
        void configurationRead(PersistedConfiguration newer);

        /** The writer has confirmed the configuration that is in force. */
        void confirmationRead(PersistedConfiguration inForce);

        /**
         * This process is the writer now.
         *
         * @param inForce the configuration that the directory holds, which was reported before
         */
        void becameWriter(PersistedConfiguration inForce);

        /** The directory could not be used; this is reported once for each reason in a row. */
        void pollFailed(String reason);
    }

    private final ConfigurationDirectory directory;
    private final Listener listener;
    private PersistedConfiguration inForce;
    private boolean isWriter;
    private String failure;

    /**
     * Creates a standby.
     *
     * @param inForce the configuration that was read when the directory was opened
     */
    public ConfigurationStandby(
            ConfigurationDirectory directory, PersistedConfiguration inForce, Listener listener) {
        this.directory = directory;
        this.inForce = inForce;
        this.listener = listener;
    }

    /** Tries to become the writer, else reads what has changed; does nothing once it is. */
    public void poll() {
        if (isWriter) {
            return;
        }
        try {
            Optional<PersistedConfiguration> owned = directory.tryBecomeWriter(inForce);
            if (owned.isPresent()) {
                accept(owned.get());
                isWriter = true;
                listener.becameWriter(inForce);
            } else {
                directory.readIfChanged().ifPresent(this::accept);
            }
            failure = null;
        } catch (IOException | RuntimeException unusable) {
            reportFailure(String.valueOf(unusable.getMessage()));
        }
    }

    private void accept(PersistedConfiguration persisted) {
        if (persisted.supersedes(inForce.view())) {
            inForce = persisted;
            listener.configurationRead(persisted);
        } else if (persisted.isConfirmedLaterThan(inForce)) {
            inForce = new PersistedConfiguration(inForce.view(), persisted.confirmedAt());
            listener.confirmationRead(inForce);
        }
    }

    private void reportFailure(String reason) {
        if (!reason.equals(failure)) {
            failure = reason;
            listener.pollFailed(reason);
        }
    }
}
